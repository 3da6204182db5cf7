package graph

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

func TestShortStageStartsLaterThanParallelChain(t *testing.T) {
	Convey("Given a single stage parallel to a chain of three stages", t, func() {
		now := time.Unix(1000, 0)
		var times Times
		worker := &plan.Worker{
			Batch: 12,
			Call:  200 * time.Millisecond,
		}
		p := plan.New(1, nil, []plan.Pool{{Name: "a", Worker: worker}, {Name: "b", Worker: worker}, {Name: "c", Worker: worker}}, nil, plan.Limits{})
		r := &Request{
			Plan:   p,
			Pieces: []int{2, 1, 4, 10},
			Route: plan.Route{
				Stages: []plan.Stage{{Pool: "a"}, {Pool: "a"}, {Pool: "b", DependsOn: []int{1}}, {Pool: "c", DependsOn: []int{2}}},
			},
		}
		call := 280 * time.Millisecond
		Convey("the single stage is delayed by the difference to the chain's time, less a margin in case it is slow", func() {
			So(r.StartDelay(now, &times, 0), ShouldEqual, 3*call-call*3/2-startDelayMargin)
		})
		Convey("the first stage of the chain starts without delay", func() {
			So(r.StartDelay(now, &times, 1), ShouldEqual, 0)
		})
		Convey("the single stage starts without delay if its average time is long", func() {
			for range 100 {
				times.Observe(now, "a", 0, time.Second)
			}
			So(r.StartDelay(now, &times, 0), ShouldEqual, 0)
		})
		Convey("the first sample sets the average, and each later sample moves the average by its weight", func() {
			times.Observe(now, "c", 3, time.Second)
			So(times.average(now, "c", 3, 0), ShouldEqual, time.Second)
			times.Observe(now, "c", 3, 2*time.Second)
			So(times.average(now, "c", 3, 0), ShouldEqual, 1100*time.Millisecond)
			So(r.StartDelay(now, &times, 0), ShouldEqual, 2*call+1100*time.Millisecond-call*3/2-startDelayMargin)
		})
		Convey("the single stage starts without delay if the chain has no pieces", func() {
			r.Pieces = []int{2, 0, 0, 0}
			So(r.StartDelay(now, &times, 0), ShouldEqual, 0)
		})
		Convey("a stage is the sole consumer of an input until another stage depends on it", func() {
			So(r.IsSoleConsumer(2, 1), ShouldBeTrue)
			r.Route.Stages = append(r.Route.Stages, plan.Stage{Pool: "c", DependsOn: []int{1}})
			r.Pieces = append(r.Pieces, 1)
			So(r.IsSoleConsumer(2, 1), ShouldBeFalse)
		})
	})
}

// Guards against plans that hold only for stages listed in the order of their needs, as operators list them in any (review/5).
func TestOrderOfStagesInTheListDoesNotMatter(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(1000, 0)
	var pools []plan.Pool
	for i := range 6 {
		pools = append(pools, plan.Pool{
			Name: strconv.Itoa(i),
			Worker: &plan.Worker{
				Batch: 12,
				Call:  time.Duration(100+rng.IntN(200)) * time.Millisecond,
			},
		})
	}
	for range 300 {
		sorted, shuffled := newGraphs(rng, now, pools)
		var times Times
		for i := range sorted.Route.Stages {
			j := slices.IndexFunc(shuffled.Route.Stages, func(s plan.Stage) bool { return s.Pool == sorted.Route.Stages[i].Pool })
			soft, hard := sorted.TimeLeft(now, &times, i)
			otherSoft, otherHard := shuffled.TimeLeft(now, &times, j)
			if soft != otherSoft || hard != otherHard {
				t.Fatalf("stages %+v: stage %d has %s and %s, in the order %+v %s and %s", sorted.Route.Stages, i, soft, hard, shuffled.Route.Stages, otherSoft, otherHard)
			}
			if a, b := sorted.StartDelay(now, &times, i), shuffled.StartDelay(now, &times, j); a != b {
				t.Fatalf("stages %+v: stage %d is delayed by %s, in the order %+v by %s", sorted.Route.Stages, i, a, shuffled.Route.Stages, b)
			}
			if a, b := sorted.AdmitWithin(now, &times, i), shuffled.AdmitWithin(now, &times, j); a != b {
				t.Fatalf("stages %+v: stage %d must end within %s, in the order %+v within %s", sorted.Route.Stages, i, a, shuffled.Route.Stages, b)
			}
		}
	}
}

