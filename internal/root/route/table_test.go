package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/stage"
)

const expected = 100 * time.Millisecond

func newTable(ups, slots int) (*Table, []Upstream) {
	t := New("d0")
	list := make([]Upstream, ups)
	for i := range list {
		list[i] = Upstream{
			Name:   fmt.Sprintf("u%03d", i),
			Addr:   fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Domain: fmt.Sprintf("d%d", i%3),
			Pool:   "p",
		}
	}
	t.Sync([]PoolSpec{
		{
			Name:     "p",
			Slots:    slots,
			Expected: expected,
		},
	}, list, 1)
	return t, list
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(1, 1))
}

func TestPickPrefersOwnDomainUntilFull(t *testing.T) {
	Convey("Given 12 upstreams of 4 slots in 3 failure domains", t, func() {
		table, _ := newTable(12, 4)
		now := time.Unix(1000, 0)
		rng := newRand()
		domains := map[string]int{}
		for range 48 {
			u, ok := table.Pick(now, rng, Query{Pool: "p"})
			So(ok, ShouldBeTrue)
			domains[u.Domain]++
		}
		So(domains["d0"], ShouldBeGreaterThanOrEqualTo, 12)
		So(domains["d1"]+domains["d2"], ShouldBeGreaterThan, 0)
	})
}

func TestPickSkipsLeavingAndExcludedUpstreams(t *testing.T) {
	Convey("Given a table in which upstreams leave, are excluded and fail at random", t, func() {
		rng := newRand()
		table, list := newTable(12, 4)
		now := time.Unix(1000, 0)
		for range 20_000 {
			now = now.Add(time.Millisecond)
			i := rng.IntN(len(list))
			list[i].Leaving = rng.IntN(2) == 0
			table.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, list, 1)
			exclude := []string{list[rng.IntN(len(list))].Name}
			u, ok := table.Pick(now, rng, Query{Pool: "p", Exclude: exclude, Affinity: rng.Uint64()})
			if !ok {
				continue
			}
			if u.Leaving || u.Name == exclude[0] {
				t.Fatalf("picked %+v, excluded %v", u, exclude)
			}
			table.Done(now, u.Name, expected, rng.IntN(3) > 0)
		}
	})
}

func TestEjectionStopsAtHalfOfPool(t *testing.T) {
	Convey("Given a pool in which every attempt fails", t, func() {
		table, _ := newTable(6, 4)
		now := time.Unix(1000, 0)
		rng := newRand()
		for range 500 {
			u, ok := table.Pick(now, rng, Query{Pool: "p"})
			So(ok, ShouldBeTrue)
			table.Done(now, u.Name, expected, false)
		}
		Convey("Half of the upstreams are ejected, and the others still get attempts", func() {
			ejected := 0
			for _, e := range table.byName {
				if e.isEjected(now) {
					ejected++
				}
			}
			So(ejected, ShouldEqual, 3)
		})
		Convey("After an ejection an upstream gets a single attempt, and after its success a slow start", func() {
			later := now.Add(time.Hour)
			e := table.pools["p"].entries[0]
			e.ejections = 1
			e.inFlight = 1
			So(e.usable(later, 1), ShouldBeFalse)
			e.inFlight = 0
			So(e.usable(later, 1), ShouldBeTrue)
			e.recordSuccess(later, expected, 1)
			So(e.capacity(later, 10), ShouldBeLessThan, 2)
			So(e.capacity(later.Add(slowStart), 10), ShouldEqual, 10)
		})
	})
}

func TestLoadAddsOwnAttemptsToReport(t *testing.T) {
	Convey("Given a report that is one second old", t, func() {
		table, list := newTable(1, 64)
		now := time.Unix(1000, 0)
		rng := newRand()
		for range 5 {
			table.Pick(now, rng, Query{Pool: "p"})
		}
		e := table.byName[list[0].Name]
		table.Report(list[0].Name, stage.Load{Busy: 20, Slots: 64}, now.Add(10*time.Millisecond))
		later := now.Add(time.Second)
		for range 7 {
			table.Pick(later, rng, Query{Pool: "p"})
		}
		So(e.load(later, 9), ShouldEqual, 27)
		table.Done(later, list[0].Name, expected, true)
		So(e.load(later, 9), ShouldEqual, 26)
		Convey("A report that is too old is ignored", func() {
			So(e.load(now.Add(time.Minute), 9), ShouldEqual, 9*e.inFlight)
		})
		Convey("An older report does not replace the stored report", func() {
			table.Report(list[0].Name, stage.Load{Busy: 1, Slots: 64}, now)
			So(e.report.Busy, ShouldEqual, 20)
		})
	})
}

// countPicks picks an upstream for n requests that never end, and returns the highest and lowest number of requests on one upstream.
func countPicks(n, ups int, pick func() int) (highest, lowest int) {
	counts := make([]int, ups)
	for range n {
		counts[pick()]++
	}
	lowest = n
	for _, c := range counts {
		highest = max(highest, c)
		lowest = min(lowest, c)
	}
	return highest, lowest
}

