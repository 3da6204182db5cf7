package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// maxTries is how often a piece is put into a call.
	maxTries = 3
	// minAfter and maxAfter bound when a refused request is asked to come back.
	minAfter = 100 * time.Millisecond
	maxAfter = 3 * time.Second
	// learnWeight is the weight of a new sample in the moving average of a piece's time.
	learnWeight = 0.1
	// worthWaiting is the size of inputs, in bytes, from which work waits for a worker near them while it can be on time.
	worthWaiting = 256 << 10
	// hedgeAfter is how many times longer than expected a call may take before its pieces are made elsewhere as well.
	hedgeAfter = 1.8
	// slowLimit is how much slower than expected a worker may be before others are preferred.
	slowLimit = 1.8
)

// Job is work that was taken; Outcome is set once it is over.
type Job struct {
	Work
	Outcome Outcome

	onTime  time.Time
	last    time.Time
	handles []string
	// waiting holds the places of the pieces that are in no call.
	waiting []int
	missing int
	tries   int
	// domains counts the results by the failure domains where they are.
	domains map[string]int
}

// domain returns where most of the results are.
func (j *Job) domain() string {
	best := ""
	for d, n := range j.domains {
		if best == "" || n > j.domains[best] || (n == j.domains[best] && d < best) {
			best = d
		}
	}
	return best
}

// Call is one call to a worker.
type Call struct {
	Upstream route.Upstream
	Items    []Item
	// Expected is how long the call should take.
	Expected time.Duration

	worker *worker
	parts  []part
	began  time.Time
	// normal is how long the call takes at a worker of normal speed.
	normal time.Duration
	// hedged says that the pieces are made elsewhere as well, as the call takes too long.
	hedged bool
}

// part says which piece of which job an item is.
type part struct {
	job   *Job
	place int
}

// Queue decides for one pool of workers; it is not safe for concurrent use.
type Queue struct {
	spec    plan.Worker
	workers map[string]*worker
	jobs    []*Job
	running []*Call
	held    map[string]held
	item    map[kind]time.Duration
	// pace spaces the calls.
	pace  pace
	stats Stats
}

// NewQueue returns an empty queue for workers of the kind.
func NewQueue(spec plan.Worker) *Queue {
	return &Queue{
		spec:    spec,
		workers: map[string]*worker{},
		held:    map[string]held{},
		item:    map[kind]time.Duration{},
		stats: Stats{
			Missed: map[Reason]int64{},
		},
	}
}

// SetSpec replaces what a worker is expected to do.
func (q *Queue) SetSpec(spec plan.Worker) {
	q.spec = spec
}

// SetWorkers replaces the workers and keeps what is known of those that stay.
func (q *Queue) SetWorkers(ups []route.Upstream) {
	next := make(map[string]*worker, len(ups))
	for _, u := range ups {
		w, ok := q.workers[u.Name]
		if !ok || w.up.Addr != u.Addr || w.up.Born != u.Born {
			w = &worker{
				slow: 1,
			}
		}
		w.up = u
		next[u.Name] = w
	}
	for name, w := range q.workers {
		if next[name] != w {
			w.gone = true
		}
	}
	q.workers = next
}

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

// Drop gives up work that nobody wants any more; results that it has made are returned so that they can be freed.
func (q *Queue) Drop(j *Job) []string {
	if j.Outcome != nil {
		return nil
	}
	q.end(j, Failed{
		Reason: Late,
	})
	return q.partial(j)
}

func (q *Queue) partial(j *Job) []string {
	var out []string
	for _, h := range j.handles {
		if h != "" {
			out = append(out, h)
		}
	}
	return out
}

