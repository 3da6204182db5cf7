package batch

import (
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
	// nearSlack is how much time such work has to have left besides, as it may wait longer than predicted.
	nearSlack = 200 * time.Millisecond
	// hedgeAfter is how many times longer than expected a call may take before its pieces are made elsewhere as well.
	hedgeAfter = 1.8
	// slowLimit is how much slower than expected a worker may be before others are preferred.
	slowLimit = 1.8
)

// Queue decides for one pool of workers; it is not safe for concurrent use.
type Queue struct {
	spec    plan.Worker
	workers map[string]*worker
	jobs    []*Job
	running []*Call
	held    map[string]held
	item    map[kind]time.Duration
	// spent holds results of other queues that are no longer needed, by their queues.
	spent map[string][]string
	// alone is from when on no other host is taken to use the workers.
	alone time.Time
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
		spent:   map[string][]string{},
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
	q.workers = next
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

// HandOver ends the work of which no piece was put into a call, and returns it.
func (q *Queue) HandOver() []*Job {
	var over []*Job
	for _, j := range slices.Clone(q.jobs) {
		if j.tries == 0 {
			q.end(j, Moved{})
			over = append(over, j)
		}
	}
	return over
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

// busy reports whether work waits or calls run.
func (q *Queue) busy() bool {
	return len(q.jobs) > 0 || len(q.running) > 0
}

// Waiting returns how many pieces wait.
func (q *Queue) Waiting() int {
	n := 0
	for _, j := range q.jobs {
		n += len(j.waiting)
	}
	return n
}
