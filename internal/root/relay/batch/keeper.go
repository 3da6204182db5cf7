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
	// tick is how often the queues are looked at while work waits.
	tick = 20 * time.Millisecond
	// callFactor and callSlack bound a call: that many times what is expected, and a bit.
	callFactor = 4
	callSlack  = 300 * time.Millisecond
	// freeTimeout bounds the call that frees results.
	freeTimeout = time.Second
)

// Caller reaches workers.
type Caller interface {
	// Run returns one result for each item.
	Run(ctx context.Context, up route.Upstream, items []Item) ([]Result, error)
	// Free frees results at the worker of the address.
	Free(ctx context.Context, addr string, handles []string) error
	// Holder returns the address of the worker that holds a result, or "" where the handle doesn't say.
	Holder(handle string) string
}

// Keeper runs the queues of all pools of workers.
type Keeper struct {
	common.Deps
	caller Caller

	mu     sync.Mutex
	queues map[string]*Queue
	// shards are the queues of each pool.
	shards  map[string][]Shard
	waiters map[*Job]chan Outcome
	ticking bool
	frees   map[string][]string
	freeing map[string]bool
	// onSpent takes results of a queue that are no longer needed; this host need not be the one that keeps it.
	onSpent func(queue string, handles []string)
}

// NewKeeper returns a keeper without queues.
func NewKeeper(deps common.Deps, caller Caller) *Keeper {
	k := &Keeper{
		Deps:    deps.WithPart("batch"),
		caller:  caller,
		queues:  map[string]*Queue{},
		shards:  map[string][]Shard{},
		waiters: map[*Job]chan Outcome{},
		frees:   map[string][]string{},
		freeing: map[string]bool{},
	}
	k.onSpent = k.Free
	return k
}

// OnSpent sets the function that takes results of any queue that are no longer needed.
func (k *Keeper) OnSpent(f func(queue string, handles []string)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onSpent = f
}

// Sync brings the pools of the plan and their workers into the queues.
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
		shards := shardsOf(name, byPool[name])
		k.shards[name] = sortedShards(shards)
		for s, workers := range shards {
			kept[s.Queue] = true
			k.put(s.Queue, *pool.Worker, workers)
		}
	}
	k.retire(kept)
	k.dispatch()
}

// put brings the workers of a queue up to date; the lock is held.
func (k *Keeper) put(name string, spec plan.Worker, workers []route.Upstream) {
	q, ok := k.queues[name]
	if !ok {
		q = NewQueue(spec)
		k.queues[name] = q
	}
	q.SetSpec(spec)
	q.SetWorkers(workers)
}

// retire takes the workers from the queues that are no more, hands over what waits there, and forgets them once they are empty; the lock is held.
func (k *Keeper) retire(kept map[string]bool) {
	for name, q := range k.queues {
		if kept[name] {
			continue
		}
		q.SetWorkers(nil)
		k.tell(q.HandOver())
		if !q.busy() {
			delete(k.queues, name)
		}
	}
}

// Shards returns the queues of a pool.
func (k *Keeper) Shards(pool string) []Shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shards[pool]
}

// Do runs the work; where ctx ends first, it is given up.
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
		k.free(w.Queue, q.Drop(job))
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
		k.Log.WithFields(fieldsOf(w)).Info("Work refused: its queue is not known here.")
		return nil, nil, &Refused{
			After: maxAfter / 3,
		}
	}
	job, refused := q.Add(k.Now(), w)
	if refused != nil {
		k.Log.WithFields(fieldsOf(w)).WithField("waiting", q.Waiting()).WithField("after_ms", refused.After.Milliseconds()).Info("Work refused: it would not be done in time.")
		return nil, nil, refused
	}
	done := make(chan Outcome, 1)
	k.waiters[job] = done
	k.calls(w.Queue, q)
	return job, done, nil
}

// dispatch looks after all queues and makes the calls that can be made now; the lock is held.
func (k *Keeper) dispatch() {
	now := k.Now()
	for name, q := range k.queues {
		q.Hedge(now)
		k.tell(q.Expire(now))
		for queue, handles := range q.Spent(now) {
			go k.onSpent(queue, handles)
		}
		k.calls(name, q)
	}
}

