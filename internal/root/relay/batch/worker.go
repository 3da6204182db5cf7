package batch

import (
	"math"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

const (
	// restAfterFault is how long a worker that failed a call is left alone, doubled with each further failure.
	restAfterFault = 300 * time.Millisecond
	maxRest        = 3 * time.Second
	// restAfterSilence is the same for one whose answer did not come, as the wait for it was a rest already.
	restAfterSilence = 100 * time.Millisecond
	// fullFor is how long room that a worker turned out not to have is taken to be missing, less and less of it.
	fullFor = time.Second
	// roomShare is the part of a worker's room that is used, as the sizes of results are only about known.
	roomShare = 0.95
	// slowWeight is the weight of a new sample in a worker's moving average of slowness.
	slowWeight = 0.4
	maxSlow    = 20
	// slowFor is the time constant with which slowness is forgotten.
	slowFor = 2 * time.Second
)

// worker is what is known of one upstream that works on pieces.
type worker struct {
	up    route.Upstream
	calls int
	// slow is how many times longer than expected its calls took at slowAt.
	slow   float64
	slowAt time.Time
	used   int64
	// hidden is room that was taken at fullAt by results that are not known here.
	hidden int64
	fullAt time.Time
	faults int
	restTo time.Time
	endsAt time.Time
}

func (w *worker) idle(now time.Time, slots int) bool {
	return !w.up.Leaving && w.calls < slots && !now.Before(w.restTo)
}

// steady reports whether the worker stays and works at about normal speed.
func (w *worker) steady(now time.Time) bool {
	return !w.up.Leaving && w.faults == 0 && w.slowness(now) <= slowLimit
}

// slowness is how many times longer than expected a call is taken to last; without new calls it is forgotten.
func (w *worker) slowness(now time.Time) float64 {
	since := w.slowAt
	if w.endsAt.After(since) {
		since = w.endsAt
	}
	idle := max(0, now.Sub(since))
	return 1 + (w.slow-1)*math.Exp(-float64(idle)/float64(slowFor))
}

// served learns from a call with results.
func (w *worker) served(now time.Time, actual, expected time.Duration) {
	w.faults = 0
	w.took(now, actual, expected)
}

// took learns from a call that lasted that long, or longer, where a worker of normal speed takes the expected time.
func (w *worker) took(now time.Time, actual, expected time.Duration) {
	ratio := float64(actual) / float64(max(expected, time.Millisecond))
	w.slow = w.slowness(now)
	w.slowAt = now
	w.slow += slowWeight * (min(max(ratio, 1), maxSlow) - w.slow)
}

// silent leaves a worker alone for a moment whose call had no answer in time: it may work, and have lost the answer.
func (w *worker) silent(now time.Time) {
	w.faults = max(1, w.faults)
	w.restTo = now.Add(restAfterSilence)
}

// failed leaves a worker alone that refused a call or broke it off.
func (w *worker) failed(now time.Time) {
	rest := min(restAfterFault<<min(w.faults, 4), maxRest)
	w.faults++
	w.restTo = now.Add(rest)
}

// full records that a result found no room.
func (w *worker) full(now time.Time, room int64) {
	w.hidden = max(0, room-w.used)
	w.fullAt = now
}

// room returns how many bytes of results the worker should have room for.
func (w *worker) room(now time.Time, room int64) int64 {
	left := 1 - float64(now.Sub(w.fullAt))/float64(fullFor)
	hidden := int64(max(0, left) * float64(w.hidden))
	return int64(roomShare*float64(room)) - w.used - hidden
}

// held is a result that takes up room at its worker.
type held struct {
	worker *worker
	bytes  int64
	until  time.Time
}
