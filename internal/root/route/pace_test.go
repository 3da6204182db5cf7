package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/stage"
)

const promptTokens = 1000

// Guards against a short slowdown that is taken for the upstream's usual speed, and the reverse.
func TestUsualPaceIsLearnedApartFromSlowdowns(t *testing.T) {
	Convey("Given an upstream that has stated pace 0.5 often, and 2 just now", t, func() {
		now := time.Unix(1000, 0)
		var b paceBook
		for range 50 {
			now = now.Add(100 * time.Millisecond)
			b.record(stage.Load{Pace: 0.5}, now)
		}
		b.record(stage.Load{Pace: 2}, now)
		So(b.usual, ShouldBeLessThan, 0.7)
		Convey("it is expected to be slow now and usual again later", func() {
			So(b.at(now, 1), ShouldEqual, 2)
			So(b.at(now.Add(5*paceMemory), 1), ShouldBeLessThan, 0.7)
		})
		Convey("reports without a pace change nothing", func() {
			b.record(stage.Load{}, now)
			So(b.at(now, 1), ShouldEqual, 2)
		})
	})
}

// Guards against an upstream that gets no request for ever, because it has stated absurd figures and no later report can correct them.
func TestUpstreamWithAbsurdReportIsTriedAgain(t *testing.T) {
	Convey("Given one of 12 upstreams that states 10,000 waiting requests and ten times the usual pace", t, func() {
		table, list := newTable(12, 16)
		now, rng := time.Unix(1000, 0), newRand()
		for i, u := range list {
			load := stage.Load{Slots: 16, Pace: 1}
			if i == 0 {
				load = stage.Load{Busy: 10_000, Queued: 10_000, Slots: 1, Pace: 10}
			}
			table.Report(u.Name, load, now)
		}
		picked := func(within time.Duration) bool {
			for end := now.Add(within); now.Before(end); now = now.Add(10 * time.Millisecond) {
				u, ok := table.Pick(now, rng, Query{Pool: "p", Prompt: Prompt{Tokens: promptTokens}})
				So(ok, ShouldBeTrue)
				if u.Name == list[0].Name {
					return true
				}
				table.Report(u.Name, stage.Load{Slots: 16, Pace: 1}, now)
				table.Done(now, u.Name, expected, true)
			}
			return false
		}
		So(picked(time.Second), ShouldBeFalse)
		So(picked(3*usualPaceMemory), ShouldBeTrue)
	})
}

// Guards against a change for pools whose upstreams state no pace.
func TestPoolWithoutPaceIsChosenByLoad(t *testing.T) {
	Convey("Given two tables that differ only in the size of the prompts that they are told", t, func() {
		a, list := newTable(12, 4)
		b, _ := newTable(12, 4)
		rngA, rngB := newRand(), newRand()
		now := time.Unix(1000, 0)
		for i := range 2000 {
			now = now.Add(5 * time.Millisecond)
			load := stage.Load{Busy: i % 5, Slots: 4}
			a.Report(list[i%12].Name, load, now)
			b.Report(list[i%12].Name, load, now)
			x, _ := a.Pick(now, rngA, Query{Pool: "p", Affinity: uint64(i % 7)})
			y, _ := b.Pick(now, rngB, Query{Pool: "p", Affinity: uint64(i % 7), Prompt: Prompt{Tokens: promptTokens}})
			So(y, ShouldResemble, x)
			a.Done(now, x.Name, expected, true)
			b.Done(now, y.Name, expected, true)
		}
		So(b.EvenStats(now), ShouldBeEmpty)
		So(b.SharedReports(now, 100, false), ShouldBeEmpty)
	})
}

func TestPickByPaceDoesNotAllocate(t *testing.T) {
	table, list := newTable(710, 16)
	now, rng := time.Unix(1000, 0), newRand()
	for _, u := range list {
		table.Report(u.Name, stage.Load{Queued: 2, Slots: 16, Pace: 1}, now)
	}
	got := testing.AllocsPerRun(1000, func() {
		u, _ := table.Pick(now, rng, Query{Pool: "p", Affinity: 7, Prompt: Prompt{Tokens: promptTokens}})
		table.Release(now, u.Name)
	})
	if got != 0 {
		t.Errorf("Pick among %d upstreams allocates %v times", len(list), got)
	}
}

func BenchmarkPickByPace(b *testing.B) {
	table, list := newTable(710, 16)
	now, rng := time.Unix(1000, 0), newRand()
	for _, u := range list {
		table.Report(u.Name, stage.Load{Slots: 16, Pace: 1}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		u, _ := table.Pick(now, rng, Query{Pool: "p", Affinity: 7, Prompt: Prompt{Tokens: promptTokens}})
		table.Release(now, u.Name)
	}
}
