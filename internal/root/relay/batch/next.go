package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Next returns the next call to make, or false while no worker is idle or nothing waits.
func (q *Queue) Next(now time.Time) (*Call, bool) {
	q.forget(now)
	if !q.canCall(now) || q.holds(now) {
		return nil, false
	}
	order := q.order(now, "")
	if len(order) == 0 {
		return nil, false
	}
	for _, w := range q.idle(now, order[0].Domain) {
		if c := q.fill(now, w, q.order(now, w.up.Domain)); c != nil {
			return c, true
		}
	}
	return nil, false
}

// canCall reports whether some worker can take a call; while none can, a backlog costs nothing to look at.
func (q *Queue) canCall(now time.Time) bool {
	for _, w := range q.workers {
		if w.idle(now, max(1, q.spec.Slots)) {
			return true
		}
	}
	return false
}

// holds reports whether the next call waits for more pieces, as workers that begin at once with few of them leave none for those that come just after.
func (q *Queue) holds(now time.Time) bool {
	workers := 0
	for _, w := range q.workers {
		if w.steady(now) {
			workers++
		}
	}
	return workers > 1 && q.pace.holds(now, q.Waiting(), workers, q.spec)
}

// order returns the work that waits: what can be on time first, then by rank, then what wants its results in the domain, then what has the least time to be on time, then the longest waiting.
func (q *Queue) order(now time.Time, domain string) []*Job {
	var out []*Job
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			out = append(out, j)
		}
	}
	late := func(j *Job) bool { return now.Add(q.callTime(j.Work)).After(j.onTime) }
	slices.SortStableFunc(out, func(a, b *Job) int {
		return cmp.Or(
			common.CompareBool(late(a), late(b)),
			cmp.Compare(a.Rank, b.Rank),
			common.CompareBool(a.Domain != domain, b.Domain != domain),
			a.onTime.Compare(b.onTime),
		)
	})
	return out
}

// idle returns the workers that can take a call: those of normal speed first, then those in the domain.
func (q *Queue) idle(now time.Time, domain string) []*worker {
	var out []*worker
	for _, w := range q.workers {
		if w.idle(now, max(1, q.spec.Slots)) && !q.shunned(now, w) {
			out = append(out, w)
		}
	}
	slow := func(w *worker) bool { return w.slowness(now) > slowLimit }
	slices.SortFunc(out, func(a, b *worker) int {
		return cmp.Or(
			common.CompareBool(slow(a), slow(b)),
			common.CompareBool(a.up.Domain != domain, b.up.Domain != domain),
			cmp.Compare(a.used, b.used),
			cmp.Compare(a.up.Name, b.up.Name),
		)
	})
	return out
}

// shunned reports whether others would make everything that waits before this slow worker ends a call.
func (q *Queue) shunned(now time.Time, w *worker) bool {
	slow := w.slowness(now)
	if slow <= slowLimit {
		return false
	}
	var soonest time.Duration = -1
	steady := 0
	for _, o := range q.workers {
		if o == w || !o.steady(now) {
			continue
		}
		steady++
		if free := max(0, o.endsAt.Sub(now)); soonest < 0 || free < soonest {
			soonest = free
		}
	}
	if steady == 0 {
		return false
	}
	batch := max(1, q.spec.Batch)
	// The calls of the steady workers go on side by side.
	rounds := (q.Waiting() + batch*steady - 1) / (batch * steady)
	mine := time.Duration(float64(q.spec.Call) * slow)
	return soonest+time.Duration(max(1, rounds))*q.spec.Call < mine
}

// fill puts as much as the worker takes into one call, in the order given; work that fits whole is not split.
func (q *Queue) fill(now time.Time, w *worker, order []*Job) *Call {
	c := &Call{
		Upstream: w.up,
		Expected: q.spec.Call,
		worker:   w,
		began:    now,
	}
	room := w.room(now, q.spec.Room)
	c.room = room
	batch := max(1, q.spec.Batch)
	ahead := q.aheadNear(order)
	for _, j := range order {
		if q.waitsNear(now, j, w, ahead[j]) {
			continue
		}
		n := len(j.waiting)
		if n > batch || q.spec.Room < int64(n)*j.Bytes {
			n = min(n, batch-len(c.Items))
			if j.Bytes > 0 {
				n = min(n, int(max(0, room)/j.Bytes))
			}
		}
		if n == 0 || n > batch-len(c.Items) || int64(n)*j.Bytes > room {
			continue
		}
		room -= int64(n) * j.Bytes
		q.put(now, c, j, n)
		if w.slow > slowLimit {
			// One that was slow is tried with the work of one request.
			break
		}
	}
	if len(c.Items) == 0 {
		return nil
	}
	w.calls++
	q.running = append(q.running, c)
	q.calls(now)
	c.normal = c.Expected
	c.Expected = time.Duration(float64(c.normal) * w.slowness(now))
	w.endsAt = now.Add(c.Expected)
	return c
}

// waitsNear reports whether work is left to a worker near its inputs, for which so many pieces wait before it, rather than given to this one.
func (q *Queue) waitsNear(now time.Time, j *Job, w *worker, ahead int) bool {
	if j.Moves < worthWaiting || j.Domain == w.up.Domain {
		return false
	}
	var soonest time.Duration = -1
	workers := 0
	for _, o := range q.workers {
		if o.up.Domain != j.Domain || !o.steady(now) {
			continue
		}
		workers++
		if free := max(0, o.endsAt.Sub(now), o.restTo.Sub(now)); soonest < 0 || free < soonest {
			soonest = free
		}
	}
	if workers == 0 {
		return false
	}
	calls := ahead / (workers * max(1, q.spec.Batch))
	wait := soonest + time.Duration(calls)*q.callTime(j.Work)
	return !now.Add(wait + q.callTime(j.Work) + nearSlack).After(j.onTime)
}

// aheadNear returns how many pieces wait for the same domain before each work that may wait for it.
func (q *Queue) aheadNear(order []*Job) map[*Job]int {
	if !slices.ContainsFunc(order, func(j *Job) bool { return j.Moves >= worthWaiting }) {
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

func (q *Queue) put(now time.Time, c *Call, j *Job, n int) {
	for _, place := range j.waiting[:n] {
		p := j.Pieces[place]
		c.Items = append(c.Items, Item{
			Request: j.Request,
			Stage:   j.Stage,
			Piece:   p.Index,
			Key:     j.Key,
			Inputs:  p.Inputs,
			Left:    j.last.Sub(now),
		})
		c.parts = append(c.parts, part{
			job:   j,
			place: place,
		})
		c.worker.used += j.Bytes
		c.Expected += q.itemTime(j.Work)
	}
	j.waiting = slices.Delete(j.waiting, 0, n)
	j.tries++
	j.begun = now
}
