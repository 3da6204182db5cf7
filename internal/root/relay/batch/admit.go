package batch

import (
	"slices"
	"time"
)

// Add accepts work, or refuses it at once if it could not be finished in time, or not in the time that it asks for.
func (q *Queue) Add(now time.Time, w Work) (*Job, *Refused) {
	j := newJob(now, w)
	if w.ResultBytes > q.usableRoom() {
		q.stats.Refused++
		return nil, &Refused{
			After: maxRetryAfter,
		}
	}
	expectedWait, ok := q.expectedWait(now, j)
	if !ok {
		q.stats.Refused++
		return nil, &Refused{
			After: min(max(q.nextTrialIn(now), minRetryAfter), maxRetryAfter),
		}
	}
	if q.isTooLate(j, expectedWait) {
		q.stats.Refused++
		if returnsAt, ok := q.pauseEnd(now); ok {
			return nil, &Refused{
				After: q.returns.Next(now, returnsAt, q.returnSpacing(w), w.Rank),
			}
		}
		return nil, &Refused{
			After: min(max(expectedWait/2, minRetryAfter), maxRetryAfter),
		}
	}
	if q.reserves(w) {
		if r := q.reserve(now, j); r != nil {
			q.stats.Refused++
			q.stats.RefusedFor[r.Pool]++
			return nil, &Refused{
				After: min(max(r.After, minRetryAfter), maxRetryAfter),
				Pool:  r.Pool,
			}
		}
		q.stats.Reserved++
	}
	q.jobs = append(q.jobs, j)
	q.pacer.recordArrivals(now, len(w.Pieces))
	return j, nil
}

// usableRoom returns how many bytes of results a worker can hold.
func (q *Queue) usableRoom() int64 {
	return int64(usableRoomShare * float64(q.spec.ResultCapacity))
}

// isTooLate reports whether a new job would end after its hard timeout, or after the time that it asks for.
func (q *Queue) isTooLate(j *Job, expectedWait time.Duration) bool {
	if expectedWait+q.callTime(j.Work) > j.HardTimeout {
		return true
	}
	if q.reserves(j.Work) {
		return expectedWait > j.Chain.Slack
	}
	return j.AdmitWithin > 0 && expectedWait+q.sharedCallTime(j.Work, q.Waiting()) > j.AdmitWithin
}

// expectedWait returns how long a new job is expected to wait until its call starts, behind the jobs that go before it. It returns false if every worker that may do it is closed, or has failed more than once in a row and may not be tried now.
func (q *Queue) expectedWait(now time.Time, job *Job) (time.Duration, bool) {
	var speed float64
	var soonest time.Duration = -1
	for _, w := range q.workers {
		if !w.expected(now) || !job.allows(w.upstream) {
			continue
		}
		speed += min(1/w.slowness(now), w.callShare(q.spec.Call))
		free := max(0, w.expectedEnd.Sub(now), w.pausedUntil.Sub(now), w.nextCall.Sub(now))
		if w.calls == 0 {
			free = w.freeIn(now)
		}
		if soonest < 0 || free < soonest {
			soonest = free
		}
	}
	if soonest < 0 {
		return 0, false
	}
	var items time.Duration
	pieces := 0
	order := q.order(now, job.Domain)
	for _, j := range q.jobs {
		if goesAfter(order, j, job) {
			continue
		}
		pieces += len(j.waiting)
		items += time.Duration(len(j.waiting)) * q.itemTime(j.Work)
	}
	calls := float64(pieces) / float64(max(1, q.spec.Batch))
	ahead := calls*float64(q.spec.Call) + float64(items)
	return soonest + time.Duration(ahead/speed), true
}

// nextTrialIn returns how long it takes until a worker that has failed may be tried again, or until such a call is expected to end, but at most noWorkerRetryAfter.
func (q *Queue) nextTrialIn(now time.Time) time.Duration {
	soonest := noWorkerRetryAfter
	for _, w := range q.workers {
		if w.upstream.Closed() {
			continue
		}
		wait := w.freeIn(now)
		if w.calls > 0 {
			wait = max(wait, w.expectedEnd.Sub(now))
		}
		soonest = min(soonest, max(0, wait))
	}
	return soonest
}

// goesAfter reports whether a waiting job does not delay a new one. New requests do not delay resumed ones. Less urgent ones do not; of the same rank, those that calls take later do not delay work with inputs, as earlier stages have been run for it. New work without inputs is expected to wait for all, so that it does not keep what was accepted before it from being done.
func goesAfter(order func(a, b *Job) int, waiting, job *Job) bool {
	if waiting.Resumed != job.Resumed {
		return job.Resumed
	}
	if waiting.Rank != job.Rank {
		return waiting.Rank > job.Rank
	}
	return job.hasInputs() && order(waiting, job) > 0
}

// pauseEnd returns when the first worker can be used again if all workers that are not closed are in a pause that they have asked for.
func (q *Queue) pauseEnd(now time.Time) (first time.Time, ok bool) {
	for _, w := range q.workers {
		if w.upstream.Closed() {
			continue
		}
		if !now.Before(w.pausedUntil) {
			return time.Time{}, false
		}
		if !ok || w.pausedUntil.Before(first) {
			first = w.pausedUntil
		}
		ok = true
	}
	return first, ok
}

// returnSpacing returns the time in which all workers together finish one work of this size.
func (q *Queue) returnSpacing(w Work) time.Duration {
	pieces := len(q.workers) * max(1, q.spec.Batch)
	return q.callTime(w) * time.Duration(len(w.Pieces)) / time.Duration(max(1, pieces))
}

func (q *Queue) itemTime(w Work) time.Duration {
	if t, ok := q.itemTimes[w.costClass()]; ok {
		return t
	}
	return q.spec.PieceTime
}

func (q *Queue) callTime(w Work) time.Duration {
	return q.spec.Call + time.Duration(min(len(w.Pieces), max(1, q.spec.Batch)))*q.itemTime(w)
}

// sharedCallTime returns the expected time of a call with the work while other pieces wait, which fill the call.
func (q *Queue) sharedCallTime(w Work, waiting int) time.Duration {
	pieces := min(waiting, max(1, q.spec.Batch))
	return max(q.callTime(w), q.spec.Call+time.Duration(pieces)*q.spec.PieceTime)
}

// Expire ends and returns the jobs that can no longer be finished in time, also because all workers are paused or not tried again before, and the results that they already have so that they can be freed. It ends only jobs whose remaining pieces all wait for a call.
func (q *Queue) Expire(now time.Time) (ended []*Job, unused []string) {
	earliest := now
	returnsAt, paused := q.pauseEnd(now)
	switch {
	case paused:
		earliest = returnsAt
	case len(q.running) == 0:
		earliest = now.Add(q.nextTrialIn(now))
	}
	for _, j := range slices.Clone(q.jobs) {
		if len(j.waiting) == j.remaining && earliest.Add(q.callTime(j.Work)).After(j.hardDeadline) {
			after := max(minRetryAfter, earliest.Sub(now))
			if paused {
				after = q.returns.Next(now, returnsAt, q.returnSpacing(j.Work), j.Rank)
			}
			q.endJob(j, Refused{
				After: after,
			})
			ended = append(ended, j)
			unused = append(unused, q.partialResults(j)...)
		}
	}
	return ended, unused
}
