package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// minShareOfCapacity is how much of what full calls can do must be done on time under overload.
const minShareOfCapacity = 0.9

// Guards against work of a later stage that is all done a little late under overload, as what has the least time left goes first although a full call takes longer than that (pattern: a burst of requests with several stages).
func TestOverloadedLaterStageIsOnTimeUpToItsCapacity(t *testing.T) {
	const (
		workers  = 4
		pieces   = 4
		onTime   = 900 * time.Millisecond
		duration = 12 * time.Second
	)
	spec := specOf(40)
	spec.PieceTime = 4 * time.Millisecond
	fullCall := spec.Call + time.Duration(spec.Batch)*spec.PieceTime
	capacity := float64(workers*spec.Batch) / fullCall.Seconds() / pieces
	for _, load := range []float64{1.2, 1.5, 2} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			s := newSimulation(spec, "x", "x", "x", "x")
			rng := rand.New(rand.NewPCG(7, 7))
			n := 0
			for s.now.Before(start.Add(duration)) {
				n++
				w := workOf(fmt.Sprint(n), pieces).withTime(onTime, 4*time.Second)
				for i := range w.Pieces {
					w.Pieces[i].Inputs = []string{"input"}
				}
				s.arrive(rng, time.Duration(float64(time.Second)/(load*capacity)), w)
			}
			s.advance(s.now.Add(5 * time.Second))
			done := s.shareWithin(0, onTime) * float64(n)
			if possible := capacity * duration.Seconds(); done < minShareOfCapacity*possible {
				t.Errorf("%.0f requests were on time, and %.0f could have been", done, possible)
			}
		})
	}
}

func TestWorkThatWouldEndTooLateIsRefusedIfItAsksForThat(t *testing.T) {
	scenarios := []struct {
		name    string
		waiting int
		within  time.Duration
		refused bool
	}{
		{name: "an idle queue and time for a call", waiting: 0, within: 250 * time.Millisecond, refused: false},
		{name: "an idle queue and no time for a call", waiting: 0, within: 150 * time.Millisecond, refused: true},
		{name: "a backlog and time for it", waiting: 8, within: time.Second, refused: false},
		{name: "a backlog and time for its own call only", waiting: 8, within: 250 * time.Millisecond, refused: true},
		{name: "a backlog and no wish to be refused", waiting: 8, within: 0, refused: false},
		{name: "later stages that leave no time", waiting: 0, within: time.Nanosecond, refused: true},
	}
	for _, sc := range scenarios {
		Convey("Given "+sc.name, t, func() {
			q := NewQueue(specOf(4))
			q.SetWorkers(workersIn("x"))
			for i := range sc.waiting {
				_, refused := q.Add(start, workOf(fmt.Sprint("before-", i), 1))
				So(refused, ShouldBeNil)
			}
			w := workOf("new", 1)
			w.AdmitWithin = sc.within
			_, refused := q.Add(start, w)
			So(refused != nil, ShouldEqual, sc.refused)
		})
	}
}

func TestElapsedTimeNeverRemovesTheWishToBeRefused(t *testing.T) {
	w := workOf("a", 1).withTime(time.Second, 2*time.Second)
	w.AdmitWithin = 500 * time.Millisecond
	later := w.WithElapsed(700 * time.Millisecond)
	if later.SoftTimeout != 300*time.Millisecond || later.HardTimeout != 1300*time.Millisecond || later.AdmitWithin <= 0 {
		t.Errorf("after 700 ms the work has %s, %s and %s", later.SoftTimeout, later.HardTimeout, later.AdmitWithin)
	}
	w.AdmitWithin = 0
	if w.WithElapsed(time.Second).AdmitWithin != 0 {
		t.Error("work without the wish has it after some time")
	}
}

// Guards against figures of a pool with which work would wait without an end.
func TestImpossibleFiguresOfAPool(t *testing.T) {
	const hardTimeout = 5 * time.Second
	scenarios := []struct {
		name    string
		change  func(s *plan.Worker)
		refused bool
	}{
		{name: "no slots", change: func(s *plan.Worker) { s.Slots = 0 }},
		{name: "no batch", change: func(s *plan.Worker) { s.Batch = 0 }},
		{name: "a call of no time", change: func(s *plan.Worker) { s.Call = 0 }},
		{name: "a piece of no time", change: func(s *plan.Worker) { s.PieceTime = 0 }},
		{name: "a call of an hour", change: func(s *plan.Worker) { s.Call = time.Hour }, refused: true},
		{name: "a piece of an hour", change: func(s *plan.Worker) { s.PieceTime = time.Hour }, refused: true},
		{name: "room for no result", change: func(s *plan.Worker) { s.ResultCapacity = 7999 }, refused: true},
		{name: "no room at all", change: func(s *plan.Worker) { s.ResultCapacity = 0 }, refused: true},
		{name: "results that are not kept", change: func(s *plan.Worker) { s.ResultRetention = 0 }},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			spec := specOf(4)
			sc.change(&spec)
			q := NewQueue(spec)
			q.SetWorkers(workersIn("x"))
			_, refused := q.Add(start, workOf("a", 2).withTime(time.Second, hardTimeout))
			if (refused != nil) != sc.refused {
				t.Fatalf("refused: %v, want %v", refused != nil, sc.refused)
			}
			if sc.refused {
				return
			}
			for now := start; now.Before(start.Add(hardTimeout)); now = now.Add(tickInterval) {
				q.Expire(now)
				if c, ok := q.NextCall(now); ok {
					if len(c.Items) == 0 {
						t.Fatal("a call has no pieces")
					}
					return
				}
			}
			t.Fatal("accepted work is never put into a call")
		})
	}
}
