package batch

import (
	"slices"
	"time"
)

// Add takes work, or refuses it at once where it could not be done in time.
func (q *Queue) Add(now time.Time, w Work) (*Job, *Refused) {
	wait, ok := q.wait(now, w.Rank)
	if !ok {
		q.stats.Refused++
		return nil, &Refused{
			After: maxAfter / 3,
		}
	}
	if wait+q.callTime(w) > w.Last {
		q.stats.Refused++
		return nil, &Refused{
			After: min(max(wait/2, minAfter), maxAfter),
		}
	}
	j := &Job{
		Work:    w,
		onTime:  now.Add(w.OnTime),
		last:    now.Add(w.Last),
		handles: make([]string, len(w.Pieces)),
		missing: len(w.Pieces),
		domains: map[string]int{},
	}
	for i := range w.Pieces {
		j.waiting = append(j.waiting, i)
	}
	q.jobs = append(q.jobs, j)
	q.pace.arrived(now, len(w.Pieces))
	return j, nil
}

// wait predicts how long work of a rank waits for its call to begin; false says that there is no worker.
func (q *Queue) wait(now time.Time, rank int) (time.Duration, bool) {
	var speed float64
	var soonest time.Duration = -1
	for _, w := range q.workers {
		if w.up.Leaving || w.faults > 1 {
			continue
		}
		speed += 1 / w.slowness(now)
		free := max(0, w.endsAt.Sub(now))
		if w.calls == 0 {
			free = max(0, w.restTo.Sub(now))
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
	for _, j := range q.jobs {
		if j.Rank > rank {
			continue
		}
		pieces += len(j.waiting)
		items += time.Duration(len(j.waiting)) * q.itemTime(j.Work)
	}
	calls := float64(pieces) / float64(max(1, q.spec.Batch))
	ahead := calls*float64(q.spec.Call) + float64(items)
	return soonest + time.Duration(ahead/speed), true
}

func (q *Queue) itemTime(w Work) time.Duration {
	if t, ok := q.item[w.kind()]; ok {
		return t
	}
	return q.spec.Item
}

func (q *Queue) callTime(w Work) time.Duration {
	return q.spec.Call + time.Duration(min(len(w.Pieces), max(1, q.spec.Batch)))*q.itemTime(w)
}

// Expire ends the work that can no longer be done in time, and returns it.
func (q *Queue) Expire(now time.Time) []*Job {
	var over []*Job
	for _, j := range slices.Clone(q.jobs) {
		if len(j.waiting) == j.missing && now.Add(q.callTime(j.Work)).After(j.last) {
			q.end(j, Refused{
				After: minAfter,
			})
			over = append(over, j)
		}
	}
	return over
}
