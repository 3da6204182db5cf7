package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// coldTable returns a table with upstreams u0 to u3 in the failure domain d, u0 of which is cold from now on for the duration.
func coldTable(now time.Time, d time.Duration, c Cold) (*Table, Upstream) {
	t := New("d")
	var ups []Upstream
	for i := range 4 {
		ups = append(ups, Upstream{
			Name:   fmt.Sprintf("u%d", i),
			Addr:   fmt.Sprintf("10.0.0.%d:1", i),
			Domain: "d",
			Pool:   "p",
		})
	}
	c.Since = now
	c.Until = now.Add(d)
	t.SetCold(now, ups[0].Incarnation(), c)
	t.Sync([]PoolSpec{{Name: "p", Slots: 16, Expected: 100 * time.Millisecond}}, ups, 4)
	return t, ups[0]
}

// TestColdUpstreamNeedsPermits guards against requests without a permit to an upstream that is added cold, or is cold again.
func TestColdUpstreamNeedsPermits(t *testing.T) {
	now := time.Unix(1000, 0)
	only := func(name string) Query {
		return Query{Pool: "p", Allow: func(n string) bool { return n == name }}
	}
	pick := func(table *Table, at time.Time, q Query) (Upstream, bool) {
		return table.Pick(at, rand.New(rand.NewPCG(1, 1)), q)
	}
	Convey("Given an upstream that is cold as it is added", t, func() {
		table, cold := coldTable(now, 3*time.Second, Cold{PerSecond: 7})
		Convey("it needs permits until it is warm", func() {
			up, ok := pick(table, now, only(cold.Name))
			So(ok, ShouldBeTrue)
			So(up.Limited, ShouldBeTrue)
			So(up.Cold, ShouldBeTrue)
			So(table.ColdCount(now), ShouldEqual, 1)
			up, _ = pick(table, now.Add(3*time.Second), only(cold.Name))
			So(up.Limited, ShouldBeFalse)
			So(up.Cold, ShouldBeFalse)
		})
		Convey("without a permit the others are used at once", func() {
			_, _ = pick(table, now, only(cold.Name))
			table.Hold(now, cold.Name, time.Second)
			_, ok := pick(table, now.Add(time.Millisecond), only(cold.Name))
			So(ok, ShouldBeFalse)
			_, ok = pick(table, now.Add(time.Millisecond), Query{Pool: "p"})
			So(ok, ShouldBeTrue)
		})
		Convey("the lower one of its rate and the limit that it names counts", func() {
			table.SetLimit(cold.Incarnation(), 3)
			So(table.byName[cold.Name].rate(now), ShouldEqual, 3)
			table.SetLimit(cold.Incarnation(), 30)
			So(table.byName[cold.Name].rate(now), ShouldEqual, 7)
			So(table.byName[cold.Name].rate(now.Add(3*time.Second)), ShouldEqual, 30)
		})
		Convey("another start of it is not cold", func() {
			next := cold
			next.StartedAtMS = 5
			table.Sync([]PoolSpec{{Name: "p", Slots: 16, Expected: 100 * time.Millisecond}}, []Upstream{next}, 4)
			up, _ := pick(table, now, only(cold.Name))
			So(up.Limited, ShouldBeFalse)
		})
		Convey("what is remembered of it ends", func() {
			other := cold.Incarnation()
			other.Name = "v"
			table.SetCold(now.Add(time.Minute), other, Cold{Until: now.Add(2 * time.Minute)})
			So(len(table.cold), ShouldEqual, 1)
		})
	})
	Convey("An upstream whose rate is too low to be shared gets nothing, and callers are told when it is warm", t, func() {
		table, cold := coldTable(now, 3*time.Second, Cold{Withheld: true})
		_, ok := pick(table, now, only(cold.Name))
		So(ok, ShouldBeFalse)
		table.Sync([]PoolSpec{{Name: "p", Slots: 16, Expected: 100 * time.Millisecond}}, []Upstream{cold}, 1)
		after, ok := table.ReturnAfter(now, "p", 0, nil)
		So(ok, ShouldBeTrue)
		So(after, ShouldBeGreaterThanOrEqualTo, 3*time.Second)
		_, ok = pick(table, now.Add(3*time.Second), only(cold.Name))
		So(ok, ShouldBeTrue)
	})
}

// TestLoadReturnsToColdUpstreamInSteps guards against a domain that comes back cold and gets its whole share at the end of the cold time.
func TestLoadReturnsToColdUpstreamInSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	table, cold := coldTable(now, 3*time.Second, Cold{})
	e := table.byName[cold.Name]
	last := e.capacity(now, 16)
	if last > 2 {
		t.Errorf("got capacity %g at the start, want at most 2", last)
	}
	for ms := 250; ms <= 9000; ms += 250 {
		got := e.capacity(now.Add(time.Duration(ms)*time.Millisecond), 16)
		if got < last || got-last > 1 {
			t.Errorf("after %d ms: capacity %g, before it was %g", ms, got, last)
		}
		last = got
	}
	if last != 16 {
		t.Errorf("got capacity %g in the end, want 16", last)
	}
}
