package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// chainOf is a request of three stages, one after the other, whose first is done.
func chainOf(now time.Time) *graph {
	deps := common.Quiet("h", "d")
	deps.Now = func() time.Time { return now }
	worker := &plan.Worker{
		Batch: 12,
		Call:  200 * time.Millisecond,
		Keep:  4 * time.Second,
	}
	p := plan.New(1, nil, []plan.Pool{{Name: "a", Worker: worker}, {Name: "b", Worker: worker}, {Name: "c", Worker: worker}}, nil, plan.Limits{})
	return &graph{
		run: &run{
			Service:  &Service{Deps: deps},
			ask:      Ask{Pieces: []int{1, 2, 3}, PieceKey: "k"},
			plan:     p,
			arrived:  now,
			deadline: now.Add(8 * time.Second),
			route: plan.Route{
				Objective: 2 * time.Second,
				Stages:    []plan.Stage{{Pool: "a", Bytes: 8000}, {Pool: "b", After: []int{0}, Bytes: 60000}, {Pool: "c", After: []int{1}, Bytes: 6000}},
			},
			near: "home",
		},
		made:   []batch.Made{{Handles: []string{"h0"}, Domain: "x"}, {}, {}},
		madeAt: []time.Time{now.Add(-3 * time.Second), {}, {}},
	}
}

func TestResultsAreKeptForAWhile(t *testing.T) {
	Convey("Given a chain whose first results were made 3 s ago and are kept for 4 s", t, func() {
		g := chainOf(time.Unix(1000, 0))
		Convey("the next stage has a second, though the deadline is far", func() {
			So(g.work(1, 2).Last, ShouldEqual, time.Second)
		})
		Convey("the first stage has what the deadline leaves after those that follow", func() {
			w := g.work(0, 1)
			So(w.Last, ShouldEqual, 8*time.Second-2*280*time.Millisecond-leastEngine)
			So(w.OnTime, ShouldEqual, 2*time.Second-2*280*time.Millisecond-engineTime)
			So(w.Key, ShouldEqual, "k")
			So(w.Domain, ShouldEqual, "home")
		})
		Convey("large results that only the engine needs are made where the prompt's prefix is, unless moving the prefix is cheaper", func() {
			g.ask.Pieces = []int{0, 0, 0, 2}
			g.route.Stages = append(g.route.Stages, plan.Stage{Pool: "a", Bytes: 1_500_000})
			So(g.work(3, 2).Moves, ShouldEqual, 0)
			g.ask.Parts = []Part{{ID: "p", Tokens: 6300}, {ID: "own", Tokens: 10}}
			w := g.work(3, 2)
			So(w.Domain, ShouldEqual, "home")
			So(w.Moves, ShouldEqual, 3_000_000)
			So(g.work(0, 1).Moves, ShouldEqual, 0)
		})
		Convey("the first stage has less time where the stages that follow have been taking longer than a call", func() {
			g.spans.learn("b", 1, time.Second)
			g.spans.learn("c", 2, 100*time.Millisecond)
			w := g.work(0, 1)
			So(w.Last, ShouldEqual, 8*time.Second-time.Second-280*time.Millisecond-leastEngine)
			So(w.OnTime, ShouldEqual, 2*time.Second-time.Second-280*time.Millisecond-engineTime)
		})
		Convey("pieces get the results of the stage before, and no key", func() {
			w := g.work(1, 2)
			So(w.Key, ShouldEqual, "")
			So(w.Pieces, ShouldResemble, []batch.Piece{{Index: 0, Inputs: []string{"h0"}}, {Index: 1, Inputs: []string{"h0"}}})
		})
		Convey("heavy inputs draw the work to where they are", func() {
			g.made[1] = batch.Made{Handles: []string{"a", "b"}, Domain: "x"}
			g.madeAt[1] = g.Now()
			w := g.work(2, 3)
			So(w.Domain, ShouldEqual, "x")
			So(w.Moves, ShouldEqual, 3*2*60000)
		})
	})
}
