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

const (
	// servedTarget is the share of the owed requests that a calm day is to serve.
	servedTarget = 0.97
	// stageAim is what one stage may take of an objective of 1.9 s with three stages and an engine behind them.
	stageAim = 550 * time.Millisecond
)

// rig plays arrivals against model workers in virtual time.
type rig struct {
	q    *Queue
	spec plan.Worker
	now  time.Time
	// next is when the next work comes.
	next time.Time
	ends []ending
	// began is when work came, by request.
	began map[string]time.Time
	took  map[int][]time.Duration
	lost  map[int]int
	// slow is how many times longer a worker takes, by its name.
	slow map[string]float64
}

type ending struct {
	at   time.Time
	call *Call
}

func newRig(spec plan.Worker, domains ...string) *rig {
	r := &rig{
		q:     NewQueue(spec),
		spec:  spec,
		now:   start,
		next:  start,
		began: map[string]time.Time{},
		took:  map[int][]time.Duration{},
		lost:  map[int]int{},
		slow:  map[string]float64{},
	}
	r.q.SetWorkers(workersOf(domains...))
	return r
}

// step brings the rig to the time.
func (r *rig) step(to time.Time) {
	for r.now.Before(to) {
		r.now = r.now.Add(5 * time.Millisecond)
		for i := 0; i < len(r.ends); i++ {
			if e := r.ends[i]; !e.at.After(r.now) {
				r.ends = slices.Delete(r.ends, i, i+1)
				i--
				r.finish(e.call)
			}
		}
		r.q.Hedge(r.now)
		for _, j := range r.q.Expire(r.now) {
			r.lost[j.Rank]++
		}
		for {
			c, ok := r.q.Next(r.now)
			if !ok {
				break
			}
			took := r.spec.Call + time.Duration(len(c.Items))*r.spec.Item
			took = time.Duration(float64(took) * max(1, r.slow[c.Upstream.Name]))
			r.ends = append(r.ends, ending{
				at:   r.now.Add(took),
				call: c,
			})
		}
	}
}

func (r *rig) finish(c *Call) {
	over, _ := r.q.Finish(r.now, c, handlesOf(c, "h"))
	for _, j := range over {
		made, ok := j.Outcome.(Made)
		if !ok {
			r.lost[j.Rank]++
			continue
		}
		r.took[j.Rank] = append(r.took[j.Rank], r.now.Sub(r.began[j.Request]))
		r.q.Free(made.Handles)
	}
}

// arrive brings work after a pause that is random about the mean.
func (r *rig) arrive(rng *rand.Rand, mean time.Duration, w Work) {
	r.next = r.next.Add(time.Duration(rng.ExpFloat64() * float64(mean)))
	r.step(r.next)
	r.began[w.Request] = r.now
	if _, refused := r.q.Add(r.now, w); refused != nil {
		r.lost[w.Rank]++
	}
}

// within returns the share of the work of a rank that was done within the time.
func (r *rig) within(rank int, limit time.Duration) float64 {
	n := 0
	for _, d := range r.took[rank] {
		if d <= limit {
			n++
		}
	}
	return float64(n) / float64(len(r.took[rank])+r.lost[rank])
}

// TestClumpsOfSmallWork answers the dawn pattern: requests of one piece come three at a time, at half of what full calls would carry.
func TestClumpsOfSmallWork(t *testing.T) {
	Convey("Small work that comes in clumps is on time, though each call has a large fixed part", t, func() {
		spec := specOf(12)
		r := newRig(spec, "x", "x", "y", "y", "z")
		rng := rand.New(rand.NewPCG(3, 3))
		for i := range 1500 {
			var pause time.Duration
			if i%3 == 0 {
				pause = 3 * time.Second / 95
			}
			r.arrive(rng, pause, workOf(fmt.Sprint(i), 1))
		}
		r.step(r.now.Add(5 * time.Second))
		So(r.within(0, stageAim), ShouldBeGreaterThan, servedTarget)
	})
}

