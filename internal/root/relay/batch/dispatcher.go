package batch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/limit"
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// tickInterval is how often the queues are processed while they have unfinished jobs or running calls.
	tickInterval = 20 * time.Millisecond
	// callTimeoutFactor and callTimeoutSlack set the timeout of a call: the factor times its expected duration, plus the slack.
	callTimeoutFactor = 4
	callTimeoutSlack  = 300 * time.Millisecond
)

// WorkerClient sends calls to workers.
type WorkerClient interface {
	// Run runs the items at the worker. Without an error, the response has one result for each of them, in their order.
	Run(ctx context.Context, up route.Upstream, items []Item) (Response, error)
	// Free frees results at the worker with the address.
	Free(ctx context.Context, addr string, handles []string) error
	// WorkerAddr returns the address of the worker that holds a result, or "" if the handle does not contain it.
	WorkerAddr(handle string) string
}

// Response is the response of a worker to a call. After an error it holds what the worker stated all the same.
type Response struct {
	Results []Result
	// Leaving reports that the worker announced that it is leaving.
	Leaving bool
	// PauseFor is how long the worker, which ran nothing of the call, wants no further calls, or 0.
	PauseFor time.Duration
	// Limit is what the worker states of its limit.
	Limit limit.Statement
}

// Dispatcher runs the queues of all worker pools on this host.
type Dispatcher struct {
	common.Deps
	client WorkerClient
	// permits keeps to the rate that cold workers take.
	permits Permits

	mu     sync.Mutex
	queues map[string]*Queue
	// shards lists the queues of each pool.
	shards        map[string][]Shard
	waiters       map[*Job]chan Outcome
	tickScheduled bool
	pendingFrees  map[string][]string
	freeRunning   map[string]bool
	// onReleasable is called with results of a queue that are no longer needed; the queue may belong to another host.
	onReleasable func(queue string, handles []string)
	// onLeaving is called with workers that announced that they are leaving.
	onLeaving func(i route.Incarnation)
	// reports is what this host knows of all queues.
	reports room.Book
	// onLimit is called with the limit that a worker states in the response to a call sent at the given time.
	onLimit func(up route.Upstream, perSecond float64, sentAt time.Time)
}

// NewDispatcher returns a Dispatcher without queues.
func NewDispatcher(deps common.Deps, client WorkerClient) *Dispatcher {
	d := &Dispatcher{
		Deps:         deps.WithPart("batch"),
		client:       client,
		permits:      unlimitedPermits{},
		queues:       map[string]*Queue{},
		shards:       map[string][]Shard{},
		waiters:      map[*Job]chan Outcome{},
		pendingFrees: map[string][]string{},
		freeRunning:  map[string]bool{},
		onLeaving:    func(route.Incarnation) {},
		onLimit:      func(route.Upstream, float64, time.Time) {},
	}
	d.onReleasable = d.Free
	return d
}

// OnReleased sets the function that is called with results of any queue that are no longer needed.
func (d *Dispatcher) OnReleased(f func(queue string, handles []string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onReleasable = f
}

// OnLeaving sets the function that is called with workers that announced that they are leaving. It must be called before the dispatcher is used.
func (d *Dispatcher) OnLeaving(f func(i route.Incarnation)) {
	d.onLeaving = f
}

// OnLimit sets the function that is called with the limit that a worker states in a response, in calls per second, and the time at which the call was sent. It must be called before the dispatcher is used.
func (d *Dispatcher) OnLimit(f func(up route.Upstream, perSecond float64, sentAt time.Time)) {
	d.onLimit = f
}

// SetLimit sets the number of calls per second that a worker takes. 0 means that it names no limit.
func (d *Dispatcher) SetLimit(i route.Incarnation, perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		q.SetLimit(d.Now(), i, perSecond)
	}
}