func TestPickSpreadsMoreEvenlyThanRandomChoice(t *testing.T) {
	Convey("Given 1,200 requests on 12 upstreams that send no load reports", t, func() {
		table := New("d")
		var list []Upstream
		for i := range 12 {
			list = append(list, Upstream{Name: fmt.Sprint(i), Domain: "d", Pool: "p"})
		}
		table.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, list, 1)
		rng := newRand()
		now := time.Unix(1000, 0)
		high, low := countPicks(1200, 12, func() int {
			u, _ := table.Pick(now, rng, Query{Pool: "p"})
			var i int
			fmt.Sscan(u.Name, &i)
			return i
		})
		randomHigh, randomLow := countPicks(1200, 12, func() int { return rng.IntN(12) })
		So(high-low, ShouldBeLessThan, randomHigh-randomLow)
		So(high-low, ShouldBeLessThanOrEqualTo, 12)
	})
}

func TestPickAvoidsOverloadedAffinityUpstream(t *testing.T) {
	Convey("Given requests with the same prefix", t, func() {
		table, _ := newTable(12, 16)
		rng := newRand()
		now := time.Unix(1000, 0)
		first, _ := table.Pick(now, rng, Query{Pool: "p", Affinity: 42})
		table.Done(now, first.Name, expected, true)
		again, _ := table.Pick(now, rng, Query{Pool: "p", Affinity: 42})
		So(again.Name, ShouldEqual, first.Name)
		counts := map[string]int{}
		for range 32 {
			u, _ := table.Pick(now, rng, Query{Pool: "p", Affinity: 42})
			counts[u.Name]++
		}
		So(counts[first.Name], ShouldBeLessThan, 16)
		So(len(counts), ShouldBeGreaterThan, 1)
	})
}

func TestPickDoesNotAllocate(t *testing.T) {
	table, list := newTable(710, 16)
	now := time.Unix(1000, 0)
	rng := newRand()
	got := testing.AllocsPerRun(1000, func() {
		u, _ := table.Pick(now, rng, Query{Pool: "p", Affinity: 7})
		table.Release(now, u.Name)
	})
	if got != 0 {
		t.Errorf("Pick among %d upstreams allocates %v times", len(list), got)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, ups := range []int{60, 240, 710} {
		for _, affinity := range []uint64{0, 7} {
			b.Run(fmt.Sprintf("upstreams=%d/affinity=%v", ups, affinity > 0), func(b *testing.B) {
				table, _ := newTable(ups, 16)
				now := time.Unix(1000, 0)
				rng := newRand()
				b.ReportAllocs()
				for b.Loop() {
					u, _ := table.Pick(now, rng, Query{Pool: "p", Affinity: affinity})
					table.Release(now, u.Name)
				}
			})
		}
	}
}

func BenchmarkPressure(b *testing.B) {
	table, _ := newTable(710, 16)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		table.Pressure(now, "p")
	}
}

// Guards against requests that are refused after an outage of all upstreams of a pool, because each of them gets one request at a time until it has completed one (incident RECOVER).
func TestUpstreamsOnTrialAfterAnOutageOfAPool(t *testing.T) {
	const ups, slots = 2, 4
	Convey("Given upstreams that were all ejected and each run the first request since then", t, func() {
		table, list := newTable(ups, slots)
		now, rng := time.Unix(1000, 0), newRand()
		pick := func(q Query) (Upstream, bool) {
			q.Pool = "p"
			return table.Pick(now, rng, q)
		}
		tryEach := func() {
			for range ups {
				_, ok := pick(Query{})
				So(ok, ShouldBeTrue)
			}
			_, ok := pick(Query{})
			So(ok, ShouldBeFalse)
		}
		for _, u := range list {
			table.Eject(now, u.Name)
		}
		Convey("just after the ejection no further request is sent to them", func() {
			_, ok := pick(Query{OnTrial: true})
			So(ok, ShouldBeFalse)
			now = now.Add(minEjection)
			tryEach()
			_, ok = pick(Query{OnTrial: true})
			So(ok, ShouldBeFalse)
		})
		Convey("some time after it further requests are sent to them, to the one with the lower load", func() {
			now = now.Add(minEjection + failureMemory)
			tryEach()
			picked := map[string]int{}
			for range ups * slots {
				u, ok := pick(Query{OnTrial: true})
				So(ok, ShouldBeTrue)
				picked[u.Name]++
			}
			for _, u := range list {
				So(picked[u.Name], ShouldBeBetweenOrEqual, slots-1, slots+1)
			}
		})
		Convey("one that has begun to answer is used again before it has completed a request", func() {
			now = now.Add(minEjection)
			tryEach()
			table.RecordAnswering(now, list[0].Name)
			for range slots {
				u, ok := pick(Query{})
				So(ok, ShouldBeTrue)
				So(u.Name, ShouldEqual, list[0].Name)
			}
		})
		Convey("a late answer of an earlier request does not end the ejection", func() {
			table.RecordAnswering(now, list[0].Name)
			_, ok := pick(Query{})
			So(ok, ShouldBeFalse)
		})
	})
}
