package batch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// tickInterval is how often the queues are processed while they have unfinished jobs or running calls.
	tickInterval = 20 * time.Millisecond
	// callTimeoutFactor and callTimeoutSlack set the timeout of a call: the factor times its expected duration, plus the slack.
	callTimeoutFactor = 4
	callTimeoutSlack  = 300 * time.Millisecond
	// freeTimeout is the timeout of a call that frees results.
	freeTimeout = time.Second
)

// Caller sends calls to workers.
type Caller interface {
	// Run runs the items at the worker and returns one result for each of them, in their order.
	Run(ctx context.Context, up route.Upstream, items []Item) ([]Result, error)
	// Free frees results at the worker with the address.
	Free(ctx context.Context, addr string, handles []string) error
	// Holder returns the address of the worker that holds a result, or "" if the handle does not contain it.
	Holder(handle string) string
}

// Keeper runs the queues of all worker pools on this host.
type Keeper struct {
	common.Deps
	caller Caller

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
}

// NewKeeper returns a Keeper without queues.
func NewKeeper(deps common.Deps, caller Caller) *Keeper {
	k := &Keeper{
		Deps:         deps.WithPart("batch"),
		caller:       caller,
		queues:       map[string]*Queue{},
		shards:       map[string][]Shard{},
		waiters:      map[*Job]chan Outcome{},
		pendingFrees: map[string][]string{},
		freeRunning:  map[string]bool{},
	}
	k.onReleasable = k.Free
	return k
}

// OnSpent sets the function that is called with results of any queue that are no longer needed.
func (k *Keeper) OnSpent(f func(queue string, handles []string)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onReleasable = f
}

// Sync updates the queues and their workers to match the worker pools of the plan and the upstreams in members.
func (k *Keeper) Sync(p *plan.Plan, members []route.Upstream) {
	byPool := map[string][]route.Upstream{}
	for _, u := range members {
		byPool[u.Pool] = append(byPool[u.Pool], u)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := map[string]bool{}
	for name, pool := range p.Pools {
		if pool.Worker == nil {
			continue
		}
		shards := shardWorkers(name, byPool[name])
		k.shards[name] = sortedShards(shards)
		for s, workers := range shards {
			kept[s.Queue] = true
			k.updateQueue(s.Queue, *pool.Worker, workers)
		}
	}
	k.retireQueues(kept)
	k.dispatch()
}

// updateQueue creates a queue or updates its properties and workers; the caller holds the lock.
func (k *Keeper) updateQueue(name string, spec plan.Worker, workers []route.Upstream) {
	q, ok := k.queues[name]
	if !ok {
		q = NewQueue(spec)
		k.queues[name] = q
	}
	q.SetSpec(spec)
	q.SetWorkers(workers)
}

// retireQueues handles the queues that are not in kept: it removes their workers, ends the work that has not started with OwnerChanged, and deletes each queue once it has no unfinished jobs or running calls. The caller holds the lock.
func (k *Keeper) retireQueues(kept map[string]bool) {
	for name, q := range k.queues {
		if kept[name] {
			continue
		}
		q.SetWorkers(nil)
		k.notifyWaiters(q.ReassignUnstarted())
		if !q.busy() {
			delete(k.queues, name)
		}
	}
}

// Shards returns the queues of a pool, sorted by name.
func (k *Keeper) Shards(pool string) []Shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shards[pool]
}

// Do runs the work and returns its outcome. If ctx ends first, the work is cancelled.
func (k *Keeper) Do(ctx context.Context, w Work) Outcome {
	job, done, refused := k.add(w)
	if refused != nil {
		return *refused
	}
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
	}
	k.mu.Lock()
	delete(k.waiters, job)
	if q, ok := k.queues[w.Queue]; ok {
		k.freeLocked(w.Queue, q.Cancel(job))
	}
	k.mu.Unlock()
	select {
	case o := <-done:
		return o
	default:
		return Failed{
			Reason: Late,
		}
	}
}

func (k *Keeper) add(w Work) (*Job, chan Outcome, *Refused) {
	k.mu.Lock()
	defer k.mu.Unlock()
	q, ok := k.queues[w.Queue]
	if !ok {
		k.Log.WithFields(workFields(w)).Info("Work refused: its queue is unknown on this host.")
		return nil, nil, &Refused{
			After: maxRetryAfter / 3,
		}
	}
	job, refused := q.Add(k.Now(), w)
	if refused != nil {
		k.Log.WithFields(workFields(w)).WithField("waiting", q.Waiting()).WithField("after_ms", refused.After.Milliseconds()).Info("Work refused: it would not finish in time.")
		return nil, nil, refused
	}
	done := make(chan Outcome, 1)
	k.waiters[job] = done
	k.startCalls(w.Queue, q)
	return job, done, nil
}

