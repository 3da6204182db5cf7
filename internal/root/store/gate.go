package store

import (
	"sync"
	"time"
)

const (
	// openAfter is the number of failures in a row after which the store counts as out.
	openAfter = 3
	minProbe  = 200 * time.Millisecond
	maxProbe  = 2 * time.Second
)

// Gate is a circuit breaker: it closes the way to a store that is out, but for a probe now and then.
type Gate struct {
	mu      sync.Mutex
	fails   int
	pause   time.Duration
	probeAt time.Time
}

// Allow reports whether a call may go out at now.
func (g *Gate) Allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fails < openAfter {
		return true
	}
	if now.Before(g.probeAt) {
		return false
	}
	g.probeAt = now.Add(g.pause)
	return true
}

// Done records the end of a call that was allowed.
func (g *Gate) Done(now time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.fails = 0
		g.pause = minProbe
		return
	}
	g.fails++
	if g.fails < openAfter {
		return
	}
	g.pause = min(max(g.pause*2, minProbe), maxProbe)
	g.probeAt = now.Add(g.pause)
}

// Out reports whether the store counts as out, and for how long calls stay shut.
func (g *Gate) Out(now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fails < openAfter {
		return 0, false
	}
	return max(g.probeAt.Sub(now), 0), true
}
