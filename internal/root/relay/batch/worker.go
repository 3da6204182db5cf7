package batch

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

const (
	// restAfterFault is how long a worker that failed a call is left alone, doubled with each further failure.
	restAfterFault = 300 * time.Millisecond
	maxRest        = 3 * time.Second
	// fullPause is how long a worker without room is left alone.
	fullPause = 100 * time.Millisecond
	// slowWeight is the weight of a new sample in a worker's moving average of slowness.
	slowWeight = 0.4
	maxSlow    = 20
)

// worker is what is known of one upstream that works on pieces.
type worker struct {
	up    route.Upstream
	calls int
	// slow is how many times longer than expected its calls take.
	slow   float64
	used   int64
	faults int
	restTo time.Time
	endsAt time.Time
	gone   bool
}

func (w *worker) idle(now time.Time, slots int) bool {
	return !w.gone && !w.up.Leaving && w.calls < slots && !now.Before(w.restTo)
}

func (w *worker) took(actual, expected time.Duration) {
	w.faults = 0
	ratio := float64(actual) / float64(max(expected, time.Millisecond))
	w.slow += slowWeight * (min(max(ratio, 1), maxSlow) - w.slow)
}

func (w *worker) failed(now time.Time) {
	rest := min(restAfterFault<<min(w.faults, 4), maxRest)
	w.faults++
	w.restTo = now.Add(rest)
}

// held is a result that takes up room at its worker.
type held struct {
	worker *worker
	bytes  int64
	until  time.Time
}