// calls makes the calls of one queue that can be made now, and sees to it that the queue is looked at again; the lock is held.
func (k *Keeper) calls(name string, q *Queue) {
	now := k.Now()
	for {
		c, ok := q.Next(now)
		if !ok {
			break
		}
		go k.call(name, q, c)
	}
	if !k.ticking && q.busy() {
		k.ticking = true
		time.AfterFunc(tick, k.again)
	}
}

func (k *Keeper) again() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ticking = false
	k.dispatch()
}

// tell gives outcomes to those that wait for them; the lock is held.
func (k *Keeper) tell(over []*Job) {
	for _, j := range over {
		switch j.Outcome.(type) {
		case Made, Moved:
		default:
			k.Log.WithFields(fieldsOf(j.Work)).WithField("tries", j.tries).WithField("outcome", fmt.Sprintf("%+v", j.Outcome)).Info("Work given up.")
		}
		if done, ok := k.waiters[j]; ok {
			done <- j.Outcome
			delete(k.waiters, j)
		}
	}
}

// fieldsOf names the work and the time that it had, for log lines.
func fieldsOf(w Work) map[string]any {
	return map[string]any{
		"request": w.Request,
		"stage":   w.Stage,
		"queue":   w.Queue,
		"pieces":  len(w.Pieces),
		"rank":    w.Rank,
		"left_ms": w.Last.Milliseconds(),
	}
}

func (k *Keeper) call(queue string, q *Queue, c *Call) {
	limit := time.Duration(callFactor*float64(c.Expected)) + callSlack
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	results, err := k.caller.Run(ctx, c.Upstream, c.Items)
	if err == nil && len(results) != len(c.Items) {
		err = errors.Errorf("%d results for %d items", len(results), len(c.Items))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	log := k.Log.WithFields(map[string]any{
		"queue":    queue,
		"upstream": c.Upstream.Name,
		"items":    len(c.Items),
		"took_ms":  now.Sub(c.began).Milliseconds(),
		"expected": c.Expected.Milliseconds(),
		"room_kb":  c.room >> 10,
		"waiting":  q.Waiting(),
		"full":     count(results, Full),
		"gone":     count(results, Gone),
	})
	var over []*Job
	var spare []string
	if err != nil {
		log.WithError(err).Warn("Call broke.")
		over, spare = q.Broke(now, c)
	} else {
		log.Info("Call done.")
		over, spare = q.Finish(now, c, results)
	}
	k.free(queue, spare)
	k.tell(over)
	k.calls(queue, q)
}

// count returns how many results have the reason.
func count(results []Result, why Reason) int {
	n := 0
	for _, r := range results {
		if r.Reason == why {
			n++
		}
	}
	return n
}

// HandOver ends the work that has not begun, in queues that this host does not own.
func (k *Keeper) HandOver(owns func(queue string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, q := range k.queues {
		if owns(name) {
			continue
		}
		if over := q.HandOver(); len(over) > 0 {
			k.Log.WithField("queue", name).WithField("work", len(over)).Info("Work is handed to another host.")
			k.tell(over)
		}
	}
}

// Free gives up results of a queue.
func (k *Keeper) Free(queue string, handles []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.free(queue, handles)
	if q, ok := k.queues[queue]; ok {
		k.calls(queue, q)
	}
}

// free queues the results for the calls that free them, one at a time for each worker; the lock is held.
func (k *Keeper) free(queue string, handles []string) {
	q, ok := k.queues[queue]
	if !ok || len(handles) == 0 {
		return
	}
	// What a host made that kept the queue before takes up room until it is freed as well.
	for addr, list := range q.Unknown(handles, k.caller.Holder) {
		k.freeSoon(addr, list)
	}
	for addr, list := range q.Free(handles) {
		k.freeSoon(addr, list)
	}
}

func (k *Keeper) freeSoon(addr string, handles []string) {
	k.frees[addr] = append(k.frees[addr], handles...)
	if !k.freeing[addr] {
		k.freeing[addr] = true
		go k.freeAt(addr)
	}
}

func (k *Keeper) freeAt(addr string) {
	for {
		k.mu.Lock()
		list := k.frees[addr]
		delete(k.frees, addr)
		if len(list) == 0 {
			delete(k.freeing, addr)
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		if err := k.caller.Free(ctx, addr, list); err != nil {
			k.Log.WithError(err).WithField("upstream", addr).WithField("results", len(list)).Info("Results were not freed. They expire by themselves.")
		}
		cancel()
	}
}
