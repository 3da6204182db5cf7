package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

// NextCall returns the next call to make, or false if nothing waits, no worker is available or the call is delayed.
func (q *Queue) NextCall(now time.Time) (*Call, bool) {
	q.expireResults(now)
	if !q.hasAvailableWorker(now) || q.shouldDelay(now) {
		return nil, false
	}
	waitingJobs := q.waitingJobs(now, "")
	if len(waitingJobs) == 0 {
		return nil, false
	}
	for _, w := range q.available(now, waitingJobs[0].Domain) {
		if c := q.buildCall(now, w, q.waitingJobs(now, w.upstream.Domain)); c != nil {
			return c, true
		}
	}
	return nil, false
}

// hasAvailableWorker reports whether some worker can accept a call. It is checked first, so that a backlog costs no time while all workers are busy.
func (q *Queue) hasAvailableWorker(now time.Time) bool {
	for _, w := range q.workers {
		if w.available(now, max(1, q.spec.Slots)) {
			return true
		}
	}
	return false
}

// shouldDelay reports whether the next call is delayed until more pieces arrive. If all workers started at once with few pieces, none would be free for the pieces that arrive just after.
func (q *Queue) shouldDelay(now time.Time) bool {
	workers := 0
	for _, w := range q.workers {
		if w.healthy(now) {
			workers++
		}
	}
	return workers > 1 && q.pacer.shouldDelay(now, q.Waiting(), workers, q.spec)
}

// waitingJobs returns the jobs with waiting pieces in the order in which workers of the domain take them.
func (q *Queue) waitingJobs(now time.Time, domain string) []*Job {
	var out []*Job
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, q.order(now, domain))
	return out
}

// order returns the order of jobs for workers of the domain: those of resumed requests come first, then those that can be on time, then those with a reservation that must go now, then by rank, by whether their results are needed in the domain, and by the time left to be on time. Of equal ones the earlier comes first.
func (q *Queue) order(now time.Time, domain string) func(a, b *Job) int {
	waiting := q.Waiting()
	late := func(j *Job) bool { return now.Add(q.timeToEnd(j, waiting)).After(j.softDeadline) }
	rank := func(j *Job) int {
		if q.isLastChance(now, j, waiting) {
			return lastChanceRank
		}
		return j.Rank
	}
	return func(a, b *Job) int {
		return cmp.Or(
			common.CompareBool(!a.Resumed, !b.Resumed),
			common.CompareBool(late(a), late(b)),
			cmp.Compare(rank(a), rank(b)),
			common.CompareBool(a.Domain != domain, b.Domain != domain),
			a.softDeadline.Compare(b.softDeadline),
		)
	}
}

// lastChanceRank is the rank of work that goes before that of all ranks.
const lastChanceRank = -1

// isLastChance reports whether work for which time was reserved must go into the next call to be on time. Less urgent requests are only given what more urgent ones leave, but what they were given they get.
func (q *Queue) isLastChance(now time.Time, j *Job, waiting int) bool {
	if j.Chain == nil && !j.Reserved {
		return false
	}
	end := now.Add(q.timeToEnd(j, waiting))
	return !end.After(j.softDeadline) && end.Add(q.sharedCallTime(j.Work, waiting)).After(j.softDeadline)
}

// timeToEnd returns how long a job is expected to take once it is put into a call. Work with inputs takes as long as a call that is filled with what waits. With the time of its own pieces alone, the jobs with the least time left would go first, and all be done a little late. Other work has time to catch up at its later stages.
func (q *Queue) timeToEnd(j *Job, waiting int) time.Duration {
	if !j.hasInputs() {
		return q.callTime(j.Work)
	}
	return q.sharedCallTime(j.Work, waiting)
}

// available returns the workers that can accept a call: those of normal speed first, then those in the domain, then those that hold the fewest bytes of results.
func (q *Queue) available(now time.Time, domain string) []*worker {
	var out []*worker
	for _, w := range q.workers {
		if w.available(now, max(1, q.spec.Slots)) && !q.shouldSkipSlow(now, w) {
			out = append(out, w)
		}
	}
	slow := func(w *worker) bool { return w.slowness(now) > slowThreshold }
	slices.SortFunc(out, func(a, b *worker) int {
		return cmp.Or(
			common.CompareBool(slow(a), slow(b)),
			common.CompareBool(a.upstream.Domain != domain, b.upstream.Domain != domain),
			cmp.Compare(a.usedBytes, b.usedBytes),
			cmp.Compare(a.upstream.Name, b.upstream.Name),
		)
	})
	return out
}

