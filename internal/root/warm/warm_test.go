package warm

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

var (
	start  = time.Unix(1000, 0)
	coldUp = route.Upstream{Name: "u", Addr: "10.0.0.1:1", Pool: "p"}
)

// after returns a time in milliseconds after start.
func after(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// TestTwoGroupsOfGrantersStayWithinBound guards against a rate that holds only while all hosts agree about the granting ones.
func TestTwoGroupsOfGrantersStayWithinBound(t *testing.T) {
	scenarios := []struct {
		name       string
		bound      Bound
		wantMax    int
		wantTokens int
	}{
		{name: "a usual rate", bound: Bound{PerSecond: 15, Overage: 1.5, Slack: 5}, wantMax: 27, wantTokens: 9},
		{name: "a low rate", bound: Bound{PerSecond: 0.5, Overage: 1, Slack: 3}, wantMax: 3, wantTokens: 1},
		{name: "a rate that can't be shared", bound: Bound{PerSecond: 1, Overage: 1, Slack: 1}, wantMax: 2},
		{name: "no rate", bound: Bound{Overage: 1.5, Slack: -5}, wantMax: -5},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			if got := sc.bound.Max(); got != sc.wantMax {
				t.Errorf("got at most %d requests, want %d", got, sc.wantMax)
			}
			if got := sc.bound.Tokens(); got != sc.wantTokens {
				t.Errorf("got %d tokens, want %d", got, sc.wantTokens)
			}
			if got := maxGranters * sc.bound.Tokens() / permitQuorum; got > max(0, sc.bound.Max()) {
				t.Errorf("%d requests may get permits, %d are allowed", got, sc.bound.Max())
			}
		})
	}
}

// TestGrantsGiveNoMoreThanTokens guards against a granting host that gives more in some window, after its restart, or for another start of the upstream.
func TestGrantsGiveNoMoreThanTokens(t *testing.T) {
	Convey("Given a granting host whose process has just started", t, func() {
		g := NewGrants(start)
		granted, retry := g.Take(after(100), "u", 2)
		So(granted, ShouldBeFalse)
		So(retry, ShouldEqual, tokenWindow-100*time.Millisecond)
		Convey("it gives tokens once those of an earlier process are too old, and says when there is another one", func() {
			first := start.Add(tokenWindow)
			granted, _ = g.Take(first, "u", 2)
			So(granted, ShouldBeTrue)
			granted, _ = g.Take(first.Add(300*time.Millisecond), "u", 2)
			So(granted, ShouldBeTrue)
			granted, retry = g.Take(first.Add(400*time.Millisecond), "u", 2)
			So(granted, ShouldBeFalse)
			So(retry, ShouldEqual, tokenWindow-400*time.Millisecond)
			granted, _ = g.Take(first.Add(tokenWindow), "u", 2)
			So(granted, ShouldBeTrue)
			granted, _ = g.Take(first.Add(tokenWindow), "u", 2)
			So(granted, ShouldBeFalse)
		})
		Convey("a number of tokens that falls holds at once", func() {
			first := start.Add(tokenWindow)
			for range 4 {
				granted, _ = g.Take(first, "u", 4)
				So(granted, ShouldBeTrue)
			}
			granted, retry = g.Take(first.Add(time.Second), "u", 1)
			So(granted, ShouldBeFalse)
			So(retry, ShouldEqual, tokenWindow-time.Second)
			granted, _ = g.Take(first.Add(time.Second), "u", 0)
			So(granted, ShouldBeFalse)
		})
		Convey("it remembers a bounded number of upstreams", func() {
			first := start.Add(tokenWindow)
			for i := range maxWindows {
				granted, _ = g.Take(first, string(rune('a'+i)), 1)
				So(granted, ShouldBeTrue)
			}
			granted, _ = g.Take(first, "one more", 1)
			So(granted, ShouldBeFalse)
			granted, _ = g.Take(first.Add(tokenWindow), "one more", 1)
			So(granted, ShouldBeTrue)
		})
	})
}

// TestPermitIsSpentOnceAndSoon guards against a host that freezes between its permit and its request, and against a second request with a permit.
func TestPermitIsSpentOnceAndSoon(t *testing.T) {
	scenarios := []struct {
		name string
		// at holds the times after which the permit is spent.
		at   []time.Duration
		want []bool
	}{
		{name: "soon", at: []time.Duration{PermitLife}, want: []bool{true}},
		{name: "twice", at: []time.Duration{time.Millisecond, time.Millisecond}, want: []bool{true, false}},
		{name: "after the host was frozen", at: []time.Duration{PermitLife + time.Millisecond}, want: []bool{false}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			now := time.Hour
			p := NewPermit(func() time.Duration { return now })
			for i, at := range sc.at {
				now = time.Hour + at
				if got := p.Spend(); got != sc.want[i] {
					t.Errorf("spending number %d: got %t, want %t", i+1, got, sc.want[i])
				}
			}
		})
	}
}

