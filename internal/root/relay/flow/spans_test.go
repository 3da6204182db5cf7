package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

func TestSideStageBeginsLater(t *testing.T) {
	Convey("Given a stage of large results beside a chain of three", t, func() {
		worker := &plan.Worker{
			Batch: 12,
			Call:  200 * time.Millisecond,
		}
		p := plan.New(1, nil, []plan.Pool{{Name: "a", Worker: worker}, {Name: "b", Worker: worker}, {Name: "c", Worker: worker}}, nil, plan.Limits{})
		g := &graph{
			run: &run{
				Service: &Service{Deps: common.Quiet("h", "d")},
				ask:     Ask{Pieces: []int{2, 1, 4, 10}},
				plan:    p,
				route: plan.Route{
					Stages: []plan.Stage{{Pool: "a"}, {Pool: "a"}, {Pool: "b", After: []int{1}}, {Pool: "c", After: []int{2}}},
				},
			},
		}
		call := 280 * time.Millisecond
		Convey("it begins so much later that the chain doesn't wait for it, though it takes longer than usual", func() {
			So(g.begin(0), ShouldEqual, 3*call-call*3/2-spanHead)
		})
		Convey("the chain begins at once", func() {
			So(g.begin(1), ShouldEqual, 0)
		})
		Convey("with its stage slow, it begins at once as well", func() {
			for range 100 {
				g.spans.learn("a", 0, time.Second)
			}
			So(g.begin(0), ShouldEqual, 0)
		})
		Convey("times are learned bit by bit", func() {
			g.spans.learn("c", 3, time.Second)
			So(g.spans.of("c", 3, 0), ShouldEqual, time.Second)
			g.spans.learn("c", 3, 2*time.Second)
			So(g.spans.of("c", 3, 0), ShouldEqual, 1100*time.Millisecond)
			So(g.begin(0), ShouldEqual, 2*call+1100*time.Millisecond-call*3/2-spanHead)
		})
		Convey("without the chain's pieces it begins at once", func() {
			g.ask.Pieces = []int{2, 0, 0, 0}
			So(g.begin(0), ShouldEqual, 0)
		})
		Convey("what only one stage needs is given up by whoever makes it", func() {
			So(g.onlyNeeds(2, 1), ShouldBeTrue)
			g.route.Stages = append(g.route.Stages, plan.Stage{Pool: "c", After: []int{1}})
			g.ask.Pieces = append(g.ask.Pieces, 1)
			So(g.onlyNeeds(2, 1), ShouldBeFalse)
		})
	})
}
