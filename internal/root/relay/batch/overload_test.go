package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
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
