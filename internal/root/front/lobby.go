package front

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/admit"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// recheck is how often a waiting request asks again.
	recheck = 10 * time.Millisecond
	// heads is how many of those that wait may ask, the longest waiting first.
	heads = 8
	// trickle is how often patient work is let in however busy the pools are, so that it is never starved.
	trickle = time.Second
)

// Lobby admits requests, and lets patient ones wait.
type Lobby struct {
	common.Deps
	table *route.Table
	flow  *admit.Flow
	quota *admit.Quota
	hosts func() int
	room  int

	mu       sync.Mutex
	waiting  []*Ask
	trickled time.Time
	draining bool
}

// NewLobby returns a lobby in which at most room patient requests wait; hosts gives the number of live hosts.
func NewLobby(deps common.Deps, table *route.Table, hosts func() int, room int) *Lobby {
	return &Lobby{
		Deps:  deps.WithPart("lobby"),
		table: table,
		flow:  admit.NewFlow(),
		quota: admit.NewQuota(),
		hosts: hosts,
		room:  room,
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
	rate := a.Account.RatePerSecond / float64(max(1, l.hosts()))
	if after := l.quota.Take(l.Now(), a.Account.Name, rate); after > 0 {
		return nil, refuseFor(wire.KindLimit, "the account is over its rate", after)
	}
	if p := l.refuseDraining(); p != nil {
		return nil, p
	}
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
		Needs:   l.needs(a.Pipeline),
	})
}

// needs joins what the pools report with what this host has on its way to them; others are taken to be alike.
func (l *Lobby) needs(p config.Pipeline) []admit.Need {
	now := l.Now()
	hosts := max(1, l.hosts())
	needs := make([]admit.Need, 0, len(p.Stages))
	for _, s := range p.Stages {
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

func (l *Lobby) wait(ctx context.Context, a Ask) (*Pass, *wire.Problem) {
	if !l.sit(&a) {
		return nil, refuseFor(wire.KindOverload, "too many patient requests wait", l.roomDrain(a))
	}
	defer l.rise(&a)
	ticker := time.NewTicker(recheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, refuseFor(wire.KindCut, "the caller went away", time.Second)
		case <-ticker.C:
		}
		switch v := l.decide(a).(type) {
		case admit.Refuse:
			return nil, refuseFor(wire.KindOverload, "urgent work left no room in time", v.After)
		case admit.Wait:
			if l.trickles(&a) {
				return l.pass(a), nil
			}
		case admit.Admit:
			if l.mayAsk(&a) {
				return l.pass(a), nil
			}
		}
	}
}

func (l *Lobby) sit(a *Ask) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= l.room {
		return false
	}
	if len(l.waiting) == 0 {
		l.trickled = l.Now()
	}
	l.waiting = append(l.waiting, a)
	return true
}

func (l *Lobby) rise(a *Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, a); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// mayAsk lets those that wait longest go first.
func (l *Lobby) mayAsk(a *Ask) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, a)
	return i >= 0 && i < heads
}

// trickles lets the one that waits longest in, now and then.
func (l *Lobby) trickles(a *Ask) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if len(l.waiting) == 0 || l.waiting[0] != a || now.Sub(l.trickled) < trickle {
		return false
	}
	l.trickled = now
	return true
}

// roomDrain estimates how long the waiting room takes to empty at the pace of the slowest pool.
func (l *Lobby) roomDrain(a Ask) time.Duration {
	var slowest time.Duration
	for _, n := range l.needs(a.Pipeline) {
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
