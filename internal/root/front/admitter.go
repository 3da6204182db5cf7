package front

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/admit"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// recheck is how often those that wait are looked at.
	recheck = 10 * time.Millisecond
	// heads is how many of those that wait may be let in at a time.
	heads = 8
	// refuseEvery is how many rounds pass between two looks at all of those that wait.
	refuseEvery = 20
	// starvationLimit is how often patient work is let in however busy the pools are, so that it is never starved.
	starvationLimit = 2 * time.Second
)

// Admitter admits requests, and lets patient ones wait.
type Admitter struct {
	common.Deps
	table   *route.Table
	backlog *admit.Backlog
	quota   *admit.RateLimiter
	usage   *admit.UsageTracker
	// hosts is the number of live hosts, and members that of the hosts that share the limits.
	hosts      func() int
	members    func() int
	queueLimit int

	mu          sync.Mutex
	waiting     []*waiter
	dispatching bool
	lastTurn    time.Time
	draining    bool
}

// NewAdmitter returns an admitter in which at most queueLimit patient requests wait; hosts gives the number of live hosts, members that of the hosts that share the limits.
func NewAdmitter(deps common.Deps, table *route.Table, hosts, members func() int, queueLimit int) *Admitter {
	return &Admitter{
		Deps:       deps.WithPart("admitter"),
		table:      table,
		backlog:    admit.NewBacklog(),
		quota:      admit.NewRateLimiter(),
		usage:      admit.NewUsageTracker(),
		hosts:      hosts,
		members:    members,
		queueLimit: queueLimit,
	}
}

// Permit is an admitted request's place in the count of what is on its way.
type Permit struct {
	entry *admit.PendingRequest
}

// Reach says that the request has come to its next stage.
func (p *Permit) Reach() {
	p.entry.ReachPool()
}

// End says that the request is over.
func (p *Permit) End() {
	p.entry.Remove()
}

// Drain refuses whatever comes from now on; those that wait already may stay.
func (l *Admitter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// Enter admits the request, or returns the refusal at once; only patient requests wait.
func (l *Admitter) Enter(ctx context.Context, a Ask) (*Permit, *wire.Problem) {
	rate := a.Account.RatePerSecond / float64(max(1, l.members()))
	if after := l.quota.Take(l.Now(), a.Account.Name, rate); after > 0 {
		return nil, refuseFor(wire.KindLimit, "the account is over its rate", after)
	}
	if p := l.refuseDraining(); p != nil {
		return nil, p
	}
	a.over = l.usage.Add(l.Now(), a.Account.Name, a.Account.Weight)
	switch v := l.decide(a).(type) {
	case admit.Rejected:
		return nil, refuseFor(wire.KindOverload, "the request would not be done in time", v.RetryAfter)
	case admit.Deferred:
		return l.wait(ctx, a)
	default:
		return l.permit(a), nil
	}
}

func refuseFor(kind wire.Kind, detail string, after time.Duration) *wire.Problem {
	p := wire.NewProblem(kind, wire.NotRun, detail).WithRetry(after, "")
	return &p
}

func (l *Admitter) refuseDraining() *wire.Problem {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		return nil
	}
	return refuseFor(wire.KindDraining, "the host is stopping", time.Second)
}

func (l *Admitter) permit(a Ask) *Permit {
	pools := make([]string, 0, len(a.Pipeline.Stages))
	for _, s := range a.Pipeline.Stages {
		pools = append(pools, s.Pool)
	}
	return &Permit{
		entry: l.backlog.Add(pools),
	}
}

func (l *Admitter) decide(a Ask) admit.Decision {
	return admit.Decide(admit.Request{
		TimeLeft:  a.Deadline.Sub(l.Now()),
		Patient:   a.Patient(),
		OverShare: a.over,
		Stages:    l.needs(a),
	})
}

// needs joins what the pools report with what this host has on its way to them; others are taken to be alike.
func (l *Admitter) needs(a Ask) []admit.Stage {
	now := l.Now()
	hosts := max(1, l.hosts())
	needs := make([]admit.Stage, 0, len(a.Pipeline.Stages))
	for _, s := range a.Pipeline.Stages {
		pressure := l.table.Pressure(now, s.Pool)
		needs = append(needs, admit.Stage{
			ServiceTime: max(pressure.Service, s.Expected.D()),
			Slots:       pressure.Slots,
			Load:        pressure.Load,
			Pending:     l.backlog.Pending(s.Pool) * hosts,
		})
	}
	return needs
}

// waiter is one patient request that waits; it is given its decision once.
type waiter struct {
	ask      Ask
	decision chan decision
}

