package batch

import "time"

// fetchShare is the part of a call's fixed time after which its worker has fetched what the pieces are made from.
const fetchShare = 0.5

// Spent returns results of other pools that are no longer needed, by their pools: those that work was made from whose pieces are all in the making.
// Held until the work is done, they would leave the workers before it without room.
func (q *Queue) Spent(now time.Time) map[string][]string {
	fetched := time.Duration(fetchShare * float64(q.spec.Call))
	for _, j := range q.jobs {
		if len(j.waiting) == 0 && now.Sub(j.begun) >= fetched {
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

// spend gives up what the work was made from; from then on it can't be made again.
func (q *Queue) spend(j *Job) {
	if j.freed {
		return
	}
	j.freed = len(j.Work.Spent) > 0
	for _, s := range j.Work.Spent {
		q.spent[s.Pool] = append(q.spent[s.Pool], s.Handles...)
	}
}
