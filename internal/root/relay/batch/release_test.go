package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// burstFactor is the load during a burst as a multiple of the usual load. The burst is 95 percent of the load that the workers can process with full calls.
const burstFactor = 1.85

// twoStages simulates two pools in virtual time. The results of the first are the inputs of the second, and an engine holds the results of the second for a moment.
type twoStages struct {
	queues    [2]*Queue
	specs     [2]plan.Worker
	now       time.Time
	callEnds  []twoStageEvent
	readEnds  []twoStageEvent
	arrivedAt map[string]time.Time
	onTime    int
	refused   int
}

// twoStageEvent is the end of a call to a worker, or the moment at which an engine has read the results of the second stage.
type twoStageEvent struct {
	at      time.Time
	stage   int
	call    *Call
	handles []string
}

const (
	twoStageTarget = 1100 * time.Millisecond
	engineReadTime = 150 * time.Millisecond
)

func newTwoStages() *twoStages {
	c := &twoStages{
		specs: [2]plan.Worker{
			{Slots: 1, Batch: 32, Call: 200 * time.Millisecond, PieceTime: 5400 * time.Microsecond, ResultCapacity: 4_300_000, ResultRetention: 4 * time.Second},
			{Slots: 1, Batch: 80, Call: 200 * time.Millisecond, PieceTime: 2100 * time.Microsecond, ResultCapacity: 1_100_000, ResultRetention: 4 * time.Second},
		},
		now:       start,
		arrivedAt: map[string]time.Time{},
	}
	for i, s := range c.specs {
		c.queues[i] = NewQueue(s)
		c.queues[i].SetWorkers(workersIn("x", "x", "y", "z", "w"))
	}
	return c
}

// step advances the simulation by 5 ms.
func (c *twoStages) step() {
	c.now = c.now.Add(5 * time.Millisecond)
	due := func(e twoStageEvent) bool { return !e.at.After(c.now) }
	for _, e := range c.callEnds {
		if due(e) {
			c.finish(e)
		}
	}
	c.callEnds = slices.DeleteFunc(c.callEnds, due)
	for _, e := range c.readEnds {
		if due(e) {
			c.queues[1].Free(e.handles)
		}
	}
	c.readEnds = slices.DeleteFunc(c.readEnds, due)
	for i, q := range c.queues {
		q.Expire(c.now)
		for _, handles := range q.Released(c.now) {
			c.queues[0].Free(handles)
		}
		for call, ok := q.NextCall(c.now); ok; call, ok = q.NextCall(c.now) {
			took := c.specs[i].Call + time.Duration(len(call.Items))*c.specs[i].PieceTime
			c.callEnds = append(c.callEnds, twoStageEvent{
				at:    c.now.Add(took),
				stage: i,
				call:  call,
			})
		}
	}
}

func (c *twoStages) finish(e twoStageEvent) {
	ended, _ := c.queues[e.stage].CompleteCall(c.now, e.call, resultsOf(e.call, fmt.Sprint(e.stage)))
	for _, j := range ended {
		completed, ok := j.Outcome.(Completed)
		switch {
		case !ok:
		case e.stage == 0:
			c.add(1, j.Request, 10, 6000, completed)
		default:
			if c.now.Sub(c.arrivedAt[j.Request]) <= twoStageTarget {
				c.onTime++
			}
			c.readEnds = append(c.readEnds, twoStageEvent{
				at:      c.now.Add(engineReadTime),
				handles: completed.Handles,
			})
		}
	}
}

func (c *twoStages) add(stage int, id string, pieces int, bytes int64, from Completed) {
	left := twoStageTarget - c.now.Sub(c.arrivedAt[id])
	w := workOf(id, pieces).withBytes(bytes).withTime(left, left+5*time.Second)
	w.Stage = stage
	if stage == 0 {
		w = w.withTime(left-twoStageTarget/2, left+4*time.Second)
	}
	if len(from.Handles) > 0 {
		w = w.withInputsIn(from.Domain, 4*60_000*int64(pieces))
		w.Released = []Released{{Queue: "0", Handles: from.Handles}}
	}
	for i := range w.Pieces {
		w.Pieces[i].Inputs = from.Handles
	}
	if _, refused := c.queues[stage].Add(c.now, w); refused != nil {
		c.refused++
	}
}