func (q *Queue) end(j *Job, o Outcome) {
	j.Outcome = o
	j.waiting = nil
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
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

// Next returns the next call to make, or false while no worker is idle or nothing waits.
func (q *Queue) Next(now time.Time) (*Call, bool) {
	q.forget(now)
	order := q.order(now, "")
	if len(order) == 0 || q.holds(now) {
		return nil, false
	}
	for _, w := range q.idle(now, order[0].Domain) {
		if c := q.fill(now, w, q.order(now, w.up.Domain)); c != nil {
			return c, true
		}
	}
	return nil, false
}

// holds reports whether the next call waits for more pieces, as workers that begin at once with few of them leave none for those that come just after.
func (q *Queue) holds(now time.Time) bool {
	workers := 0
	for _, w := range q.workers {
		if !w.gone && !w.up.Leaving && w.faults == 0 && w.slowness(now) <= slowLimit {
			workers++
		}
	}
	return workers > 1 && q.pace.holds(now, q.Waiting(), workers, q.spec)
}

// order returns the work that waits: what can be on time first, then by rank, then what wants its results in the domain, then the longest waiting.
func (q *Queue) order(now time.Time, domain string) []*Job {
	var out []*Job
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			out = append(out, j)
		}
	}
	late := func(j *Job) int {
		if now.Add(q.callTime(j.Work)).After(j.onTime) {
			return 1
		}
		return 0
	}
	away := func(j *Job) int {
		if j.Domain == domain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.Rank, b.Rank), cmp.Compare(away(a), away(b)))
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
	far := func(w *worker) int {
		if w.up.Domain == domain {
			return 0
		}
		return 1
	}
	slow := func(w *worker) int {
		if w.slowness(now) > slowLimit {
			return 1
		}
		return 0
	}
	slices.SortFunc(out, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(slow(a), slow(b)), cmp.Compare(far(a), far(b)), cmp.Compare(a.used, b.used), cmp.Compare(a.up.Name, b.up.Name))
	})
	return out
}

// shunned reports whether waiting for another worker is quicker than a call to this slow one.
func (q *Queue) shunned(now time.Time, w *worker) bool {
	slow := w.slowness(now)
	if slow <= slowLimit {
		return false
	}
	mine := time.Duration(float64(q.spec.Call) * slow)
	for _, o := range q.workers {
		if o == w || o.gone || o.up.Leaving || o.slowness(now) > slowLimit || o.faults > 0 {
			continue
		}
		if max(0, o.endsAt.Sub(now))+q.spec.Call < mine {
			return true
		}
	}
	return false
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
	batch := max(1, q.spec.Batch)
	for _, j := range order {
		if q.waitsNear(now, j, w) {
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
	q.pace.called(now)
	c.normal = c.Expected
	c.Expected = time.Duration(float64(c.normal) * w.slowness(now))
	w.endsAt = now.Add(c.Expected)
	return c
}

// waitsNear reports whether work is left to a worker near its inputs rather than given to this one.
func (q *Queue) waitsNear(now time.Time, j *Job, w *worker) bool {
	if j.Moves < worthWaiting || j.Domain == w.up.Domain {
		return false
	}
	var soonest time.Duration = -1
	workers := 0
	for _, o := range q.workers {
		if o.up.Domain != j.Domain || o.up.Leaving || o.faults > 0 || o.slowness(now) > slowLimit {
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
	ahead := q.aheadNear(j)
	calls := ahead / (workers * max(1, q.spec.Batch))
	wait := soonest + time.Duration(calls)*q.callTime(j.Work)
	return !now.Add(wait + q.callTime(j.Work)).After(j.onTime)
}

// aheadNear returns how many pieces wait for the same domain before this work.
func (q *Queue) aheadNear(j *Job) int {
	n := 0
	for _, o := range q.jobs {
		if o == j {
			break
		}
		if o.Domain == j.Domain {
			n += len(o.waiting)
		}
	}
	return n
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
}

// Finish takes the results of a call, one for each item; it returns the work that is over, and results that nobody wants.
func (q *Queue) Finish(now time.Time, c *Call, results []Result) (over []*Job, spare []string) {
	took := now.Sub(c.began)
	q.ended(c)
	q.stats.Pieces += int64(len(c.Items))
	c.worker.took(now, took, c.normal)
	q.learn(c, took)
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
			if p.job.Outcome == nil && p.job.handles[p.place] == "" {
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
	c.worker.failed(now)
	if took := now.Sub(c.began); took > c.Expected {
		c.worker.took(now, took, c.normal)
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

// forget gives back the room of results that their workers have dropped by now.
func (q *Queue) forget(now time.Time) {
	for h, x := range q.held {
		if now.After(x.until) {
			delete(q.held, h)
			x.worker.used -= x.bytes
		}
	}
}

// Waiting returns how many pieces wait.
func (q *Queue) Waiting() int {
	n := 0
	for _, j := range q.jobs {
		n += len(j.waiting)
	}
	return n
}
