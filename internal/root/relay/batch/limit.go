package batch

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// freesPerCalls is how many calls a limited worker takes for each call that frees results, which counts as a call too.
const freesPerCalls = 4

// SetLimit sets the number of calls per second that a worker of the queue takes. 0 means that it names no limit.
func (q *Queue) SetLimit(now time.Time, i route.Incarnation, perSecond float64) {
	w, ok := q.workers[i.Name]
	if !ok || w.upstream.Incarnation() != i || w.perSecond == perSecond {
		return
	}
	w.perSecond = perSecond
	w.nextCall = now.Add(w.spacing())
}

// spacing returns the time between two calls to the worker, or 0 if it names no limit.
func (w *worker) spacing() time.Duration {
	if w.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / w.perSecond)
}

// callShare returns the share of its time for which the worker's limit lets it run calls of the given duration.
func (w *worker) callShare(call time.Duration) float64 {
	if w.perSecond <= 0 {
		return 1
	}
	return min(1, w.perSecond*call.Seconds())
}

// recordCall records that a call to the worker starts, from which on its limit counts.
func (w *worker) recordCall(now time.Time) {
	if w.nextCall.Before(now) {
		w.nextCall = now
	}
	w.nextCall = w.nextCall.Add(w.spacing())
}

// reserveFree returns how long results at the worker with the address are gathered before the call that frees them, and counts that call. It returns 0 if the worker names no limit.
func (q *Queue) reserveFree(now time.Time, addr string) time.Duration {
	for _, w := range q.workers {
		if w.upstream.Addr == addr && w.perSecond > 0 {
			w.recordCall(now)
			return min(q.spec.ResultRetention, freesPerCalls*w.spacing())
		}
	}
	return 0
}
