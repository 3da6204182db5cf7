package front

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/admit"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// dispatchInterval is the time between two dispatch rounds over the waiting requests.
	dispatchInterval = 10 * time.Millisecond
	// dispatchBatch is how many waiting requests may be admitted or rejected from the head of the queue in one round.
	dispatchBatch = 8
	// rejectLateEvery is the number of rounds between two checks of all waiting requests for those that can no longer meet their deadline.
	rejectLateEvery = 20
	// starvationLimit is the interval at which one waiting request is admitted even if the pools are busy, so that patient requests are not starved.
	starvationLimit = 2 * time.Second
)

// Admitter admits or rejects requests and queues patient requests, which are those of low urgency, while the pools are busy. It is safe for concurrent use.
type Admitter struct {
	common.Deps
	table       *route.Table
	backlog     *admit.Backlog
	rateLimiter *admit.RateLimiter
	usage       *admit.UsageTracker
	// hosts returns the number of live hosts, limitHosts the number of hosts among which the account limits are divided.
	hosts      func() int
	limitHosts func() int
	queueLimit int

	// mu guards the fields below.
	mu          sync.Mutex
	waiting     []*waiter
	dispatching bool
	lastForced  time.Time
	draining    bool
}

// NewAdmitter returns an admitter that queues at most queueLimit patient requests.
// hosts returns the number of live hosts, limitHosts the number of hosts among which the account limits are divided.
func NewAdmitter(deps common.Deps, table *route.Table, hosts, limitHosts func() int, queueLimit int) *Admitter {
	return &Admitter{
		Deps:        deps.WithPart("admitter"),
		table:       table,
		backlog:     admit.NewBacklog(),
		rateLimiter: admit.NewRateLimiter(),
		usage:       admit.NewUsageTracker(),
		hosts:       hosts,
		limitHosts:  limitHosts,
		queueLimit:  queueLimit,
	}
}

// Permit is held by an admitted request. Until it is released, the request counts towards the backlog of the pools that the request has not reached yet.
type Permit struct {
	pending *admit.PendingRequest
}

// ReachPool removes the request from the backlog of its next pool, since the request has reached it.
func (p *Permit) ReachPool() {
	p.pending.ReachPool()
}

// Release removes the request from the backlog of all pools that it has not reached, since the request has ended.
func (p *Permit) Release() {
	p.pending.Release()
}

// Drain makes Admit reject all further requests. Requests that are already waiting stay in the queue.
func (a *Admitter) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
}

// Admit returns a permit, or the problem with which the request is rejected. Only patient requests wait. All others are admitted or rejected immediately.
func (a *Admitter) Admit(ctx context.Context, req PipelineRequest) (*Permit, *wire.Problem) {
	rate := req.Account.RatePerSecond / float64(max(1, a.limitHosts()))
	if after := a.rateLimiter.Take(a.Now(), req.Account.Name, rate); after > 0 {
		return nil, retryProblem(wire.KindLimit, "the account is over its rate", after)
	}
	if p := a.drainingProblem(); p != nil {
		return nil, p
	}
	req.overShare = a.usage.Add(a.Now(), req.Account.Name, req.Account.Weight)
	switch v := a.decide(req).(type) {
	case admit.Rejected:
		return nil, retryProblem(wire.KindOverload, "the request would not be done in time", v.RetryAfter)
	case admit.Deferred:
		return a.enqueueAndWait(ctx, req)
	default:
		return a.permit(req), nil
	}
}

// retryProblem returns a problem with outcome "not run" and a retry delay.
func retryProblem(kind wire.Kind, detail string, after time.Duration) *wire.Problem {
	p := wire.NewProblem(kind, wire.NotRun, detail).WithRetry(after, "")
	return &p
}

func (a *Admitter) drainingProblem() *wire.Problem {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.draining {
		return nil
	}
	return stoppingProblem()
}

func stoppingProblem() *wire.Problem {
	return retryProblem(wire.KindDraining, "the host is stopping", time.Second)
}

func (a *Admitter) permit(req PipelineRequest) *Permit {
	pools := make([]string, 0, len(req.Pipeline.Stages))
	for _, s := range req.Pipeline.Stages {
		pools = append(pools, s.Pool)
	}
	return &Permit{
		pending: a.backlog.Add(pools),
	}
}

func (a *Admitter) decide(req PipelineRequest) admit.Decision {
	return admit.Decide(admit.PipelineRequest{
		TimeLeft:  req.Deadline.Sub(a.Now()),
		Patient:   req.Patient(),
		OverShare: req.overShare,
		Stages:    a.stages(req),
	})
}

// stages combines the load that the pools report with the backlog of this host. The other hosts are assumed to have the same backlog.
func (a *Admitter) stages(req PipelineRequest) []admit.Stage {
	now := a.Now()
	hosts := max(1, a.hosts())
	stages := make([]admit.Stage, 0, len(req.Pipeline.Stages))
	for _, s := range req.Pipeline.Stages {
		pressure := a.table.Pressure(now, s.Pool)
		stages = append(stages, admit.Stage{
			Service: max(pressure.Service, s.Expected.D()),
			Slots:   pressure.Slots,
			Load:    pressure.Load,
			Pending: a.backlog.Pending(s.Pool) * hosts,
		})
	}
	return stages
}

