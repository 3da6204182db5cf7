package route

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/retry"
)

// pauseSpread is the time after the end of the first pause within which further upstreams count for the rate at which callers return.
const pauseSpread = time.Second

// Pause sends nothing further to an upstream that has asked for a pause, until it ends. The upstream then has a slow start. A pause is no failure, and never shortens an earlier one.
func (t *Table) Pause(now time.Time, i Incarnation, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[i.Name]
	if !ok || e.up.Incarnation() != i {
		return
	}
	if until := now.Add(min(d, retry.MaxPause)); until.After(e.pausedUntil) {
		e.pausedUntil = until
		e.readmittedAt = until
	}
}

// Paused returns the number of upstreams that are in a pause that they have asked for.
func (t *Table) Paused(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.byName {
		if e.isPaused(now) {
			n++
		}
	}
	return n
}

// ReturnAfter returns how long a caller is to wait if all upstreams of a pool in the regions that are not closed are paused, ejected or without a permit, at least one of them not just ejected. Callers are spread over the time after the first one can be used again, as fast as it and those that follow within pauseSpread serve them, the more urgent first; rank 0 is the most urgent. It returns false otherwise.
func (t *Table) ReturnAfter(now time.Time, name string, rank int, regions place.Regions) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[name]
	if !ok {
		return 0, false
	}
	var first time.Time
	paused := false
	for _, e := range p.entries {
		if !e.isOpenIn(regions) {
			continue
		}
		at := e.usableAt()
		if !now.Before(at) {
			return 0, false
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
		paused = paused || e.isPaused(now) || e.isHeld(now) || e.isWithheld(now)
	}
	if !paused {
		return 0, false
	}
	return p.returns.Next(now, first, t.returnSpacing(first, p, regions), rank), true
}

// returnSpacing returns the time between two callers of this host that the upstreams usable soon after the given time can serve.
func (t *Table) returnSpacing(first time.Time, p *pool, regions place.Regions) time.Duration {
	perSecond := 0.0
	for _, e := range p.entries {
		if !e.isOpenIn(regions) || e.usableAt().Sub(first) >= pauseSpread {
			continue
		}
		served := float64(max(1, p.slots)) / p.expected.Seconds()
		if rate := e.rate(first); rate > 0 {
			served = min(served, rate)
		}
		perSecond += served
	}
	return time.Duration(float64(t.hosts) / perSecond * float64(time.Second))
}
