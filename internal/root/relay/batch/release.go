package batch

import (
	"slices"
	"time"
)

const (
	// inputFetchShare is the share of a call's fixed time (plan.Worker.Call) after which the worker is assumed to have fetched the inputs of the pieces.
	inputFetchShare = 0.5
	// sharedDelayShare is the largest delay of a call, as a share of its fixed time, that is considered normal. After a longer delay, the worker is assumed to have run a call of another host first.
	sharedDelayShare = 0.5
	// sharedWindow is how long the workers are assumed to be shared with another host after a call shows signs of it (see detectSharing). They are also assumed to be shared after the queue has made no call for inactiveWindow, because without calls it cannot detect another host's calls.
	sharedWindow   = 2 * time.Second
	inactiveWindow = 2 * time.Second
)

// Released returns, by queue, the results of other queues that are no longer needed, and clears the list. The list includes the inputs of jobs whose pieces are all in progress.
// If inputs were held until the work is done, the workers of the earlier stage would run out of room.
// No inputs are released early while another host may use the workers, because a call that waits at a worker behind another host's call has not fetched its inputs yet.
func (q *Queue) Released(now time.Time) map[string][]string {
	fetched := time.Duration(inputFetchShare * float64(q.spec.Call))
	for _, j := range q.jobs {
		if !now.Before(q.exclusiveFrom) && len(j.waiting) == 0 && now.Sub(j.lastCallAt) >= fetched {
			q.releaseInputs(j)
		}
	}
	if len(q.releasable) == 0 {
		return nil
	}
	out := q.releasable
	q.releasable = map[string][]string{}
	return out
}

// calls records that a call starts. If the queue has made no call for a while, another host may have used the workers until now.
func (q *Queue) calls(now time.Time) {
	if now.Sub(q.pacer.lastCall) > inactiveWindow {
		q.markShared(now)
	}
	q.pacer.recordCall(now)
}

// markShared records that another host may be using the workers.
func (q *Queue) markShared(now time.Time) {
	q.exclusiveFrom = now.Add(sharedWindow)
}

// detectSharing checks for signs that the worker ran another host's call before this one: an input is gone, or the call is late.
func (q *Queue) detectSharing(now time.Time, c *Call, results []Result) {
	late := now.Sub(c.startedAt) - c.Expected
	gone := slices.ContainsFunc(results, func(r Result) bool { return r.Reason == ReasonInputLost })
	if gone || late > time.Duration(sharedDelayShare*float64(q.spec.Call)) {
		q.markShared(now)
	}
}

// releaseInputs marks the inputs of the job as no longer needed; from then on its pieces can't be computed again.
func (q *Queue) releaseInputs(j *Job) {
	if j.inputsReleased {
		return
	}
	j.inputsReleased = len(j.Work.Released) > 0
	for _, s := range j.Work.Released {
		q.releasable[s.Queue] = append(q.releasable[s.Queue], s.Handles...)
	}
}
