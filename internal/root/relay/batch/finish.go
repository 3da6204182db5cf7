package batch

import (
	"slices"
	"time"
)

// CompleteCall records the results of a call, one for each item. It returns the jobs that have ended, and the results to free because no job needs them.
func (q *Queue) CompleteCall(now time.Time, c *Call, results []Result) (ended []*Job, unused []string) {
	took := now.Sub(c.startedAt)
	q.observePace(now, c, results)
	q.removeCall(c)
	if q.Waiting() >= max(1, q.spec.Batch) {
		c.worker.idleSince = now
	}
	q.stats.Pieces += int64(len(c.Items))
	c.worker.recordSuccess(now, took, c.baseline)
	q.updateItemTimes(c, took)
	q.detectSharing(now, c, results)
	for _, j := range c.jobs() {
		if c.onlyLacksRoom(j, results) {
			c.refundAttempt(j)
		}
	}
	for i, p := range c.pieces {
		r := results[i]
		if r.Handle == "" {
			c.worker.usedBytes -= p.job.ResultBytes
			if q.retryOrFail(now, c, p, r.Reason) {
				ended = append(ended, p.job)
				unused = append(unused, q.partialResults(p.job)...)
			}
			continue
		}
		q.storeResult(now, c.worker, p.job.ResultBytes, r.Handle)
		if p.job.Outcome != nil || p.job.handles[p.pos] != "" {
			unused = append(unused, r.Handle)
			continue
		}
		p.job.handles[p.pos] = r.Handle
		p.job.waiting = slices.DeleteFunc(p.job.waiting, func(pos int) bool { return pos == p.pos })
		p.job.remaining--
		p.job.resultsByDomain[c.Upstream.Domain]++
		if p.job.remaining == 0 {
			if now.After(p.job.softDeadline) {
				q.stats.Late++
			}
			q.releaseInputs(p.job)
			q.endJob(p.job, Completed{
				Handles: p.job.handles,
				Domain:  p.job.mainDomain(),
			})
			ended = append(ended, p.job)
		}
	}
	return ended, unused
}

func (q *Queue) storeResult(now time.Time, w *worker, bytes int64, handle string) {
	q.stored[handle] = stored{
		worker:    w,
		bytes:     bytes,
		expiresAt: now.Add(q.spec.ResultRetention),
	}
}

// retryOrFail handles a piece without a result: it puts the piece back into the queue, or fails the job and returns true. It ignores a piece that has its result from another call, or that was queued again when this call was hedged.
func (q *Queue) retryOrFail(now time.Time, c *Call, p pieceRef, reason Reason) bool {
	j := p.job
	q.stats.Missed[reason]++
	if reason == ReasonNoRoom {
		c.worker.recordFull(now, q.spec.ResultCapacity)
	}
	if j.Outcome != nil || j.handles[p.pos] != "" || (c.hedged && reason != ReasonInputLost) {
		return false
	}
	if j.inputsReleased {
		reason = ReasonInputLost
	}
	if reason == ReasonInputLost || j.attempts >= maxAttempts {
		q.endJob(j, Failed{
			Reason: reason,
		})
		return true
	}
	j.waiting = append(j.waiting, p.pos)
	return false
}

// removeCall removes a call from the running calls.
func (q *Queue) removeCall(c *Call) {
	c.worker.calls--
	c.worker.idleSince = time.Time{}
	q.stats.Calls++
	q.running = slices.DeleteFunc(q.running, func(o *Call) bool { return o == c })
}

// Hedge puts the pieces of calls that take too long back into the queue, so that another worker runs them as well; the first result is used.
func (q *Queue) Hedge(now time.Time) {
	for _, c := range q.running {
		sample := now.Sub(c.startedAt)
		if c.hedged || sample < time.Duration(hedgeFactor*float64(c.Expected)) {
			continue
		}
		c.hedged = true
		c.worker.sample(now, sample, c.baseline)
		for _, p := range c.pieces {
			if p.job.Outcome == nil && p.job.handles[p.pos] == "" && !p.job.inputsReleased {
				p.job.waiting = append(p.job.waiting, p.pos)
				q.stats.Hedged++
			}
		}
	}
}

// FailCall records that a call ended without results. It returns the jobs that have ended, and their earlier results, which are to be freed.
func (q *Queue) FailCall(now time.Time, c *Call) (ended []*Job, unused []string) {
	q.removeCall(c)
	q.stats.FailedCalls++
	if sample := now.Sub(c.startedAt); sample > c.Expected {
		c.worker.recordTimeout(now)
		c.worker.sample(now, sample, c.baseline)
	} else {
		c.worker.recordFailure(now)
	}
	for _, p := range c.pieces {
		c.worker.usedBytes -= p.job.ResultBytes
		if q.retryOrFail(now, c, p, ReasonWorkerFailed) {
			ended = append(ended, p.job)
			unused = append(unused, q.partialResults(p.job)...)
		}
	}
	return ended, unused
}

// PauseCall records that the worker ran nothing of a call and asked for a pause. It returns the jobs that have ended, and their earlier results, which are to be freed. The pieces wait for another call, which is no further attempt.
func (q *Queue) PauseCall(now time.Time, c *Call, pause time.Duration) (ended []*Job, unused []string) {
	q.removeCall(c)
	q.stats.Pauses++
	c.worker.recordPause(now, pause)
	for _, j := range c.jobs() {
		c.refundAttempt(j)
	}
	for _, p := range c.pieces {
		c.worker.usedBytes -= p.job.ResultBytes
		if q.retryOrFail(now, c, p, ReasonPaused) {
			ended = append(ended, p.job)
			unused = append(unused, q.partialResults(p.job)...)
		}
	}
	return ended, unused
}

func (q *Queue) updateItemTimes(c *Call, took time.Duration) {
	var items time.Duration
	for _, p := range c.pieces {
		items += q.itemTime(p.job.Work)
	}
	rest := took - q.spec.Call
	if items <= 0 || rest <= 0 || c.hedged || c.Expected > time.Duration(slowThreshold*float64(c.baseline)) {
		return
	}
	ratio := min(max(float64(rest)/float64(items), 0.2), 2)
	for _, p := range c.pieces {
		k := p.job.costClass()
		t := q.itemTime(p.job.Work)
		q.itemTimes[k] = t + time.Duration(itemTimeWeight*(ratio-1)*float64(t)/float64(len(c.pieces)))
	}
}

// Free stops tracking the results, so that their room counts as free. It returns the results that were tracked, by the address of their worker.
func (q *Queue) Free(handles []string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		x, ok := q.stored[h]
		if !ok {
			continue
		}
		delete(q.stored, h)
		x.worker.usedBytes -= x.bytes
		out[x.worker.upstream.Addr] = append(out[x.worker.upstream.Addr], h)
	}
	return out
}

// Untracked returns the handles whose results are held by a worker of this queue but are not tracked by the queue, grouped by the address of the worker.
func (q *Queue) Untracked(handles []string, workerAddr func(handle string) string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		if _, ok := q.stored[h]; ok {
			continue
		}
		addr := workerAddr(h)
		for _, w := range q.workers {
			if w.upstream.Addr == addr {
				out[addr] = append(out[addr], h)
			}
		}
	}
	return out
}

// expireResults stops tracking the results that their workers have dropped by now, so that their room counts as free.
func (q *Queue) expireResults(now time.Time) {
	for h, x := range q.stored {
		if now.After(x.expiresAt) {
			delete(q.stored, h)
			x.worker.usedBytes -= x.bytes
		}
	}
}
