package batch

import (
	"slices"
	"time"
)

// Finish takes the results of a call, one for each item; it returns the work that is over, and results that nobody wants.
func (q *Queue) Finish(now time.Time, c *Call, results []Result) (over []*Job, spare []string) {
	took := now.Sub(c.began)
	q.ended(c)
	q.stats.Pieces += int64(len(c.Items))
	c.worker.served(now, took, c.normal)
	q.learn(c, took)
	q.heeds(now, c, results)
	for i, p := range c.parts {
		r := results[i]
		if r.Handle == "" {
			c.worker.used -= p.job.Bytes
			if q.miss(now, c, p, r.Reason) {
				over = append(over, p.job)
				spare = append(spare, q.partial(p.job)...)
			}
			continue
		}
		q.hold(now, c.worker, p.job.Bytes, r.Handle)
		if p.job.Outcome != nil || p.job.handles[p.place] != "" {
			spare = append(spare, r.Handle)
			continue
		}
		p.job.handles[p.place] = r.Handle
		p.job.waiting = slices.DeleteFunc(p.job.waiting, func(place int) bool { return place == p.place })
		p.job.missing--
		p.job.domains[c.Upstream.Domain]++
		if p.job.missing == 0 {
			q.spend(p.job)
			q.end(p.job, Made{
				Handles: p.job.handles,
				Domain:  p.job.domain(),
			})
			over = append(over, p.job)
		}
	}
	return over, spare
}

func (q *Queue) hold(now time.Time, w *worker, bytes int64, handle string) {
	q.held[handle] = held{
		worker: w,
		bytes:  bytes,
		until:  now.Add(q.spec.Keep),
	}
}

// miss puts a piece back into the queue, or gives its work up and reports that it did.
func (q *Queue) miss(now time.Time, c *Call, p part, why Reason) bool {
	j := p.job
	q.stats.Missed[why]++
	if why == Full {
		c.worker.full(now, q.spec.Room)
	}
	if j.Outcome != nil || j.handles[p.place] != "" || (c.hedged && why != Gone) {
		return false
	}
	if j.freed {
		why = Gone
	}
	if why == Full {
		j.tries--
	}
	if why == Gone || j.tries >= maxTries {
		q.end(j, Failed{
			Reason: why,
		})
		return true
	}
	j.waiting = append(j.waiting, p.place)
	return false
}

// ended takes a call out of those that run.
func (q *Queue) ended(c *Call) {
	c.worker.calls--
	q.stats.Calls++
	q.running = slices.DeleteFunc(q.running, func(o *Call) bool { return o == c })
}

// Hedge puts the pieces of calls that take too long back into the queue, so that another worker makes them as well; the first result counts.
func (q *Queue) Hedge(now time.Time) {
	for _, c := range q.running {
		took := now.Sub(c.began)
		if c.hedged || took < time.Duration(hedgeAfter*float64(c.Expected)) {
			continue
		}
		c.hedged = true
		c.worker.took(now, took, c.normal)
		for _, p := range c.parts {
			if p.job.Outcome == nil && p.job.handles[p.place] == "" && !p.job.freed {
				p.job.waiting = append(p.job.waiting, p.place)
				q.stats.Hedged++
			}
		}
	}
}

// Broke takes the end of a call without results.
func (q *Queue) Broke(now time.Time, c *Call) (over []*Job, spare []string) {
	q.ended(c)
	q.stats.Broken++
	if took := now.Sub(c.began); took > c.Expected {
		c.worker.silent(now)
		c.worker.took(now, took, c.normal)
	} else {
		c.worker.failed(now)
	}
	for _, p := range c.parts {
		c.worker.used -= p.job.Bytes
		if q.miss(now, c, p, Fault) {
			over = append(over, p.job)
			spare = append(spare, q.partial(p.job)...)
		}
	}
	return over, spare
}

func (q *Queue) learn(c *Call, took time.Duration) {
	var items time.Duration
	for _, p := range c.parts {
		items += q.itemTime(p.job.Work)
	}
	rest := took - q.spec.Call
	if items <= 0 || rest <= 0 || c.hedged || c.Expected > time.Duration(slowLimit*float64(c.normal)) {
		return
	}
	ratio := min(max(float64(rest)/float64(items), 0.2), 2)
	for _, p := range c.parts {
		k := p.job.kind()
		t := q.itemTime(p.job.Work)
		q.item[k] = t + time.Duration(learnWeight*(ratio-1)*float64(t)/float64(len(c.parts)))
	}
}

// Free gives back the room of results and returns them by the addresses of their workers.
func (q *Queue) Free(handles []string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		x, ok := q.held[h]
		if !ok {
			continue
		}
		delete(q.held, h)
		x.worker.used -= x.bytes
		out[x.worker.up.Addr] = append(out[x.worker.up.Addr], h)
	}
	return out
}

// Unknown returns the results that this queue has not made, by the addresses of its workers that hold them.
func (q *Queue) Unknown(handles []string, holder func(handle string) string) map[string][]string {
	out := map[string][]string{}
	for _, h := range handles {
		if _, ok := q.held[h]; ok {
			continue
		}
		addr := holder(h)
		for _, w := range q.workers {
			if w.up.Addr == addr {
				out[addr] = append(out[addr], h)
			}
		}
	}
	return out
}

// forget gives back the room of results that their workers have dropped by now.
func (q *Queue) forget(now time.Time) {
	for h, x := range q.held {
		if now.After(x.until) {
			delete(q.held, h)
			x.worker.used -= x.bytes
		}
	}
}
