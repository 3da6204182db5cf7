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
	// minOnTimeShare is the share of requests that must be served on time under normal conditions.
	minOnTimeShare = 0.97
	// stageTarget is the time that one stage may take if the objective is 1.9 s for three stages followed by an engine.
	stageTarget = 550 * time.Millisecond
)

// simulation runs a queue against simulated arrivals and workers in virtual time.
type simulation struct {
	q    *Queue
	spec plan.Worker
	now  time.Time
	// nextArrival is when the next work arrives.
	nextArrival time.Time
	callEnds    []callEnd
	// arrivedAt is the arrival time of work, by request.
	arrivedAt map[string]time.Time
	latencies map[int][]time.Duration
	lost      map[int]int
	// slowness is how many times longer than normal a worker takes, by its name.
	slowness map[string]float64
}

type callEnd struct {
	at   time.Time
	call *Call
}

func newSimulation(spec plan.Worker, domains ...string) *simulation {
	s := &simulation{
		q:           NewQueue(spec),
		spec:        spec,
		now:         start,
		nextArrival: start,
		arrivedAt:   map[string]time.Time{},
		latencies:   map[int][]time.Duration{},
		lost:        map[int]int{},
		slowness:    map[string]float64{},
	}
	s.q.SetWorkers(workersIn(domains...))
	return s
}

// advance runs the simulation up to the given time.
func (s *simulation) advance(to time.Time) {
	for s.now.Before(to) {
		s.now = s.now.Add(5 * time.Millisecond)
		for i := 0; i < len(s.callEnds); i++ {
			if e := s.callEnds[i]; !e.at.After(s.now) {
				s.callEnds = slices.Delete(s.callEnds, i, i+1)
				i--
				s.finish(e.call)
			}
		}
		s.q.Hedge(s.now)
		expired, _ := s.q.Expire(s.now)
		for _, j := range expired {
			s.lost[j.Rank]++
		}
		for {
			c, ok := s.q.NextCall(s.now)
			if !ok {
				break
			}
			took := s.spec.Call + time.Duration(len(c.Items))*s.spec.PieceTime
			took = time.Duration(float64(took) * max(1, s.slowness[c.Upstream.Name]))
			s.callEnds = append(s.callEnds, callEnd{
				at:   s.now.Add(took),
				call: c,
			})
		}
	}
}

func (s *simulation) finish(c *Call) {
	ended, _ := s.q.CompleteCall(s.now, c, resultsOf(c, "h"))
	for _, j := range ended {
		completed, ok := j.Outcome.(Completed)
		if !ok {
			s.lost[j.Rank]++
			continue
		}
		s.latencies[j.Rank] = append(s.latencies[j.Rank], s.now.Sub(s.arrivedAt[j.Request]))
		s.q.Free(completed.Handles)
	}
}

// arrive adds work after an exponentially distributed pause with the given mean.
func (s *simulation) arrive(rng *rand.Rand, mean time.Duration, w Work) {
	s.nextArrival = s.nextArrival.Add(time.Duration(rng.ExpFloat64() * float64(mean)))
	s.advance(s.nextArrival)
	s.arrivedAt[w.Request] = s.now
	if _, refused := s.q.Add(s.now, w); refused != nil {
		s.lost[w.Rank]++
	}
}

// shareWithin returns the share of the work of a rank that was completed within the limit.
func (s *simulation) shareWithin(rank int, limit time.Duration) float64 {
	n := 0
	for _, d := range s.latencies[rank] {
		if d <= limit {
			n++
		}
	}
	return float64(n) / float64(len(s.latencies[rank])+s.lost[rank])
}

// TestGroupedArrivalsOfSmallWorkAreOnTime guards against late results when requests of one piece arrive three at a time, at half the rate that the workers can process with full calls.
func TestGroupedArrivalsOfSmallWorkAreOnTime(t *testing.T) {
	Convey("Small work that arrives in groups is on time, although each call has a large fixed duration", t, func() {
		spec := specOf(12)
		s := newSimulation(spec, "x", "x", "y", "y", "z")
		rng := rand.New(rand.NewPCG(3, 3))
		for i := range 1500 {
			var pause time.Duration
			if i%3 == 0 {
				pause = 3 * time.Second / 95
			}
			s.arrive(rng, pause, workOf(fmt.Sprint(i), 1))
		}
		s.advance(s.now.Add(5 * time.Second))
		So(s.shareWithin(0, stageTarget), ShouldBeGreaterThan, minOnTimeShare)
	})
}

// TestWorkIsOnTimeWithOneSlowWorker guards against late results when a worker becomes slow under load: the other workers must take over its share.
func TestWorkIsOnTimeWithOneSlowWorker(t *testing.T) {
	Convey("With one worker of five that takes five times as long, work is still on time", t, func() {
		spec := specOf(12)
		s := newSimulation(spec, "x", "x", "y", "y", "z")
		s.slowness["w1"] = 5
		rng := rand.New(rand.NewPCG(4, 4))
		for i := range 1500 {
			s.arrive(rng, time.Second/80, workOf(fmt.Sprint(i), 1))
		}
		s.advance(s.now.Add(5 * time.Second))
		So(s.shareWithin(0, stageTarget), ShouldBeGreaterThan, minOnTimeShare)
	})
}