// waiter is a patient request in the queue. At most one decision is sent to its channel.
type waiter struct {
	request  PipelineRequest
	decision chan decision
}

type decision struct {
	permit  *Permit
	problem *wire.Problem
}

// enqueueAndWait queues the request and waits for the decision. It removes the request from the queue if ctx ends first.
func (a *Admitter) enqueueAndWait(ctx context.Context, req PipelineRequest) (*Permit, *wire.Problem) {
	w := &waiter{
		request:  req,
		decision: make(chan decision, 1),
	}
	if !a.enqueue(w) {
		return nil, retryProblem(wire.KindOverload, "too many patient requests wait", a.estimateQueueDrain(req))
	}
	select {
	case d := <-w.decision:
		return d.permit, d.problem
	case <-ctx.Done():
	}
	if !a.dequeue(w) {
		// The request was decided before ctx ended, so it may have a permit to release.
		if d := <-w.decision; d.permit != nil {
			d.permit.Release()
		}
	}
	if errors.Is(context.Cause(ctx), serve.ErrStopping) {
		return nil, stoppingProblem()
	}
	return nil, retryProblem(wire.KindCallerGone, "the caller went away", time.Second)
}

// enqueue adds the request to the queue and starts the dispatch goroutine if it is not running. It reports false if the queue is full.
// Requests of accounts over their share may only use the first half of the queue.
func (a *Admitter) enqueue(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) >= a.queueLimit || (w.request.overShare && len(a.waiting) >= a.queueLimit/2) {
		return false
	}
	a.waiting = append(a.waiting, w)
	if !a.dispatching {
		a.dispatching = true
		a.lastForced = a.Now()
		go a.dispatch()
	}
	return true
}

// dequeue removes a request from the queue. It reports false if the request is no longer queued.
func (a *Admitter) dequeue(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// dispatch admits waiting requests, the longest waiting first, until the queue is empty.
func (a *Admitter) dispatch() {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		<-ticker.C
		for range dispatchBatch {
			if !a.dispatchOne() {
				break
			}
		}
		if round%rejectLateEvery == 0 {
			a.rejectLate()
		}
		if a.stopIfIdle() {
			return
		}
	}
}

// stopIfIdle reports whether the queue is empty. If so, it clears dispatching, so that the next enqueue starts a new dispatch goroutine.
func (a *Admitter) stopIfIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatching = len(a.waiting) > 0
	return !a.dispatching
}

// dispatchOne admits or rejects the next request in the queue. It reports false if the queue is empty or the request has to wait longer.
func (a *Admitter) dispatchOne() bool {
	a.mu.Lock()
	if len(a.waiting) == 0 {
		a.mu.Unlock()
		return false
	}
	w := a.nextWaiter()
	a.mu.Unlock()
	switch v := a.decide(w.request).(type) {
	case admit.Rejected:
		a.deliver(w, decision{problem: lateProblem(v)})
	case admit.Deferred:
		if !a.forceAdmission() {
			return false
		}
		a.admit(w)
	default:
		a.admit(w)
	}
	return true
}

// nextWaiter returns the longest waiting request whose account does not exceed its share. If there is none, it returns the longest waiting request of all accounts.
// The caller holds a.mu, and the queue is not empty.
func (a *Admitter) nextWaiter() *waiter {
	for _, w := range a.waiting {
		if !w.request.overShare {
			return w
		}
	}
	return a.waiting[0]
}

func lateProblem(v admit.Rejected) *wire.Problem {
	return retryProblem(wire.KindOverload, "urgent work left no room in time", v.RetryAfter)
}

// admit delivers a permit to the waiting request. If the request is no longer queued, the permit is released.
func (a *Admitter) admit(w *waiter) {
	if p := a.permit(w.request); !a.deliver(w, decision{permit: p}) {
		p.Release()
	}
}

// deliver removes the request from the queue and sends it the decision. It reports false if the request is no longer queued.
func (a *Admitter) deliver(w *waiter, d decision) bool {
	if !a.dequeue(w) {
		return false
	}
	w.decision <- d
	return true
}

// rejectLate rejects waiting requests that can no longer finish in time, so that their callers get the rejection before the deadline.
func (a *Admitter) rejectLate() {
	a.mu.Lock()
	all := slices.Clone(a.waiting)
	a.mu.Unlock()
	for _, w := range all {
		if v, ok := a.decide(w.request).(admit.Rejected); ok {
			a.deliver(w, decision{problem: lateProblem(v)})
		}
	}
}

// forceAdmission reports whether starvationLimit has passed since the last forced admission, and if so restarts the interval.
func (a *Admitter) forceAdmission() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	if now.Sub(a.lastForced) < starvationLimit {
		return false
	}
	a.lastForced = now
	return true
}

// estimateQueueDrain estimates how long the slowest pool takes to process full queues on all hosts, limited to between one second and one minute.
func (a *Admitter) estimateQueueDrain(req PipelineRequest) time.Duration {
	var slowest time.Duration
	for _, s := range a.stages(req) {
		slowest = max(slowest, s.Service/time.Duration(max(1, s.Slots)))
	}
	drain := slowest * time.Duration(a.queueLimit*max(1, a.hosts()))
	return min(max(drain, time.Second), time.Minute)
}

// Waiting returns the number of patient requests in the queue.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}
