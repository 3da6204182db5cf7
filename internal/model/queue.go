package model

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// tick is how often the queues are processed.
const tick = 20 * time.Millisecond

// queue is a queue of a pool with those who wait for its work.
type queue struct {
	name    string
	pool    *Pool
	q       *batch.Queue
	waiters map[*batch.Job]func(batch.Outcome)
	counts  callCounts
}

// callCounts counts the calls of a queue.
type callCounts struct {
	calls  int
	pieces int
	busy   time.Duration
}

func (n *callCounts) add(c *batch.Call, took time.Duration) {
	n.calls++
	n.pieces += len(c.Items)
	n.busy += took
}

const handleSeparator = "/"

func handleOf(worker string, n int) string {
	return fmt.Sprintf("%s%s%d", worker, handleSeparator, n)
}

func workerOf(handle string) string {
	name, _, _ := strings.Cut(handle, handleSeparator)
	return name
}

// holds reports whether the worker of a result still holds it.
func (s *simulation) holds(handle string) bool {
	_, ok := s.workers[workerOf(handle)].held[handle]
	return ok
}

// addPool starts the workers of a pool and its queues.
func (s *simulation) addPool(p *Pool) {
	var ups []route.Upstream
	for d, n := range p.Workers {
		for range n {
			name := fmt.Sprintf("%s-%d", p.Name, len(ups))
			s.workers[name] = newWorker(p)
			if p.Name == s.options.SlowPool && len(ups)%3 == 0 {
				s.workers[name].slowness = s.options.SlowFactor
			}
			ups = append(ups, route.Upstream{
				Name:   name,
				Addr:   name,
				Domain: s.settings.Domains[d],
				Pool:   p.Name,
			})
		}
	}
	s.upstreams[p.Name] = ups
	spec := *s.plan.Pools[p.Name].Worker
	shards := batch.ShardWorkers(p.Name, ups)
	for _, shard := range batch.SortedShards(shards) {
		q := &queue{
			name:    shard.Queue,
			pool:    p,
			q:       batch.NewQueue(spec),
			waiters: map[*batch.Job]func(batch.Outcome){},
		}
		q.q.SetWorkers(shards[shard])
		s.queues[shard.Queue] = q
		s.queueNames = append(s.queueNames, shard.Queue)
		s.shards[p.Name] = append(s.shards[p.Name], shard)
	}
}

// process lets all queues expire work, release inputs and start calls, and plans to do so again.
func (s *simulation) process() {
	for _, name := range s.queueNames {
		q := s.queues[name]
		q.q.Hedge(s.now)
		ended, unused := q.q.Expire(s.now)
		s.notify(q, ended)
		s.freeResults(q, unused)
		released := q.q.Released(s.now)
		for _, owner := range slices.Sorted(maps.Keys(released)) {
			s.after(s.settings.Hop.D(), func() { s.freeResults(s.queues[owner], released[owner]) })
		}
		s.startCalls(q)
	}
	s.after(tick, s.process)
}

func (s *simulation) startCalls(q *queue) {
	for {
		c, ok := q.q.NextCall(s.now)
		if !ok {
			return
		}
		s.startCall(q, c)
	}
}

func (s *simulation) notify(q *queue, ended []*batch.Job) {
	for _, j := range ended {
		done, ok := q.waiters[j]
		if !ok {
			continue
		}
		delete(q.waiters, j)
		done(j.Outcome)
	}
}

// submit sends work to the candidates in turn until one accepts it. done gets the outcome, and the name of the queue.
func (s *simulation) submit(h *host, w batch.Work, candidates []batch.Shard, cancel *canceler, done func(o batch.Outcome, queue string)) {
	shard := candidates[0]
	sentAt := s.now
	w.Queue = shard.Queue
	w.Chain = s.withReports(h, w, shard)
	finish := func(o batch.Outcome) {
		report := s.queues[shard.Queue].q.Report(s.now, shard.Queue)
		s.after(s.settings.Hop.D(), func() {
			report.Age = s.settings.Hop.D()
			h.reports.Record(s.now, report)
			refused, ok := o.(batch.Refused)
			if !ok || cancel.canceled {
				done(o, shard.Queue)
				return
			}
			h.picker.RecordRefusal(s.now, shard, w.Rank)
			if len(candidates) == 1 {
				done(refused, shard.Queue)
				return
			}
			s.submit(h, w.WithElapsed(s.now.Sub(sentAt)), candidates[1:], cancel, done)
		})
	}
	s.after(s.settings.Hop.D(), func() {
		q := s.queues[shard.Queue]
		if cancel.canceled {
			finish(batch.Failed{Reason: batch.ReasonDeadline})
			return
		}
		j, refused := q.q.Add(s.now, w)
		if refused != nil {
			finish(*refused)
			return
		}
		q.waiters[j] = finish
		cancel.onCancel(func() {
			if _, waits := q.waiters[j]; !waits {
				return
			}
			s.freeResults(q, q.q.Cancel(j))
			s.notify(q, []*batch.Job{j})
		})
		s.startCalls(q)
	})
}

// canceler cancels the work of a request.
type canceler struct {
	canceled bool
	funcs    []func()
}

func (c *canceler) onCancel(f func()) {
	c.funcs = append(c.funcs, f)
}

func (c *canceler) cancel() {
	if c.canceled {
		return
	}
	c.canceled = true
	for _, f := range c.funcs {
		f()
	}
}

// connectQueues tells each queue which part of the other pools its requests use.
func (s *simulation) connectQueues() {
	workers := map[string]map[batch.Shard][]route.Upstream{}
	specs := map[string]plan.Worker{}
	for _, p := range s.settings.Pools {
		workers[p.Name] = batch.ShardWorkers(p.Name, s.upstreams[p.Name])
		specs[p.Name] = *s.plan.Pools[p.Name].Worker
	}
	for pool, shards := range workers {
		for shard := range shards {
			s.queues[shard.Queue].q.SetPools(pool, batch.PartsOfPools(pool, shard, workers, specs))
		}
	}
}

// withReports returns the chain of the work with what the host knows of the queues in the failure domain of the shard.
func (s *simulation) withReports(h *host, w batch.Work, shard batch.Shard) *room.Request {
	if w.Chain == nil {
		return nil
	}
	chain := *w.Chain
	chain.Reports = h.reports.Reports(s.now, batch.QueuesOfChain(chain, shard, s.shards))
	return &chain
}