// TestWorkIsHedgedWhenWorkersTurnSlow guards against work that waits for workers which become slow in the middle of a call: its pieces must be sent to other workers as well.
func TestWorkIsHedgedWhenWorkersTurnSlow(t *testing.T) {
	Convey("When two workers of five become six times slower under load, no work waits for their calls to end", t, func() {
		s := newSimulation(specOf(12), "x", "x", "y", "y", "z")
		rng := rand.New(rand.NewPCG(6, 6))
		for i := range 1000 {
			if i%200 == 100 {
				s.slowness["w0"], s.slowness["w2"] = 6, 6
			}
			if i%200 == 0 {
				clear(s.slowness)
			}
			s.arrive(rng, time.Second/60, workOf(fmt.Sprint(i), 1))
		}
		s.advance(s.now.Add(5 * time.Second))
		So(s.lost[0], ShouldEqual, 0)
		So(s.shareWithin(0, stageTarget), ShouldBeGreaterThan, minOnTimeShare)
		So(s.shareWithin(0, 2*stageTarget), ShouldEqual, 1)
	})
}

// TestUrgentWorkIsOnTimeWhenOverloaded guards against delays of urgent work when a burst of less urgent work exceeds the capacity of the workers.
func TestUrgentWorkIsOnTimeWhenOverloaded(t *testing.T) {
	Convey("Urgent work is on time while less urgent work arrives at twice the capacity of the workers", t, func() {
		spec := specOf(12)
		s := newSimulation(spec, "x", "x", "y", "y", "z")
		rng := rand.New(rand.NewPCG(5, 5))
		for i := range 4000 {
			w := workOf(fmt.Sprint(i), 1).withRank(2)
			if i%10 == 0 {
				w = w.withRank(0)
			}
			s.arrive(rng, time.Second/400, w)
		}
		s.advance(s.now.Add(6 * time.Second))
		So(s.shareWithin(0, stageTarget), ShouldBeGreaterThan, minOnTimeShare)
		So(s.lost[2], ShouldBeGreaterThan, 0)
	})
}

// Guards against streams that callers take up after a loss of hosts, all at once and with little time left, and whose stages wait behind all new work (rule LOST).
func TestResumedWorkIsServedAsOftenAsNewWorkWhenOverloaded(t *testing.T) {
	const (
		resumedRank = 8
		newRank     = 1
		herd        = 20
	)
	s := newSimulation(specOf(10), "a", "b", "a", "b", "a")
	rng := rand.New(rand.NewPCG(5, 5))
	n := 0
	load := func(until time.Time) {
		for s.nextArrival.Before(until) {
			n++
			s.arrive(rng, 4*time.Millisecond, workOf(fmt.Sprintf("new-%d", n), 1).withRank(newRank).withTime(600*time.Millisecond, 1500*time.Millisecond))
		}
	}
	load(start.Add(5 * time.Second))
	for i := range herd {
		w := workOf(fmt.Sprintf("resumed-%d", i), 1).withRank(resumedRank).withTime(-time.Second, 900*time.Millisecond)
		w.Resumed = true
		s.arrivedAt[w.Request] = s.now
		if _, refused := s.q.Add(s.now, w); refused != nil {
			s.lost[resumedRank]++
		}
	}
	load(start.Add(8 * time.Second))
	s.advance(s.now.Add(5 * time.Second))
	fresh, resumed := s.shareWithin(newRank, time.Hour), s.shareWithin(resumedRank, time.Hour)
	if resumed < fresh {
		t.Errorf("%.2f of the resumed work was completed, and %.2f of the new", resumed, fresh)
	}
	if late := s.shareWithin(resumedRank, 900*time.Millisecond); late < resumed {
		t.Errorf("%.2f of the resumed work was completed, but only %.2f in time", resumed, late)
	}
}

// TestBacklogIsSharedWhenMostWorkersSeemSlow guards against a growing backlog when lost responses make most workers seem slow during a burst. The one healthy worker can't process the backlog alone, so the others must be used too.
func TestBacklogIsSharedWhenMostWorkersSeemSlow(t *testing.T) {
	Convey("Given four workers of five that seem three times as slow", t, func() {
		q := NewQueue(specOf(12))
		q.SetWorkers(workersIn("x", "x", "x", "x", "x"))
		for _, name := range []string{"w0", "w1", "w2", "w3"} {
			q.workers[name].lastSlowness = 3
			q.workers[name].slownessAt = start
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
				for _, ok := q.NextCall(at); ok; _, ok = q.NextCall(at) {
					n++
				}
			}
			return n
		}
		Convey("a backlog is shared by all workers", func() {
			fill(60)
			So(calls(), ShouldEqual, 5)
		})
		Convey("work that fits into one call waits for the healthy worker", func() {
			fill(2)
			So(calls(), ShouldEqual, 1)
			fill(2)
			So(calls(), ShouldEqual, 0)
		})
	})
}