// Sync updates the queues and their workers to match the worker pools of the plan and the upstreams in members.
func (d *Dispatcher) Sync(p *plan.Plan, members []route.Upstream) {
	byPool := map[string][]route.Upstream{}
	for _, u := range members {
		byPool[u.Pool] = append(byPool[u.Pool], u)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := map[string]bool{}
	sharded := map[string]map[Shard][]route.Upstream{}
	specs := map[string]plan.Worker{}
	for name, pool := range p.Pools {
		if pool.Worker == nil {
			continue
		}
		sharded[name] = ShardWorkers(name, byPool[name])
		specs[name] = *pool.Worker
	}
	for name, shards := range sharded {
		d.shards[name] = SortedShards(withoutEvacuated(shards))
		for s, workers := range shards {
			kept[s.Queue] = true
			d.updateQueue(s.Queue, specs[name], workers)
			d.queues[s.Queue].SetPools(name, PartsOfPools(name, s, sharded, specs))
		}
	}
	d.retireQueues(kept)
	d.dispatch()
}

// updateQueue creates a queue or updates its properties and workers; the caller holds the lock.
func (d *Dispatcher) updateQueue(name string, spec plan.Worker, workers []route.Upstream) {
	q, ok := d.queues[name]
	if !ok {
		q = NewQueue(spec)
		d.queues[name] = q
	}
	q.SetSpec(spec)
	q.SetWorkers(workers)
}

// retireQueues handles the queues that are not in kept: it removes their workers, ends the work that has not started with OwnerChanged, and deletes each queue once it has no unfinished jobs or running calls. The caller holds the lock.
func (d *Dispatcher) retireQueues(kept map[string]bool) {
	for name, q := range d.queues {
		if kept[name] {
			continue
		}
		q.SetWorkers(nil)
		d.notifyWaiters(q.ReassignUnstarted())
		if !q.busy() {
			delete(d.queues, name)
		}
	}
}

// Shards returns the queues of a pool, sorted by name.
func (d *Dispatcher) Shards(pool string) []Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shards[pool]
}

// Do runs the work and returns its outcome. If ctx ends first, the work is cancelled.
func (d *Dispatcher) Do(ctx context.Context, w Work) Outcome {
	job, done, refused := d.add(w)
	if refused != nil {
		return *refused
	}
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
	}
	d.mu.Lock()
	delete(d.waiters, job)
	if q, ok := d.queues[w.Queue]; ok {
		d.freeLocked(w.Queue, q.Cancel(job))
	}
	d.mu.Unlock()
	select {
	case o := <-done:
		return o
	default:
		return Failed{
			Reason: ReasonDeadline,
		}
	}
}

func (d *Dispatcher) add(w Work) (*Job, chan Outcome, *Refused) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.queues[w.Queue]
	if !ok {
		d.Log.WithFields(workFields(w)).Info("Work refused: its queue is unknown on this host.")
		return nil, nil, &Refused{
			After: maxRetryAfter / 3,
		}
	}
	job, refused := q.Add(d.Now(), w)
	if refused != nil {
		d.logRefusal(w, q, *refused)
		return nil, nil, refused
	}
	done := make(chan Outcome, 1)
	d.waiters[job] = done
	d.startCalls(w.Queue, q)
	return job, done, nil
}

// logRefusal logs why a queue refused work. The caller holds the lock.
func (d *Dispatcher) logRefusal(w Work, q *Queue, r Refused) {
	log := d.Log.WithFields(workFields(w)).WithField("waiting", q.Waiting()).WithField("after_ms", r.After.Milliseconds())
	if w.ResultBytes > q.usableRoom() {
		log.WithField("result_kb", w.ResultBytes>>10).WithField("room_kb", q.usableRoom()>>10).Warn("Work refused: no worker has room for one of its results.")
		return
	}
	if r.Pool != "" {
		log = log.WithField("pool", r.Pool).WithField("slack_ms", w.Chain.Slack.Milliseconds())
	}
	log.Info("Work refused: it would not finish in time.")
}

// dispatch processes all queues: it hedges slow calls, ends expired jobs, releases inputs and starts calls. The caller holds the lock.
func (d *Dispatcher) dispatch() {
	now := d.Now()
	for name, q := range d.queues {
		q.Hedge(now)
		d.endJobs(name, q.RefuseEvacuated)
		d.endJobs(name, func() ([]*Job, []string) { return q.Expire(now) })
		for queue, handles := range q.Released(now) {
			go d.onReleasable(queue, handles)
		}
		d.startCalls(name, q)
	}
}

// endJobs ends jobs of one queue by the function, and frees the results that they already have. The caller holds the lock.
func (d *Dispatcher) endJobs(queue string, end func() (ended []*Job, unused []string)) {
	ended, unused := end()
	d.notifyWaiters(ended)
	d.freeLocked(queue, unused)
}

