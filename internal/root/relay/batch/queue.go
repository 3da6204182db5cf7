package batch

import (
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// maxAttempts limits the attempts of a job. Each call that contains pieces of the job counts as one, except if the worker paused or did no more than lack room for some of them. At the limit, a piece without a result fails the job.
	maxAttempts = 3
	// minRetryAfter and maxRetryAfter bound the delay after which a refused request is asked to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// noWorkerRetryAfter is the delay for work of a queue without workers.
	noWorkerRetryAfter = time.Second
	// itemTimeWeight is the weight of a new sample in the moving average of a piece's duration.
	itemTimeWeight = 0.1
	// minLocalityBytes is the value of Work.TransferBytes from which work waits for a worker in its preferred failure domain, as long as it can still be on time.
	minLocalityBytes = 256 << 10
	// localitySlack is the spare time that such work must have left, because the wait may be longer than predicted.
	localitySlack = 200 * time.Millisecond
	// hedgeFactor is how many times its expected duration a call may take until its pieces are sent to another worker as well.
	hedgeFactor = 1.8
	// slowThreshold is the slowness above which other workers are preferred; at a slowness of 2, calls take twice as long as expected.
	slowThreshold = 1.8
)

// Queue assigns the work of one pool, or of one shard of a pool, to workers; it is not safe for concurrent use.
type Queue struct {
	spec      plan.Worker
	workers   map[string]*worker
	jobs      []*Job
	running   []*Call
	stored    map[string]stored
	itemTimes map[costClass]time.Duration
	// releasable holds the results of other queues that are no longer needed, by queue.
	releasable map[string][]string
	// exclusiveFrom is the time from which no other host is assumed to use the workers. Until then, another host may use them as well.
	exclusiveFrom time.Time
	// pacer keeps calls from starting too close together.
	pacer pacer
	// returns spreads the callers that come back when a paused worker can be used again.
	returns retry.Returns
	stats   Stats
	// ledger holds what requests whose first work came to this queue need of the pools, which are set by SetPools.
	ledger room.Ledger
	pool   string
	pools  map[string]room.Pool
	// pace is that of the own workers, and reports hold those of other queues.
	pace    room.Pace
	reports room.Book
}

// NewQueue returns an empty queue for workers with the properties in spec.
func NewQueue(spec plan.Worker) *Queue {
	return &Queue{
		spec:       spec,
		workers:    map[string]*worker{},
		stored:     map[string]stored{},
		itemTimes:  map[costClass]time.Duration{},
		releasable: map[string][]string{},
		stats: Stats{
			Missed:     map[Reason]int64{},
			RefusedFor: map[string]int64{},
		},
	}
}

// SetSpec replaces the expected properties of the workers.
func (q *Queue) SetSpec(spec plan.Worker) {
	q.spec = spec
}

// SetWorkers replaces the workers. Those that stay, without a restart or a new address, keep their state.
func (q *Queue) SetWorkers(ups []route.Upstream) {
	next := make(map[string]*worker, len(ups))
	for _, u := range ups {
		w, ok := q.workers[u.Name]
		if !ok || w.upstream.Addr != u.Addr || w.upstream.StartedAtMS != u.StartedAtMS {
			w = &worker{
				lastSlowness: 1,
			}
		}
		w.upstream = u
		next[u.Name] = w
	}
	q.workers = next
}

// Cancel abandons a job that no caller waits for any more, and returns the results that it already has so that they can be freed.
func (q *Queue) Cancel(j *Job) []string {
	if j.Outcome != nil {
		return nil
	}
	q.endJob(j, Failed{
		Reason: ReasonDeadline,
	})
	return q.partialResults(j)
}

// ReassignUnstarted ends the jobs of which no piece has a result, runs or has failed, and returns them.
func (q *Queue) ReassignUnstarted() []*Job {
	var ended []*Job
	for _, j := range slices.Clone(q.jobs) {
		if j.attempts == 0 && j.remaining == len(j.Pieces) {
			q.endJob(j, OwnerChanged{})
			ended = append(ended, j)
		}
	}
	return ended
}

func (q *Queue) partialResults(j *Job) []string {
	var out []string
	for _, h := range j.handles {
		if h != "" {
			out = append(out, h)
		}
	}
	return out
}

func (q *Queue) endJob(j *Job, o Outcome) {
	j.Outcome = o
	j.waiting = nil
	if _, ok := o.(Completed); !ok {
		q.giveBack(j)
	}
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
}

// busy reports whether there are unfinished jobs or running calls.
func (q *Queue) busy() bool {
	return len(q.jobs) > 0 || len(q.running) > 0
}

// Waiting returns how many pieces wait for a call.
func (q *Queue) Waiting() int {
	n := 0
	for _, j := range q.jobs {
		n += len(j.waiting)
	}
	return n
}