type decision struct {
	permit  *Permit
	problem *wire.Problem
}

// wait queues the request until it is decided.
func (l *Admitter) wait(ctx context.Context, a Ask) (*Permit, *wire.Problem) {
	s := &waiter{
		ask:      a,
		decision: make(chan decision, 1),
	}
	if !l.enqueue(s) {
		return nil, refuseFor(wire.KindOverload, "too many patient requests wait", l.queueDrain(a))
	}
	select {
	case t := <-s.decision:
		return t.permit, t.problem
	case <-ctx.Done():
	}
	if !l.dequeue(s) {
		// The decision came first, so a permit may have been given.
		if t := <-s.decision; t.permit != nil {
			t.permit.End()
		}
	}
	return nil, refuseFor(wire.KindCut, "the caller went away", time.Second)
}

// enqueue takes a place in the queue, half of which is kept from accounts that are over their share, and starts the dispatch if it does not run.
func (l *Admitter) enqueue(s *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= l.queueLimit || (s.ask.over && len(l.waiting) >= l.queueLimit/2) {
		return false
	}
	l.waiting = append(l.waiting, s)
	if !l.dispatching {
		l.dispatching = true
		l.lastTurn = l.Now()
		go l.dispatch()
	}
	return true
}

// dequeue takes a request out of the queue, and reports false if it was decided already.
func (l *Admitter) dequeue(s *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, s)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// dispatch lets those that wait in, the longest waiting first, until nobody waits.
func (l *Admitter) dispatch() {
	ticker := time.NewTicker(recheck)
	defer ticker.Stop()
	for round := 0; ; round++ {
		<-ticker.C
		for range heads {
			if !l.dispatchOne() {
				break
			}
		}
		if round%refuseEvery == 0 {
			l.refuseLate()
		}
		if l.idle() {
			return
		}
	}
}

// idle reports whether nobody waits, after which the next that is queued starts the dispatch anew.
func (l *Admitter) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatching = len(l.waiting) > 0
	return !l.dispatching
}

// dispatchOne settles the request that waits longest, and reports false if it has to wait on.
func (l *Admitter) dispatchOne() bool {
	l.mu.Lock()
	if len(l.waiting) == 0 {
		l.mu.Unlock()
		return false
	}
	s := l.first()
	l.mu.Unlock()
	switch v := l.decide(s.ask).(type) {
	case admit.Rejected:
		l.settle(s, decision{problem: tooLate(v)})
	case admit.Deferred:
		if !l.takesTurn() {
			return false
		}
		l.admit(s)
	default:
		l.admit(s)
	}
	return true
}

// first returns the one that waits longest, of an account within its share if there is one.
func (l *Admitter) first() *waiter {
	for _, s := range l.waiting {
		if !s.ask.over {
			return s
		}
	}
	return l.waiting[0]
}

func tooLate(v admit.Rejected) *wire.Problem {
	return refuseFor(wire.KindOverload, "urgent work left no room in time", v.RetryAfter)
}

func (l *Admitter) admit(s *waiter) {
	if p := l.permit(s.ask); !l.settle(s, decision{permit: p}) {
		p.End()
	}
}

// settle ends the wait of a request, unless it has gone away.
func (l *Admitter) settle(s *waiter, t decision) bool {
	if !l.dequeue(s) {
		return false
	}
	s.decision <- t
	return true
}

// refuseLate refuses those that can no longer be done in time, so that none is held to its deadline in vain.
func (l *Admitter) refuseLate() {
	l.mu.Lock()
	all := slices.Clone(l.waiting)
	l.mu.Unlock()
	for _, s := range all {
		if v, ok := l.decide(s.ask).(admit.Rejected); ok {
			l.settle(s, decision{problem: tooLate(v)})
		}
	}
}

// takesTurn lets the one that waits longest in now and then, however busy the pools are.
func (l *Admitter) takesTurn() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if now.Sub(l.lastTurn) < starvationLimit {
		return false
	}
	l.lastTurn = now
	return true
}

// queueDrain estimates how long a full queue takes to empty at the pace of the slowest pool.
func (l *Admitter) queueDrain(a Ask) time.Duration {
	var slowest time.Duration
	for _, n := range l.needs(a) {
		slowest = max(slowest, n.ServiceTime/time.Duration(max(1, n.Slots)))
	}
	drain := slowest * time.Duration(l.queueLimit*max(1, l.hosts()))
	return min(max(drain, time.Second), time.Minute)
}

// Waiting returns how many patient requests wait.
func (l *Admitter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}