// startCalls starts all calls that one queue can make now, and schedules the next tick if the queue is busy; the caller holds the lock.
func (d *Dispatcher) startCalls(name string, q *Queue) {
	now := d.Now()
	for {
		c, ok := q.NextCall(now)
		if !ok {
			break
		}
		go d.runCall(name, q, c)
	}
	if !d.tickScheduled && q.busy() {
		d.tickScheduled = true
		time.AfterFunc(tickInterval, d.onTick)
	}
}

func (d *Dispatcher) onTick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tickScheduled = false
	d.dispatch()
}

// notifyWaiters sends the outcomes of jobs to the goroutines that wait for them; the caller holds the lock.
func (d *Dispatcher) notifyWaiters(ended []*Job) {
	for _, j := range ended {
		switch j.Outcome.(type) {
		case Completed, OwnerChanged:
		default:
			d.Log.WithFields(workFields(j.Work)).WithField("tries", j.attempts).WithField("outcome", fmt.Sprintf("%+v", j.Outcome)).Info("Work was not completed.")
		}
		if done, ok := d.waiters[j]; ok {
			done <- j.Outcome
			delete(d.waiters, j)
		}
	}
}

// workFields returns the log fields that describe the work and the time that it had left.
func workFields(w Work) map[string]any {
	return map[string]any{
		"request": w.Request,
		"stage":   w.Stage,
		"queue":   w.Queue,
		"pieces":  len(w.Pieces),
		"rank":    w.Rank,
		"left_ms": w.HardTimeout.Milliseconds(),
		"soft_ms": w.SoftTimeout.Milliseconds(),
	}
}

func (d *Dispatcher) runCall(queue string, q *Queue, c *Call) {
	timeout := time.Duration(callTimeoutFactor*float64(c.Expected)) + callTimeoutSlack
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := d.call(place.WithRegions(ctx, c.regions()), c)
	if resp.Leaving {
		d.onLeaving(c.Upstream.Incarnation())
	}
	if resp.Limit.Known {
		d.onLimit(c.Upstream, resp.Limit.Rate(), c.startedAt)
	}
	results := resp.Results
	if err == nil && len(results) != len(c.Items) {
		err = errors.Errorf("worker returned %d results for %d items", len(results), len(c.Items))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	log := d.Log.WithFields(map[string]any{
		"queue":    queue,
		"upstream": c.Upstream.Name,
		"items":    len(c.Items),
		"took_ms":  now.Sub(c.startedAt).Milliseconds(),
		"expected": c.Expected.Milliseconds(),
		"room_kb":  c.room >> 10,
		"waiting":  q.Waiting(),
		"full":     countReason(results, ReasonNoRoom),
		"gone":     countReason(results, ReasonInputLost),
	})
	var ended []*Job
	var unused []string
	switch {
	case err != nil && resp.PauseFor > 0:
		log.WithField("pause_ms", resp.PauseFor.Milliseconds()).WithField("cause", err.Error()).Info("Worker asked for a pause.")
		ended, unused = q.PauseCall(now, c, resp.PauseFor)
	case err != nil:
		log.WithError(err).Warn("Call to worker failed.")
		ended, unused = q.FailCall(now, c)
	default:
		log.Info("Call to worker completed.")
		ended, unused = q.CompleteCall(now, c, results)
	}
	d.freeLocked(queue, unused)
	d.notifyWaiters(ended)
	d.startCalls(queue, q)
}

// countReason returns how many results have the reason.
func countReason(results []Result, reason Reason) int {
	n := 0
	for _, r := range results {
		if r.Reason == reason {
			n++
		}
	}
	return n
}

// ReassignUnstarted ends the work that has not started in queues that this host does not own, so that it is sent to their owners.
func (d *Dispatcher) ReassignUnstarted(owns func(queue string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, q := range d.queues {
		if owns(name) {
			continue
		}
		if ended := q.ReassignUnstarted(); len(ended) > 0 {
			d.Log.WithField("queue", name).WithField("work", len(ended)).Info("Work that has not started is reassigned to another host.")
			d.notifyWaiters(ended)
		}
	}
}