// dispatch processes all queues: it hedges slow calls, ends expired jobs, releases inputs and starts calls. The caller holds the lock.
func (k *Keeper) dispatch() {
	now := k.Now()
	for name, q := range k.queues {
		q.Hedge(now)
		k.notifyWaiters(q.Expire(now))
		for queue, handles := range q.Spent(now) {
			go k.onReleasable(queue, handles)
		}
		k.startCalls(name, q)
	}
}

// startCalls starts all calls that one queue can make now, and schedules the next tick if the queue is busy; the caller holds the lock.
func (k *Keeper) startCalls(name string, q *Queue) {
	now := k.Now()
	for {
		c, ok := q.NextCall(now)
		if !ok {
			break
		}
		go k.runCall(name, q, c)
	}
	if !k.tickScheduled && q.busy() {
		k.tickScheduled = true
		time.AfterFunc(tickInterval, k.onTick)
	}
}

func (k *Keeper) onTick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tickScheduled = false
	k.dispatch()
}

// notifyWaiters sends the outcomes of jobs to the goroutines that wait for them; the caller holds the lock.
func (k *Keeper) notifyWaiters(ended []*Job) {
	for _, j := range ended {
		switch j.Outcome.(type) {
		case Made, OwnerChanged:
		default:
			k.Log.WithFields(workFields(j.Work)).WithField("tries", j.attempts).WithField("outcome", fmt.Sprintf("%+v", j.Outcome)).Info("Work was not completed.")
		}
		if done, ok := k.waiters[j]; ok {
			done <- j.Outcome
			delete(k.waiters, j)
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
		"left_ms": w.Last.Milliseconds(),
	}
}

func (k *Keeper) runCall(queue string, q *Queue, c *Call) {
	timeout := time.Duration(callTimeoutFactor*float64(c.Expected)) + callTimeoutSlack
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	results, err := k.caller.Run(ctx, c.Upstream, c.Items)
	if err == nil && len(results) != len(c.Items) {
		err = errors.Errorf("worker returned %d results for %d items", len(results), len(c.Items))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	log := k.Log.WithFields(map[string]any{
		"queue":    queue,
		"upstream": c.Upstream.Name,
		"items":    len(c.Items),
		"took_ms":  now.Sub(c.startedAt).Milliseconds(),
		"expected": c.Expected.Milliseconds(),
		"room_kb":  c.room >> 10,
		"waiting":  q.Waiting(),
		"full":     countReason(results, Full),
		"gone":     countReason(results, Gone),
	})
	var ended []*Job
	var unused []string
	if err != nil {
		log.WithError(err).Warn("Call to worker failed.")
		ended, unused = q.FailCall(now, c)
	} else {
		log.Info("Call to worker completed.")
		ended, unused = q.CompleteCall(now, c, results)
	}
	k.freeLocked(queue, unused)
	k.notifyWaiters(ended)
	k.startCalls(queue, q)
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
func (k *Keeper) ReassignUnstarted(owns func(queue string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, q := range k.queues {
		if owns(name) {
			continue
		}
		if ended := q.ReassignUnstarted(); len(ended) > 0 {
			k.Log.WithField("queue", name).WithField("work", len(ended)).Info("Work that has not started is reassigned to another host.")
			k.notifyWaiters(ended)
		}
	}
}

// Free frees results of a queue at the workers that hold them.
func (k *Keeper) Free(queue string, handles []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.freeLocked(queue, handles)
	if q, ok := k.queues[queue]; ok {
		k.startCalls(queue, q)
	}
}

// freeLocked schedules the calls that free the results. Only one such call runs at a time for each worker. The caller holds the lock.
func (k *Keeper) freeLocked(queue string, handles []string) {
	q, ok := k.queues[queue]
	if !ok || len(handles) == 0 {
		return
	}
	// Results of a previous owner of the queue also take up room until they are freed.
	for addr, list := range q.Untracked(handles, k.caller.Holder) {
		k.scheduleFree(addr, list)
	}
	for addr, list := range q.Free(handles) {
		k.scheduleFree(addr, list)
	}
}

func (k *Keeper) scheduleFree(addr string, handles []string) {
	k.pendingFrees[addr] = append(k.pendingFrees[addr], handles...)
	if !k.freeRunning[addr] {
		k.freeRunning[addr] = true
		go k.freePending(addr)
	}
}

func (k *Keeper) freePending(addr string) {
	for {
		k.mu.Lock()
		list := k.pendingFrees[addr]
		delete(k.pendingFrees, addr)
		if len(list) == 0 {
			delete(k.freeRunning, addr)
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		if err := k.caller.Free(ctx, addr, list); err != nil {
			k.Log.WithError(err).WithField("upstream", addr).WithField("results", len(list)).Info("Failed to free results. The worker drops them when they expire.")
		}
		cancel()
	}
}
