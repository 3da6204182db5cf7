package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

func TestShortStageStartsLaterThanParallelChain(t *testing.T) {
	Convey("Given a single stage parallel to a chain of three stages", t, func() {
		deps := common.NewQuietDeps("h", "d")
		deps.Now = func() time.Time { return time.Unix(1000, 0) }
		worker := &plan.Worker{
			Batch: 12,
			Call:  200 * time.Millisecond,
		}
		p := plan.New(1, nil, []plan.Pool{{Name: "a", Worker: worker}, {Name: "b", Worker: worker}, {Name: "c", Worker: worker}}, nil, plan.Limits{})
		g := &stageGraph{
			exchange: &exchange{
				Service:     &Service{Deps: deps},
				requestHead: RequestHead{Pieces: []int{2, 1, 4, 10}},
				plan:        p,
				route: plan.Route{
					Stages: []plan.Stage{{Pool: "a"}, {Pool: "a"}, {Pool: "b", DependsOn: []int{1}}, {Pool: "c", DependsOn: []int{2}}},
				},
			},
		}
		call := 280 * time.Millisecond
		Convey("the single stage is delayed by the difference to the chain's time, less a margin in case it is slow", func() {
			So(g.startDelay(0), ShouldEqual, 3*call-call*3/2-startDelayMargin)
		})
		Convey("the first stage of the chain starts without delay", func() {
			So(g.startDelay(1), ShouldEqual, 0)
		})
		Convey("the single stage starts without delay if its average time is long", func() {
			for range 100 {
				g.stageTimes.observe(g.Now(), "a", 0, time.Second)
			}
			So(g.startDelay(0), ShouldEqual, 0)
		})
		Convey("the first sample sets the average, and each later sample moves the average by its weight", func() {
			g.stageTimes.observe(g.Now(), "c", 3, time.Second)
			So(g.stageTimes.average(g.Now(), "c", 3, 0), ShouldEqual, time.Second)
			g.stageTimes.observe(g.Now(), "c", 3, 2*time.Second)
			So(g.stageTimes.average(g.Now(), "c", 3, 0), ShouldEqual, 1100*time.Millisecond)
			So(g.startDelay(0), ShouldEqual, 2*call+1100*time.Millisecond-call*3/2-startDelayMargin)
		})
		Convey("the single stage starts without delay if the chain has no pieces", func() {
			g.requestHead.Pieces = []int{2, 0, 0, 0}
			So(g.startDelay(0), ShouldEqual, 0)
		})
		Convey("a stage is the sole consumer of an input until another stage depends on it", func() {
			So(g.isSoleConsumer(2, 1), ShouldBeTrue)
			g.route.Stages = append(g.route.Stages, plan.Stage{Pool: "c", DependsOn: []int{1}})
			g.requestHead.Pieces = append(g.requestHead.Pieces, 1)
			So(g.isSoleConsumer(2, 1), ShouldBeFalse)
		})
	})
}
