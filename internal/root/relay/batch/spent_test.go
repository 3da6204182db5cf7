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

// burst is how many times the usual load comes: 95 in 100 of what full calls carry.
const burst = 1.85

// chain is two pools in virtual time: what the first makes, the second needs, and an engine holds the second's results for a moment.
type chain struct {
	queues  [2]*Queue
	specs   [2]plan.Worker
	now     time.Time
	ends    []chainEnd
	reads   []chainEnd
	came    map[string]time.Time
	onTime  int
	refused int
}

// chainEnd is the end of a call, or of an engine's reading of results.
type chainEnd struct {
	at      time.Time
	stage   int
	call    *Call
	handles []string
}

const (
	chainAim   = 1100 * time.Millisecond
	engineRead = 150 * time.Millisecond
)

func newChain() *chain {
	c := &chain{
		specs: [2]plan.Worker{
			{Slots: 1, Batch: 32, Call: 200 * time.Millisecond, Item: 5400 * time.Microsecond, Room: 4_300_000, Keep: 4 * time.Second},
			{Slots: 1, Batch: 80, Call: 200 * time.Millisecond, Item: 2100 * time.Microsecond, Room: 1_100_000, Keep: 4 * time.Second},
		},
		now:  start,
		came: map[string]time.Time{},
	}
	for i, s := range c.specs {
		c.queues[i] = NewQueue(s)
		c.queues[i].SetWorkers(workersOf("x", "x", "y", "z", "w"))
	}
	return c
}

// step goes on by 5 ms.
func (c *chain) step() {
	c.now = c.now.Add(5 * time.Millisecond)
	due := func(e chainEnd) bool { return !e.at.After(c.now) }
	for _, e := range c.ends {
		if due(e) {
			c.finish(e)
		}
	}
	c.ends = slices.DeleteFunc(c.ends, due)
	for _, e := range c.reads {
		if due(e) {
			c.queues[1].Free(e.handles)
		}
	}
	c.reads = slices.DeleteFunc(c.reads, due)
	for i, q := range c.queues {
		q.Expire(c.now)
		for _, handles := range q.Spent(c.now) {
			c.queues[0].Free(handles)
		}
		for call, ok := q.Next(c.now); ok; call, ok = q.Next(c.now) {
			took := c.specs[i].Call + time.Duration(len(call.Items))*c.specs[i].Item
			c.ends = append(c.ends, chainEnd{
				at:    c.now.Add(took),
				stage: i,
				call:  call,
			})
		}
	}
}

func (c *chain) finish(e chainEnd) {
	over, _ := c.queues[e.stage].Finish(c.now, e.call, handlesOf(e.call, fmt.Sprint(e.stage)))
	for _, j := range over {
		made, ok := j.Outcome.(Made)
		switch {
		case !ok:
		case e.stage == 0:
			c.add(1, j.Request, 10, 6000, made)
		default:
			if c.now.Sub(c.came[j.Request]) <= chainAim {
				c.onTime++
			}
			c.reads = append(c.reads, chainEnd{
				at:      c.now.Add(engineRead),
				handles: made.Handles,
			})
		}
	}
}

func (c *chain) add(stage int, id string, pieces int, bytes int64, from Made) {
	left := chainAim - c.now.Sub(c.came[id])
	w := workOf(id, pieces).withBytes(bytes).withTime(left, left+5*time.Second)
	w.Stage = stage
	if stage == 0 {
		w = w.withTime(left-chainAim/2, left+4*time.Second)
	}
	if len(from.Handles) > 0 {
		w = w.near(from.Domain, 4*60_000*int64(pieces))
		w.Spent = []Spent{{Queue: "0", Handles: from.Handles}}
	}
	for i := range w.Pieces {
		w.Pieces[i].Inputs = from.Handles
	}
	if _, refused := c.queues[stage].Add(c.now, w); refused != nil {
		c.refused++
	}
}

// TestBurstOnAChainWithLittleRoom answers the burst of one kind of request on workers that have room for two calls of results, the second pool near the first.
func TestBurstOnAChainWithLittleRoom(t *testing.T) {
	for seed := range uint64(4) {
		Convey(fmt.Sprintf("A burst that full calls would carry is on time, seed %d", seed), t, func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			c := newChain()
			sent := 0
			next := start
			for c.now.Before(start.Add(12 * time.Second)) {
				c.step()
				for ; !next.After(c.now) && next.Before(start.Add(8*time.Second)); sent++ {
					id := fmt.Sprint(sent)
					c.came[id] = c.now
					c.add(0, id, 4, 60_000, Made{})
					next = next.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / (burst * 55)))
				}
			}
			So(float64(c.onTime)/float64(sent), ShouldBeGreaterThanOrEqualTo, servedTarget)
		})
	}
}

func TestInputsAreGivenUpOnce(t *testing.T) {
	Convey("Given work made from results of another pool", t, func() {
		q := NewQueue(specOf(2))
		q.SetWorkers(workersOf("x", "x"))
		w := workOf("a", 3)
		w.Spent = []Spent{{Queue: "before", Handles: []string{"i1", "i2"}}}
		j, refused := q.Add(start, w)
		So(refused, ShouldBeNil)
		c, ok := q.Next(start)
		So(ok, ShouldBeTrue)
		// The queue has made calls for a while.
		q.alone = start
		fetched := start.Add(q.spec.Call)
		Convey("they are kept while a piece waits", func() {
			So(q.Spent(fetched), ShouldBeNil)
		})
		Convey("they are kept until the worker must have fetched them, and then given up once", func() {
			second, ok := q.Next(start.Add(30 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(q.Spent(start.Add(100*time.Millisecond)), ShouldBeNil)
			So(q.Spent(fetched), ShouldResemble, map[string][]string{"before": {"i1", "i2"}})
			So(q.Spent(fetched.Add(time.Second)), ShouldBeNil)
			Convey("after which a call that breaks ends the work, as it can't be made again", func() {
				over, _ := q.Broke(fetched, second)
				So(over, ShouldResemble, []*Job{j})
				So(j.Outcome, ShouldResemble, Failed{Reason: Gone})
			})
			Convey("after which slow calls are not made elsewhere as well", func() {
				q.Hedge(fetched.Add(time.Hour))
				So(q.Waiting(), ShouldEqual, 0)
			})
		})
		Convey("they are kept while another host may use the workers, as a call that waits has fetched nothing", func() {
			second, ok := q.Next(start.Add(30 * time.Millisecond))
			So(ok, ShouldBeTrue)
			Convey("because a result was gone", func() {
				results := handlesOf(c, "h")
				results[0] = Result{Reason: Gone}
				q.heeds(fetched, c, results)
			})
			Convey("because a call was late by most of another call", func() {
				q.heeds(start.Add(second.Expected+q.spec.Call), second, handlesOf(second, "h"))
			})
			Convey("because this queue made no call for a while", func() {
				q.calls(start.Add(quietFor + time.Minute))
			})
			So(q.Spent(start.Add(second.Expected+q.spec.Call)), ShouldBeNil)
		})
		Convey("a call that is done sooner gives them up as well", func() {
			second, ok := q.Next(start.Add(30 * time.Millisecond))
			So(ok, ShouldBeTrue)
			q.Finish(start.Add(50*time.Millisecond), c, handlesOf(c, "h"))
			q.Finish(start.Add(50*time.Millisecond), second, handlesOf(second, "h"))
			So(j.Outcome, ShouldHaveSameTypeAs, Made{})
			So(q.Spent(start.Add(50*time.Millisecond)), ShouldResemble, map[string][]string{"before": {"i1", "i2"}})
		})
	})
}