// TestBurstOnTwoStagesWithLittleRoomIsOnTime guards against late results during a burst of one kind of request, when workers have room for the results of only two calls and the second pool is near the first.
func TestBurstOnTwoStagesWithLittleRoomIsOnTime(t *testing.T) {
	for seed := range uint64(4) {
		Convey(fmt.Sprintf("A burst that full calls would carry is on time, seed %d", seed), t, func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			c := newTwoStages()
			sent := 0
			next := start
			for c.now.Before(start.Add(12 * time.Second)) {
				c.step()
				for ; !next.After(c.now) && next.Before(start.Add(8*time.Second)); sent++ {
					id := fmt.Sprint(sent)
					c.arrivedAt[id] = c.now
					c.add(0, id, 4, 60_000, Completed{})
					next = next.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / (burstFactor * 55)))
				}
			}
			So(float64(c.onTime)/float64(sent), ShouldBeGreaterThanOrEqualTo, minOnTimeShare)
		})
	}
}

func TestInputsAreReleasedOnceAfterFetch(t *testing.T) {
	Convey("Given work with inputs from another pool", t, func() {
		q := NewQueue(specOf(2))
		q.SetWorkers(workersIn("x", "x"))
		w := workOf("a", 3)
		w.Released = []Released{{Queue: "before", Handles: []string{"i1", "i2"}}}
		j, refused := q.Add(start, w)
		So(refused, ShouldBeNil)
		c, ok := q.NextCall(start)
		So(ok, ShouldBeTrue)
		// The queue has made calls for a while, so the workers are not assumed to be shared.
		q.exclusiveFrom = start
		fetched := start.Add(q.spec.Call)
		Convey("the inputs are kept while a piece waits", func() {
			So(q.Released(fetched), ShouldBeNil)
		})
		Convey("the inputs are kept until the worker must have fetched them, and then released once", func() {
			second, ok := q.NextCall(start.Add(30 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(q.Released(start.Add(100*time.Millisecond)), ShouldBeNil)
			So(q.Released(fetched), ShouldResemble, map[string][]string{"before": {"i1", "i2"}})
			So(q.Released(fetched.Add(time.Second)), ShouldBeNil)
			Convey("after which a failed call ends the work, as its pieces can't be computed again", func() {
				ended, _ := q.FailCall(fetched, second)
				So(ended, ShouldResemble, []*Job{j})
				So(j.Outcome, ShouldResemble, Failed{Reason: ReasonInputLost})
			})
			Convey("after which slow calls are not hedged", func() {
				q.Hedge(fetched.Add(time.Hour))
				So(q.Waiting(), ShouldEqual, 0)
			})
		})
		Convey("the inputs are kept while another host may use the workers, as a waiting call has fetched nothing,", func() {
			second, ok := q.NextCall(start.Add(30 * time.Millisecond))
			So(ok, ShouldBeTrue)
			Convey("because an input was gone", func() {
				results := resultsOf(c, "h")
				results[0] = Result{Reason: ReasonInputLost}
				q.detectSharing(fetched, c, results)
			})
			Convey("because a call was late by the fixed time of another call", func() {
				q.detectSharing(start.Add(second.Expected+q.spec.Call), second, resultsOf(second, "h"))
			})
			Convey("because the queue made no calls for a while", func() {
				q.calls(start.Add(inactiveWindow + time.Minute))
			})
			So(q.Released(start.Add(second.Expected+q.spec.Call)), ShouldBeNil)
		})
		Convey("the inputs are released if the calls complete before that time", func() {
			second, ok := q.NextCall(start.Add(30 * time.Millisecond))
			So(ok, ShouldBeTrue)
			q.CompleteCall(start.Add(50*time.Millisecond), c, resultsOf(c, "h"))
			q.CompleteCall(start.Add(50*time.Millisecond), second, resultsOf(second, "h"))
			So(j.Outcome, ShouldHaveSameTypeAs, Completed{})
			So(q.Released(start.Add(50*time.Millisecond)), ShouldResemble, map[string][]string{"before": {"i1", "i2"}})
		})
	})
}