// bookStep is one thing that a host learns, at a time in milliseconds.
type bookStep struct {
	at int
	// row is the remaining time of a row, in milliseconds, if hasRow is set, which may be of a restored table.
	hasRow   bool
	row      int
	restored bool
	failed   bool
	answered bool
}

// TestBookTakesNoOldNewsForNew guards against an upstream that counts as warm because of what was known before it restarted, and against one that stays cold for ever.
func TestBookTakesNoOldNewsForNew(t *testing.T) {
	const warmUp = 3 * time.Second
	margin := func(ms int) int { return ms + int(clockShare*float64(ms)) }
	doubt := int(doubtTTL.Milliseconds())
	scenarios := []struct {
		name  string
		steps []bookStep
		// until is when the upstream is warm, or 0 if it never was cold.
		until int
	}{
		{name: "it was always warm", steps: []bookStep{{at: 1, hasRow: true}, {at: 2, answered: true}}},
		{name: "it is cold", steps: []bookStep{{at: 10, hasRow: true, row: 3000}}, until: 10 + margin(3000)},
		{name: "the next row has a later estimate", steps: []bookStep{{at: 900, hasRow: true, row: 3000}, {at: 1200, hasRow: true, row: 1800}}, until: 1200 + margin(1800)},
		{name: "its row says that it is warm", steps: []bookStep{{at: 0, hasRow: true, row: 3000}, {at: 1200, hasRow: true}}, until: 1200},
		{name: "it is cold again", steps: []bookStep{{at: 0, hasRow: true, row: 1000}, {at: 5000, hasRow: true, row: 2000}}, until: 5000 + margin(2000)},
		{name: "a restored table says that it is warm", steps: []bookStep{{at: 0, hasRow: true, row: 3000}, {at: 100, hasRow: true, restored: true}}, until: margin(3000)},
		{name: "it can't be reached, and an old row says that it is warm", steps: []bookStep{{at: 0, failed: true}, {at: 100, hasRow: true}}, until: doubt},
		{name: "it answers after it could not be reached", steps: []bookStep{{at: 0, failed: true}, {at: 100, hasRow: true}, {at: 2000, answered: true}, {at: 2500, answered: true}}, until: 2000 + margin(3000)},
		{name: "it can't be reached again", steps: []bookStep{{at: 0, failed: true}, {at: 2000, answered: true}, {at: 3000, failed: true}}, until: 3000 + doubt},
		{name: "it states a time that no duration holds", steps: []bookStep{{at: 0, hasRow: true, row: math.MaxInt / int(time.Millisecond)}}, until: margin(int(maxRemaining.Milliseconds()))},
	}
	for _, sc := range scenarios {
		Convey("If "+sc.name, t, func() {
			b := NewBook()
			last := start
			for _, s := range sc.steps {
				last = after(s.at)
				switch {
				case s.hasRow:
					b.Row(last, coldUp, time.Duration(s.row)*time.Millisecond, s.restored)
				case s.failed:
					b.Failed(last, coldUp)
				case s.answered:
					b.Answered(last, coldUp.Incarnation())
				}
			}
			s, ok := b.State(last, coldUp.Incarnation(), warmUp)
			So(ok, ShouldEqual, sc.until > 0)
			if ok {
				So(s.Until, ShouldEqual, after(sc.until))
			}
			next := coldUp.Incarnation()
			next.StartedAtMS = 7
			_, ok = b.State(last, next, warmUp)
			So(ok, ShouldBeFalse)
		})
	}
	Convey("A book remembers a bounded number of upstreams, the latest ones", t, func() {
		b := NewBook()
		for i := range 2 * maxEntries {
			up := coldUp
			up.StartedAtMS = int64(i + 1)
			b.Failed(after(i), up)
		}
		So(len(b.List(after(2*maxEntries), func(string) time.Duration { return 0 })), ShouldEqual, maxEntries)
		So(b.doubts.Load(), ShouldEqual, maxEntries)
		Convey("and forgets those that are warm", func() {
			So(b.List(after(2*maxEntries).Add(doubtTTL), func(string) time.Duration { return 0 }), ShouldBeEmpty)
			So(b.doubts.Load(), ShouldEqual, 0)
		})
	})
}