// shouldSkipSlow reports whether the worker is so slow that the healthy workers would finish all waiting pieces before it finished one call.
func (q *Queue) shouldSkipSlow(now time.Time, w *worker) bool {
	slow := w.slowness(now)
	if slow <= slowThreshold {
		return false
	}
	var earliest time.Duration = -1
	healthy := 0
	for _, o := range q.workers {
		if o == w || !o.healthy(now) {
			continue
		}
		healthy++
		if free := max(0, o.expectedEnd.Sub(now)); earliest < 0 || free < earliest {
			earliest = free
		}
	}
	if healthy == 0 {
		return false
	}
	batch := max(1, q.spec.Batch)
	// The healthy workers run their calls in parallel.
	rounds := (q.Waiting() + batch*healthy - 1) / (batch * healthy)
	slowCall := time.Duration(float64(q.spec.Call) * slow)
	return earliest+time.Duration(max(1, rounds))*q.spec.Call < slowCall
}

// buildCall puts as many pieces as the worker accepts into one call, in the given order of jobs, or returns nil if it accepts none. The pieces of a job go into one call unless they exceed a full call or the room of a worker.
func (q *Queue) buildCall(now time.Time, w *worker, order []*Job) *Call {
	c := &Call{
		Upstream:  w.upstream,
		Expected:  q.spec.Call,
		worker:    w,
		startedAt: now,
	}
	room := w.room(now, q.spec.ResultCapacity)
	c.room = room
	batch := max(1, q.spec.Batch)
	ahead := q.piecesAhead(order)
	for _, j := range order {
		if !j.allows(w.upstream) || q.waitsForLocal(now, j, w, ahead[j]) {
			continue
		}
		n := len(j.waiting)
		if n > batch || q.spec.ResultCapacity < int64(n)*j.ResultBytes {
			n = min(n, batch-len(c.Items))
			if j.ResultBytes > 0 {
				n = min(n, int(max(0, room)/j.ResultBytes))
			}
		}
		if n == 0 || n > batch-len(c.Items) || int64(n)*j.ResultBytes > room {
			continue
		}
		room -= int64(n) * j.ResultBytes
		q.assign(now, c, j, n)
		if w.lastSlowness > slowThreshold {
			// A worker that was slow gets pieces of only one request, as a test of its speed.
			break
		}
	}
	if len(c.Items) == 0 {
		return nil
	}
	c.saturated = len(c.Items) >= batch || q.Waiting() >= batch
	c.idleSince = w.idleSince
	w.calls++
	w.recordCall(now)
	q.running = append(q.running, c)
	q.calls(now)
	c.baseline = c.Expected
	c.Expected = time.Duration(float64(c.baseline) * w.slowness(now))
	w.expectedEnd = now.Add(c.Expected)
	return c
}

// waitsForLocal reports whether the job waits for a worker in its preferred failure domain (Work.Domain) instead of going to this worker. ahead is how many pieces of earlier jobs wait for that domain.
func (q *Queue) waitsForLocal(now time.Time, j *Job, w *worker, ahead int) bool {
	if j.TransferBytes < minLocalityBytes || j.Domain == w.upstream.Domain {
		return false
	}
	var earliest time.Duration = -1
	workers := 0
	for _, o := range q.workers {
		if o.upstream.Domain != j.Domain || !o.healthy(now) {
			continue
		}
		workers++
		if free := max(o.expectedEnd.Sub(now), o.freeIn(now)); earliest < 0 || free < earliest {
			earliest = free
		}
	}
	if workers == 0 {
		return false
	}
	calls := ahead / (workers * max(1, q.spec.Batch))
	wait := earliest + time.Duration(calls)*q.callTime(j.Work)
	return !now.Add(wait + q.callTime(j.Work) + localitySlack).After(j.softDeadline)
}

// piecesAhead returns for each job how many pieces of earlier jobs wait for the same domain. It returns nil if no job in order has enough bytes to transfer (Work.TransferBytes) to wait for a domain.
func (q *Queue) piecesAhead(order []*Job) map[*Job]int {
	if !slices.ContainsFunc(order, func(j *Job) bool { return j.TransferBytes >= minLocalityBytes }) {
		return nil
	}
	out := make(map[*Job]int, len(order))
	pieces := map[string]int{}
	for _, j := range q.jobs {
		out[j] = pieces[j.Domain]
		pieces[j.Domain] += len(j.waiting)
	}
	return out
}

func (q *Queue) assign(now time.Time, c *Call, j *Job, n int) {
	for _, pos := range j.waiting[:n] {
		p := j.Pieces[pos]
		c.Items = append(c.Items, Item{
			Request:  j.Request,
			Stage:    j.Stage,
			Piece:    p.Index,
			Key:      j.Key,
			Inputs:   p.Inputs,
			TimeLeft: j.hardDeadline.Sub(now),
		})
		c.pieces = append(c.pieces, pieceRef{
			job: j,
			pos: pos,
		})
		c.worker.usedBytes += j.ResultBytes
		c.Expected += q.itemTime(j.Work)
	}
	j.waiting = slices.Delete(j.waiting, 0, n)
	j.attempts++
	j.lastCallAt = now
}
