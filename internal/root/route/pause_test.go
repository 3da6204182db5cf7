package route

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/retry"
)

func TestPausedUpstreamIsNotChosen(t *testing.T) {
	Convey("Given three upstreams, of which one has asked for a pause of 2 s", t, func() {
		now := time.Unix(1000, 0)
		rng := newRand()
		table, ups := newTable(3, 4)
		chosen := func(at time.Time) map[string]int {
			out := map[string]int{}
			for range 100 {
				if u, ok := table.Pick(at, rng, Query{Pool: "p"}); ok {
					out[u.Name]++
					table.Release(at, u.Name)
				}
			}
			return out
		}
		table.Pause(now, ups[0].Incarnation(), 2*time.Second)
		Convey("it is not chosen until the pause ends, and does not count as capacity", func() {
			So(chosen(now.Add(1999 * time.Millisecond))[ups[0].Name], ShouldEqual, 0)
			So(table.Pressure(now, "p").Slots, ShouldEqual, 8)
			So(table.Paused(now), ShouldEqual, 1)
			So(table.Paused(now.Add(2*time.Second)), ShouldEqual, 0)
		})
		Convey("after the pause its capacity rises slowly, as a pause says nothing about its room", func() {
			e := table.byName[ups[0].Name]
			So(e.capacity(now.Add(2*time.Second), 10), ShouldEqual, 1)
			So(e.capacity(now.Add(2*time.Second+slowStart), 10), ShouldEqual, 10)
			So(chosen(now.Add(2 * time.Second))[ups[0].Name], ShouldBeGreaterThan, 0)
		})
		Convey("a shorter pause does not end it earlier, and a longer one extends it", func() {
			table.Pause(now, ups[0].Incarnation(), time.Second)
			So(chosen(now.Add(1500 * time.Millisecond))[ups[0].Name], ShouldEqual, 0)
			table.Pause(now, ups[0].Incarnation(), 4*time.Second)
			So(chosen(now.Add(3 * time.Second))[ups[0].Name], ShouldEqual, 0)
		})
		Convey("an endless pause is bounded", func() {
			table.Pause(now, ups[0].Incarnation(), 1000*time.Hour)
			So(chosen(now.Add(retry.MaxPause))[ups[0].Name], ShouldBeGreaterThan, 0)
		})
		Convey("it is no failure", func() {
			e := table.byName[ups[0].Name]
			So(e.consecutiveFailures, ShouldEqual, 0)
			So(e.ejections, ShouldEqual, 0)
		})
		Convey("another start of the upstream is not paused", func() {
			next := ups[0]
			next.StartedAtMS = 7
			table.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, []Upstream{next, ups[1], ups[2]}, 1)
			So(chosen(now)[ups[0].Name], ShouldBeGreaterThan, 0)
			table.Pause(now, ups[0].Incarnation(), time.Second)
			So(chosen(now)[ups[0].Name], ShouldBeGreaterThan, 0)
		})
		Convey("callers are not told to come back later while another upstream can be used", func() {
			_, ok := table.ReturnAfter(now, "p", 1, nil)
			So(ok, ShouldBeFalse)
		})
		Convey("if all are paused, callers return once the first one can be used again, at the rate of those usable then", func() {
			table.Pause(now, ups[1].Incarnation(), time.Second)
			table.Pause(now, ups[2].Incarnation(), 5*time.Second)
			first, ok := table.ReturnAfter(now, "p", 1, nil)
			So(ok, ShouldBeTrue)
			So(first, ShouldEqual, time.Second)
			second, _ := table.ReturnAfter(now, "p", 1, nil)
			So(second, ShouldEqual, time.Second+expected/4)
			table.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, ups, 1)
			third, _ := table.ReturnAfter(now, "p", 1, nil)
			So(third, ShouldEqual, time.Second+expected/2)
			_, ok = table.ReturnAfter(now.Add(time.Second), "p", 1, nil)
			So(ok, ShouldBeFalse)
		})
		Convey("a leaving upstream does not return", func() {
			leaving := ups[1]
			leaving.Leaving = true
			table.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, []Upstream{ups[0], leaving}, 1)
			after, ok := table.ReturnAfter(now, "p", 1, nil)
			So(ok, ShouldBeTrue)
			So(after, ShouldEqual, 2*time.Second)
		})
	})
}

// TestPausesAgainstNaive lets random upstreams ask for pauses and fail, and compares each choice with a naive list of the pauses.
func TestPausesAgainstNaive(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 31))
		table, ups := newTable(6, 4)
		now := time.Unix(1000, 0)
		until := map[string]time.Time{}
		for range 3000 {
			now = now.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
			u := ups[rng.IntN(len(ups))]
			switch rng.IntN(10) {
			case 0:
				d := time.Duration(rng.IntN(2000)) * time.Millisecond
				table.Pause(now, u.Incarnation(), d)
				if end := now.Add(d); end.After(until[u.Name]) {
					until[u.Name] = end
				}
			case 1:
				table.Eject(now, u.Name)
			default:
				picked, ok := table.Pick(now, rng, Query{Pool: "p", Affinity: uint64(rng.IntN(2))})
				if ok && now.Before(until[picked.Name]) {
					t.Fatalf("seed %d: %s was chosen %s before the end of its pause", seed, picked.Name, until[picked.Name].Sub(now))
				}
				if after, all := table.ReturnAfter(now, "p", 1, nil); all && ok {
					t.Fatalf("seed %d: %s was chosen, but callers are to return in %s", seed, picked.Name, after)
				}
				if ok {
					table.Done(now, picked.Name, expected, rng.IntN(4) > 0)
				}
			}
		}
	}
}