// newGraphs returns a request with a random graph of stages, one for each pool, in the order of their needs and in a random one.
func newGraphs(rng *rand.Rand, now time.Time, pools []plan.Pool) (sorted, shuffled *Request) {
	order := rng.Perm(len(pools))
	request := func() *Request {
		return &Request{
			Plan:     plan.New(1, nil, pools, nil, plan.Limits{}),
			Pieces:   make([]int, len(pools)),
			Arrived:  now,
			Deadline: now.Add(20 * time.Second),
			Route: plan.Route{
				Objective: 10 * time.Second,
				Stages:    make([]plan.Stage, len(pools)),
			},
		}
	}
	sorted, shuffled = request(), request()
	for i, p := range pools {
		var needs, movedNeeds []int
		for a := range i {
			if rng.IntN(3) == 0 {
				needs = append(needs, a)
				movedNeeds = append(movedNeeds, order[a])
			}
		}
		pieces := rng.IntN(4)
		sorted.Pieces[i], shuffled.Pieces[order[i]] = pieces, pieces
		sorted.Route.Stages[i] = plan.Stage{Pool: p.Name, DependsOn: needs}
		shuffled.Route.Stages[order[i]] = plan.Stage{Pool: p.Name, DependsOn: movedNeeds}
	}
	return sorted, shuffled
}

// Guards against requests that are all refused because their objective is tight, or because later stages were slow once.
func TestTimeWithinWhichTheFirstStageMustEnd(t *testing.T) {
	const call = 280 * time.Millisecond
	now := time.Unix(1000, 0)
	worker := &plan.Worker{
		Batch: 12,
		Call:  200 * time.Millisecond,
	}
	newRequest := func(objective time.Duration) *Request {
		return &Request{
			Plan:     plan.New(1, nil, []plan.Pool{{Name: "a", Worker: worker}, {Name: "b", Worker: worker}}, nil, plan.Limits{}),
			Pieces:   []int{1, 1},
			Arrived:  now,
			Deadline: now.Add(8 * time.Second),
			Route: plan.Route{
				Objective: objective,
				Stages:    []plan.Stage{{Pool: "a"}, {Pool: "b", DependsOn: []int{0}}},
			},
		}
	}
	Convey("Given a request with two stages", t, func() {
		var times Times
		Convey("the first stage has the time that the second and the engine leave, and a share of the slack besides", func() {
			r := newRequest(2 * time.Second)
			slack := 2*time.Second - 2*call - onTimeEngineTime
			So(r.AdmitWithin(now, &times, 0), ShouldEqual, 2*time.Second-call-onTimeEngineTime+slack/2)
		})
		Convey("with a tight objective it still has the time of a call, so that an idle pool accepts it", func() {
			r := newRequest(2*call + onTimeEngineTime + 20*time.Millisecond)
			So(r.AdmitWithin(now, &times, 0), ShouldBeGreaterThanOrEqualTo, call)
		})
		Convey("it does not ask to be refused if it would be late in any case", func() {
			So(newRequest(2*call).AdmitWithin(now, &times, 0), ShouldEqual, 0)
		})
		Convey("it does not ask to be refused if it continues a stream", func() {
			r := newRequest(2 * time.Second)
			r.Resumed = true
			So(r.AdmitWithin(now, &times, 0), ShouldEqual, 0)
		})
		Convey("it has no time while the second stage is too slow, and has it again once nothing is known of that", func() {
			times.Observe(now, "b", 1, 5*time.Second)
			r := newRequest(2 * time.Second)
			So(r.AdmitWithin(now, &times, 0), ShouldEqual, time.Nanosecond)
			now = now.Add(20 * time.Second)
			r.Arrived = now
			So(r.AdmitWithin(now, &times, 0), ShouldBeGreaterThan, call)
		})
	})
}