// TestOneChokedWorker answers a worker that turns slow under load: the others carry what it had.
func TestOneChokedWorker(t *testing.T) {
	Convey("With one worker of five taking five times as long, work is still on time", t, func() {
		spec := specOf(12)
		r := newRig(spec, "x", "x", "y", "y", "z")
		r.slow["w1"] = 5
		rng := rand.New(rand.NewPCG(4, 4))
		for i := range 1500 {
			r.arrive(rng, time.Second/80, workOf(fmt.Sprint(i), 1))
		}
		r.step(r.now.Add(5 * time.Second))
		So(r.within(0, stageAim), ShouldBeGreaterThan, servedTarget)
	})
}

// TestWorkersTurnSlow answers workers that turn slow in the middle of their calls: what they hold is made elsewhere meanwhile.
func TestWorkersTurnSlow(t *testing.T) {
	Convey("With two workers of five turning six times as slow under load, no work waits for them to end", t, func() {
		r := newRig(specOf(12), "x", "x", "y", "y", "z")
		rng := rand.New(rand.NewPCG(6, 6))
		for i := range 1000 {
			if i%200 == 100 {
				r.slow["w0"], r.slow["w2"] = 6, 6
			}
			if i%200 == 0 {
				clear(r.slow)
			}
			r.arrive(rng, time.Second/60, workOf(fmt.Sprint(i), 1))
		}
		r.step(r.now.Add(5 * time.Second))
		So(r.lost[0], ShouldEqual, 0)
		So(r.within(0, stageAim), ShouldBeGreaterThan, servedTarget)
		So(r.within(0, 2*stageAim), ShouldEqual, 1)
	})
}

// TestBurstBeyondCapacity answers a burst of patient work above what the workers carry: urgent work beside it stays on time.
func TestBurstBeyondCapacity(t *testing.T) {
	Convey("Urgent work is on time while patient work comes at twice what the workers carry", t, func() {
		spec := specOf(12)
		r := newRig(spec, "x", "x", "y", "y", "z")
		rng := rand.New(rand.NewPCG(5, 5))
		for i := range 4000 {
			w := workOf(fmt.Sprint(i), 1).withRank(2)
			if i%10 == 0 {
				w = w.withRank(0)
			}
			r.arrive(rng, time.Second/400, w)
		}
		r.step(r.now.Add(6 * time.Second))
		So(r.within(0, stageAim), ShouldBeGreaterThan, servedTarget)
		So(r.lost[2], ShouldBeGreaterThan, 0)
	})
}

// TestBacklogWhileMostWorkersSeemSlow answers a burst while answers of most workers are lost: what waits is more than the steady worker can make, so the others are used as well.
func TestBacklogWhileMostWorkersSeemSlow(t *testing.T) {
	Convey("Given four workers of five that seem three times as slow", t, func() {
		q := NewQueue(specOf(12))
		q.SetWorkers(workersOf("x", "x", "x", "x", "x"))
		for _, name := range []string{"w0", "w1", "w2", "w3"} {
			q.workers[name].slow = 3
			q.workers[name].slowAt = start
		}
		fill := func(n int) {
			for i := range n {
				_, refused := q.Add(start, workOf(fmt.Sprint(i), 4).withTime(20*time.Second, 20*time.Second))
				So(refused, ShouldBeNil)
			}
		}
		calls := func() int {
			n := 0
			for at := start; at.Before(start.Add(200 * time.Millisecond)); at = at.Add(5 * time.Millisecond) {
				for _, ok := q.Next(at); ok; _, ok = q.Next(at) {
					n++
				}
			}
			return n
		}
		Convey("a backlog is shared by all", func() {
			fill(60)
			So(calls(), ShouldEqual, 5)
		})
		Convey("what one call carries waits for the steady one", func() {
			fill(2)
			So(calls(), ShouldEqual, 1)
			fill(2)
			So(calls(), ShouldEqual, 0)
		})
	})
}
