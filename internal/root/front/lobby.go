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
	// recheck is how often the usher looks at those that wait.
	recheck = 10 * time.Millisecond
	// heads is how many of those that wait may be let in at a time.
	heads = 8
	// sweepEvery is how many rounds pass between two looks at all of those that wait.
	sweepEvery = 20
	// trickle is how often patient work is let in however busy the pools are, so that it is never starved.
	trickle = 2 * time.Second
)

// Lobby admits requests, and lets patient ones wait.
type Lobby struct {
	common.Deps
	table *route.Table
	flow  *admit.Flow
	quota *admit.Quota
	usage *admit.Usage
	// hosts is the number of live hosts, and members that of the hosts that share the limits.
	hosts   func() int
	members func() int
	room    int

	mu       sync.Mutex
	waiting  []*seat
	ushered  bool
	trickled time.Time
	draining bool
}

// NewLobby returns a lobby in which at most room patient requests wait; hosts gives the number of live hosts, members that of the hosts that share the limits.
func NewLobby(deps common.Deps, table *route.Table, hosts, members func() int, room int) *Lobby {
	return &Lobby{
		Deps:    deps.WithPart("lobby"),
		table:   table,
		flow:    admit.NewFlow(),
		quota:   admit.NewQuota(),
		usage:   admit.NewUsage(),
		hosts:   hosts,
		members: members,
		room:    room,
	}
}

// Pass is an admitted request's place in the count of what is on its way.
type Pass struct {
	trip *admit.Trip
}

// Reach says that the request has come to its next stage.
func (p *Pass) Reach() {
	p.trip.Reach()
}

// End says that the request is over.
func (p *Pass) End() {
	p.trip.End()
}

// Drain refuses whatever comes from now on; those that wait already may stay.
func (l *Lobby) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// Enter admits the request, or returns the refusal at once; only patient requests wait.
func (l *Lobby) Enter(ctx context.Context, a Ask) (*Pass, *wire.Problem) {
	rate := a.Account.RatePerSecond / float64(max(1, l.members()))
	if after := l.quota.Take(l.Now(), a.Account.Name, rate); after > 0 {
		return nil, refuseFor(wire.KindLimit, "the account is over its rate", after)
	}
	if p := l.refuseDraining(); p != nil {
		return nil, p
	}
	a.over = l.usage.Add(l.Now(), a.Account.Name, a.Account.Weight)
	switch v := l.decide(a).(type) {
	case admit.Refuse:
		return nil, refuseFor(wire.KindOverload, "the request would not be done in time", v.After)
	case admit.Wait:
		return l.wait(ctx, a)
	default:
		return l.pass(a), nil
	}
}

func refuseFor(kind wire.Kind, detail string, after time.Duration) *wire.Problem {
	p := wire.NewProblem(kind, wire.NotRun, detail).WithRetry(after, "")
	return &p
}

func (l *Lobby) refuseDraining() *wire.Problem {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		return nil
	}
	return refuseFor(wire.KindDraining, "the host is stopping", time.Second)
}

func (l *Lobby) pass(a Ask) *Pass {
	pools := make([]string, 0, len(a.Pipeline.Stages))
	for _, s := range a.Pipeline.Stages {
		pools = append(pools, s.Pool)
	}
	return &Pass{
		trip: l.flow.Enter(pools),
	}
}

func (l *Lobby) decide(a Ask) admit.Verdict {
	return admit.Decide(admit.Ask{
		Left:    a.Deadline.Sub(l.Now()),
		Patient: a.Patient(),
		Over:    a.over,
		Needs:   l.needs(a),
	})
}

// needs joins what the pools report with what this host has on its way to them; others are taken to be alike.
func (l *Lobby) needs(a Ask) []admit.Need {
	now := l.Now()
	hosts := max(1, l.hosts())
	needs := make([]admit.Need, 0, len(a.Pipeline.Stages))
	for _, s := range a.Pipeline.Stages {
		pressure := l.table.Pressure(now, s.Pool)
		needs = append(needs, admit.Need{
			Service: max(pressure.Service, s.Expected.D()),
			Slots:   pressure.Slots,
			Load:    pressure.Load,
			Pending: l.flow.Pending(s.Pool) * hosts,
		})
	}
	return needs
}

// seat is one patient request that waits; it is told its end once.
type seat struct {
	ask  Ask
	told chan told
}

