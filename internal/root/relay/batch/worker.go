package batch

import (
	"math"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// failureBackoff is how long a worker gets no calls after it failed one. It doubles with each further failure, up to maxBackoff.
	failureBackoff = 300 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	// failureMemory is how long after its backoff the failures of a worker keep work from being accepted for it. After that they tell little, and there may have been no work to try it with.
	failureMemory = time.Second
	// timeoutBackoff is how long a worker gets no calls after a call that timed out. It is short because the wait for the response was already a pause.
	timeoutBackoff = 100 * time.Millisecond
	// fullWindow is how long the assumed room of a worker is reduced after it unexpectedly ran out of room. The reduction shrinks to zero over this time.
	fullWindow = time.Second
	// usableRoomShare is the share of a worker's room that is used, because the sizes of results are known only approximately.
	usableRoomShare = 0.95
	// slownessWeight is the weight of a new sample in a worker's moving average of slowness, and maxSlowness the largest sample.
	slownessWeight = 0.4
	maxSlowness    = 20
	// slownessDecay is the time constant with which slowness returns to normal.
	slownessDecay = 2 * time.Second
)

// worker is the known state of one upstream that runs calls.
type worker struct {
	upstream route.Upstream
	// calls is the number of running calls.
	calls int
	// lastSlowness is the moving average, as of slownessAt, of how many times longer than expected the calls took.
	lastSlowness float64
	slownessAt   time.Time
	usedBytes    int64
	// untrackedBytes is the room taken up, at fullAt, by results that this host does not track.
	untrackedBytes int64
	fullAt         time.Time
	faultCount     int
	backoffUntil   time.Time
	expectedEnd    time.Time
	// pausedUntil is the end of the pause that the worker has asked for.
	pausedUntil time.Time
	// perSecond is the number of calls per second that the worker takes, or 0 if it names no limit, and nextCall the earliest time of the next one.
	perSecond float64
	nextCall  time.Time
	// idleSince is since when the worker has been idle while work waited, or zero.
	idleSince time.Time
}

func (w *worker) available(now time.Time, slots int) bool {
	return !w.upstream.Closed() && w.calls < slots && w.freeIn(now) == 0
}

// freeIn returns how long the worker gets no calls because of failures, a pause or its limit.
func (w *worker) freeIn(now time.Time) time.Duration {
	return max(0, w.backoffUntil.Sub(now), w.pausedUntil.Sub(now), w.nextCall.Sub(now))
}

// expected reports whether new work may be accepted for the worker. One that has just failed more than once in a row is tried with one call at a time, as nothing else shows that it works again.
func (w *worker) expected(now time.Time) bool {
	if w.upstream.Closed() {
		return false
	}
	if w.faultCount <= 1 || now.Sub(w.backoffUntil) >= failureMemory {
		return true
	}
	return w.calls == 0 && w.freeIn(now) == 0
}

// healthy reports whether the worker is not closed, has no recent failures and works at about normal speed.
func (w *worker) healthy(now time.Time) bool {
	return !w.upstream.Closed() && w.faultCount == 0 && !now.Before(w.pausedUntil) && w.slowness(now) <= slowThreshold
}

// slowness returns how many times longer than expected a call is predicted to take. It decays to 1 while there are no new calls.
func (w *worker) slowness(now time.Time) float64 {
	since := w.slownessAt
	if w.expectedEnd.After(since) {
		since = w.expectedEnd
	}
	idle := max(0, now.Sub(since))
	return 1 + (w.lastSlowness-1)*math.Exp(-float64(idle)/float64(slownessDecay))
}

// recordSuccess records a call that returned results.
func (w *worker) recordSuccess(now time.Time, actual, expected time.Duration) {
	w.faultCount = 0
	w.sample(now, actual, expected)
}

// sample adds a call to the moving average. actual is how long the call has taken so far, and expected its duration at a worker of normal speed.
func (w *worker) sample(now time.Time, actual, expected time.Duration) {
	ratio := float64(actual) / float64(max(expected, time.Millisecond))
	w.lastSlowness = w.slowness(now)
	w.slownessAt = now
	w.lastSlowness += slownessWeight * (min(max(ratio, 1), maxSlowness) - w.lastSlowness)
}

// recordTimeout pauses a worker briefly after a call that timed out. The worker may be up, because possibly only its response was lost.
func (w *worker) recordTimeout(now time.Time) {
	w.faultCount = max(1, w.faultCount)
	w.backoffUntil = now.Add(timeoutBackoff)
}

// recordFailure pauses a worker that refused or aborted a call.
func (w *worker) recordFailure(now time.Time) {
	backoff := min(failureBackoff<<min(w.faultCount, 4), maxBackoff)
	w.faultCount++
	w.backoffUntil = now.Add(backoff)
}

// recordPause records that the worker asked for a pause. It never shortens an earlier one.
func (w *worker) recordPause(now time.Time, d time.Duration) {
	if until := now.Add(min(d, retry.MaxPause)); until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
}

// recordFull records that the worker had no room for a result.
func (w *worker) recordFull(now time.Time, room int64) {
	w.untrackedBytes = max(0, room-w.usedBytes)
	w.fullAt = now
}

// room returns how many bytes of results the worker is expected to have room for.
func (w *worker) room(now time.Time, room int64) int64 {
	left := 1 - float64(now.Sub(w.fullAt))/float64(fullWindow)
	untrackedBytes := int64(max(0, left) * float64(w.untrackedBytes))
	return int64(usableRoomShare*float64(room)) - w.usedBytes - untrackedBytes
}

// stored is a result that takes up room at its worker.
type stored struct {
	worker    *worker
	bytes     int64
	expiresAt time.Time
}
