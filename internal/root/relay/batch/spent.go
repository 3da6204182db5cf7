package batch

import (
	"slices"
	"time"
)

const (
	// fetchShare is the part of a call's fixed time after which its worker has fetched what the pieces are made from.
	fetchShare = 0.5
	// sharedSlack is the part of a call's fixed time by which a call may be late before the worker is taken to have made another host's call first.
	sharedSlack = 0.5
	// sharedFor is how long workers are then taken to be shared, and quietFor how long a queue without calls does not know.
	sharedFor = 2 * time.Second
	quietFor  = 2 * time.Second
)

// Spent returns results of other queues that are no longer needed, by their queues: those that work was made from whose pieces are all in the making.
// Held until the work is done, they would leave the workers before it without room.
// Nothing is given up early while another host may use the workers, since a call that waits for its turn has fetched nothing.
func (q *Queue) Spent(now time.Time) map[string][]string {
	fetched := time.Duration(fetchShare * float64(q.spec.Call))
	for _, j := range q.jobs {
		if !now.Before(q.alone) && len(j.waiting) == 0 && now.Sub(j.begun) >= fetched {
			q.spend(j)
		}
	}
	if len(q.spent) == 0 {
		return nil
	}
	out := q.spent
	q.spent = map[string][]string{}
	return out
}

// calls records that a call begins; a queue that made none for a while follows another host's.
func (q *Queue) calls(now time.Time) {
	if now.Sub(q.pace.last) > quietFor {
		q.shared(now)
	}
	q.pace.called(now)
}

// shared records that another host uses the workers.
func (q *Queue) shared(now time.Time) {
	q.alone = now.Add(sharedFor)
}

// heeds looks for signs that a worker made another host's call before this one.
func (q *Queue) heeds(now time.Time, c *Call, results []Result) {
	late := now.Sub(c.began) - c.Expected
	gone := slices.ContainsFunc(results, func(r Result) bool { return r.Reason == Gone })
	if gone || late > time.Duration(sharedSlack*float64(q.spec.Call)) {
		q.shared(now)
	}
}

// spend gives up what the work was made from; from then on it can't be made again.
func (q *Queue) spend(j *Job) {
	if j.freed {
		return
	}
	j.freed = len(j.Work.Spent) > 0
	for _, s := range j.Work.Spent {
		q.spent[s.Queue] = append(q.spent[s.Queue], s.Handles...)
	}
}