type told struct {
	pass    *Pass
	problem *wire.Problem
}

// wait sits the request down until the usher tells it its end.
func (l *Lobby) wait(ctx context.Context, a Ask) (*Pass, *wire.Problem) {
	s := &seat{
		ask:  a,
		told: make(chan told, 1),
	}
	if !l.sit(s) {
		return nil, refuseFor(wire.KindOverload, "too many patient requests wait", l.roomDrain(a))
	}
	select {
	case t := <-s.told:
		return t.pass, t.problem
	case <-ctx.Done():
	}
	if !l.rise(s) {
		// The usher was first, so a pass may have been given.
		if t := <-s.told; t.pass != nil {
			t.pass.End()
		}
	}
	return nil, refuseFor(wire.KindCut, "the caller went away", time.Second)
}

// sit takes a seat if there is one, half of which are kept from accounts that are over their share, and calls the usher if there is none.
func (l *Lobby) sit(s *seat) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= l.room || (s.ask.over && len(l.waiting) >= l.room/2) {
		return false
	}
	l.waiting = append(l.waiting, s)
	if !l.ushered {
		l.ushered = true
		l.trickled = l.Now()
		go l.usher()
	}
	return true
}

// rise gives up a seat, and reports false if it was taken from the request already.
func (l *Lobby) rise(s *seat) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, s)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// usher lets those that wait in, the longest waiting first, until nobody waits.
func (l *Lobby) usher() {
	ticker := time.NewTicker(recheck)
	defer ticker.Stop()
	for round := 0; ; round++ {
		<-ticker.C
		for range heads {
			if !l.letIn() {
				break
			}
		}
		if round%sweepEvery == 0 {
			l.sweep()
		}
		if l.dismissed() {
			return
		}
	}
}

// dismissed reports whether nobody waits, after which whoever sits down calls another usher.
func (l *Lobby) dismissed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ushered = len(l.waiting) > 0
	return !l.ushered
}

// letIn settles the request that waits longest, and reports false if it has to wait on.
func (l *Lobby) letIn() bool {
	l.mu.Lock()
	if len(l.waiting) == 0 {
		l.mu.Unlock()
		return false
	}
	s := l.first()
	l.mu.Unlock()
	switch v := l.decide(s.ask).(type) {
	case admit.Refuse:
		l.tell(s, told{problem: hopeless(v)})
	case admit.Wait:
		if !l.trickles() {
			return false
		}
		l.admit(s)
	default:
		l.admit(s)
	}
	return true
}

// first returns the one that waits longest, of an account within its share if there is one.
func (l *Lobby) first() *seat {
	for _, s := range l.waiting {
		if !s.ask.over {
			return s
		}
	}
	return l.waiting[0]
}

func hopeless(v admit.Refuse) *wire.Problem {
	return refuseFor(wire.KindOverload, "urgent work left no room in time", v.After)
}

func (l *Lobby) admit(s *seat) {
	if p := l.pass(s.ask); !l.tell(s, told{pass: p}) {
		p.End()
	}
}

// tell ends the wait of a request, unless it has gone away.
func (l *Lobby) tell(s *seat, t told) bool {
	if !l.rise(s) {
		return false
	}
	s.told <- t
	return true
}

// sweep refuses those that can no longer be done in time, so that none is held to its deadline in vain.
func (l *Lobby) sweep() {
	l.mu.Lock()
	all := slices.Clone(l.waiting)
	l.mu.Unlock()
	for _, s := range all {
		if v, ok := l.decide(s.ask).(admit.Refuse); ok {
			l.tell(s, told{problem: hopeless(v)})
		}
	}
}

// trickles lets the one that waits longest in now and then, however busy the pools are.
func (l *Lobby) trickles() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if now.Sub(l.trickled) < trickle {
		return false
	}
	l.trickled = now
	return true
}

// roomDrain estimates how long the waiting room takes to empty at the pace of the slowest pool.
func (l *Lobby) roomDrain(a Ask) time.Duration {
	var slowest time.Duration
	for _, n := range l.needs(a) {
		slowest = max(slowest, n.Service/time.Duration(max(1, n.Slots)))
	}
	drain := slowest * time.Duration(l.room*max(1, l.hosts()))
	return min(max(drain, time.Second), time.Minute)
}

// Waiting returns how many patient requests wait.
func (l *Lobby) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}
