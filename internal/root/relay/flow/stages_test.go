package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// onTimeEngineTime and minEngineTime are the times that remain for the request itself.
	onTimeEngineTime = 150 * time.Millisecond
	minEngineTime    = 60 * time.Millisecond
)

// newChain returns the state of a request with a chain of three stages, the first of which is done.
func newChain(now time.Time) *stageGraph {
	deps := common.NewQuietDeps("h", "d")
	deps.Now = func() time.Time { return now }
	worker := &plan.Worker{
		Batch:           12,
		Call:            200 * time.Millisecond,
		ResultRetention: 4 * time.Second,
	}
	p := plan.New(1, nil, []plan.Pool{{Name: "a", Worker: worker}, {Name: "b", Worker: worker}, {Name: "c", Worker: worker}}, nil, plan.Limits{})
	return &stageGraph{
		exchange: &exchange{
			Service:     &Service{Deps: deps},
			requestHead: RequestHead{Pieces: []int{1, 2, 3}, PieceKey: "k"},
			plan:        p,
			arrived:     now,
			deadline:    now.Add(8 * time.Second),
			route: plan.Route{
				Objective: 2 * time.Second,
				Stages:    []plan.Stage{{Pool: "a", ResultBytes: 8000}, {Pool: "b", DependsOn: []int{0}, ResultBytes: 60000}, {Pool: "c", DependsOn: []int{1}, ResultBytes: 6000}},
			},
			preferredDomain: "home",
		},
		results:    []batch.Completed{{Handles: []string{"h0"}, Domain: "x"}, {}, {}},
		finishedAt: []time.Time{now.Add(-3 * time.Second), {}, {}},
	}
}

func TestStageWorkAccountsForRetentionAndLocation(t *testing.T) {
	Convey("Given a chain whose first results are 3 s old and are kept for 4 s", t, func() {
		g := newChain(time.Unix(1000, 0))
		Convey("the next stage must end within 1 s, when the first results expire, although the deadline is later", func() {
			So(g.stageWork(1, 2).HardTimeout, ShouldEqual, time.Second)
		})
		Convey("the first stage has the time until the deadline less the expected time of the following stages", func() {
			w := g.stageWork(0, 1)
			So(w.HardTimeout, ShouldEqual, 8*time.Second-2*280*time.Millisecond-minEngineTime)
			So(w.SoftTimeout, ShouldEqual, 2*time.Second-2*280*time.Millisecond-onTimeEngineTime)
			So(w.Key, ShouldEqual, "k")
			So(w.Domain, ShouldEqual, "home")
		})
		Convey("large results that only the engine needs are produced in the domain of the prompt prefix, unless processing the prefix again is cheaper", func() {
			g.requestHead.Pieces = []int{0, 0, 0, 2}
			g.route.Stages = append(g.route.Stages, plan.Stage{Pool: "a", ResultBytes: 1_500_000})
			So(g.stageWork(3, 2).TransferBytes, ShouldEqual, 0)
			g.requestHead.PromptParts = []PromptPart{{ID: "p", Tokens: 6300}, {ID: "own", Tokens: 10}}
			w := g.stageWork(3, 2)
			So(w.Domain, ShouldEqual, "home")
			So(w.TransferBytes, ShouldEqual, 3_000_000)
			So(g.stageWork(0, 1).TransferBytes, ShouldEqual, 0)
		})
		Convey("the first stage has less time if a following stage takes longer on average than the expected time of a call", func() {
			g.stageTimes.Observe(g.Now(), "b", 1, time.Second)
			g.stageTimes.Observe(g.Now(), "c", 2, 100*time.Millisecond)
			w := g.stageWork(0, 1)
			So(w.HardTimeout, ShouldEqual, 8*time.Second-time.Second-280*time.Millisecond-minEngineTime)
			So(w.SoftTimeout, ShouldEqual, 2*time.Second-time.Second-280*time.Millisecond-onTimeEngineTime)
		})
		Convey("pieces of a dependent stage have the earlier results as inputs and no key", func() {
			w := g.stageWork(1, 2)
			So(w.Key, ShouldEqual, "")
			So(w.Pieces, ShouldResemble, []batch.Piece{{Index: 0, Inputs: []string{"h0"}}, {Index: 1, Inputs: []string{"h0"}}})
		})
		Convey("work with large inputs prefers their failure domain", func() {
			g.results[1] = batch.Completed{Handles: []string{"a", "b"}, Domain: "x"}
			g.finishedAt[1] = g.Now()
			w := g.stageWork(2, 3)
			So(w.Domain, ShouldEqual, "x")
			So(w.TransferBytes, ShouldEqual, 3*2*60000)
		})
	})
}

// Guards against requests that are refused for good after an outage, as the later stages took long then and nothing has run them since.
func TestStageTimesOfAnOutageAreForgotten(t *testing.T) {
	Convey("Given later stages that took almost as long as the deadline, in an outage", t, func() {
		now := time.Unix(1000, 0)
		g := newChain(now)
		g.Now = func() time.Time { return now }
		for range 20 {
			g.stageTimes.Observe(now, "b", 1, 3*time.Second)
			g.stageTimes.Observe(now, "c", 2, 3*time.Second)
		}
		left := func() time.Duration { return g.stageWork(0, 1).HardTimeout }
		Convey("the first stage has little time at first", func() {
			So(left(), ShouldEqual, 8*time.Second-2*3*time.Second-minEngineTime)
		})
		Convey("it has the usual time again after some seconds without any results of these stages", func() {
			now = now.Add(20 * time.Second)
			g.deadline = now.Add(8 * time.Second)
			So(left(), ShouldBeGreaterThan, 8*time.Second-2*300*time.Millisecond-minEngineTime)
		})
		Convey("results that keep coming keep the average", func() {
			for range 100 {
				now = now.Add(100 * time.Millisecond)
				g.stageTimes.Observe(now, "b", 1, 3*time.Second)
				g.stageTimes.Observe(now, "c", 2, 3*time.Second)
			}
			g.deadline = now.Add(8 * time.Second)
			So(left(), ShouldBeLessThan, 8*time.Second-2*2800*time.Millisecond-minEngineTime)
		})
	})
}
