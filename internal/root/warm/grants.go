package warm

import (
	"sync"
	"time"
)

const (
	// maxWindows is the maximum number of upstreams for which a host gives tokens at the same time.
	maxWindows = 4096
	// fullRetry is when a host asks again after it got no token because a granting host gives tokens for too many upstreams.
	fullRetry = time.Second
)

// Grants gives the tokens of one host. A request to a cold upstream needs tokens of Quorum hosts. It is safe for concurrent use.
type Grants struct {
	// readyAt is the time from which on tokens are given: an earlier process of this host may have given some just before its end.
	readyAt time.Time

	mu sync.Mutex
	// given holds the times of the tokens of the last tokenWindow, oldest first, by the name of the upstream: hosts may know different starts of it.
	given map[string][]time.Time
}

// NewGrants returns Grants for a process that has started at the given time.
func NewGrants(now time.Time) *Grants {
	return &Grants{
		readyAt: now.Add(tokenWindow),
		given:   map[string][]time.Time{},
	}
}

// Take gives a token for one request to the upstream, if fewer than tokens were given within tokenWindow. Otherwise it returns how long there will be none.
func (g *Grants) Take(now time.Time, upstream string, tokens int) (granted bool, retry time.Duration) {
	if wait := g.readyAt.Sub(now); wait > 0 {
		return false, wait
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	list, ok := g.given[upstream]
	if !ok && len(g.given) >= maxWindows {
		g.prune(now)
		if len(g.given) >= maxWindows {
			return false, fullRetry
		}
	}
	list = withoutOld(list, now)
	if tokens <= 0 || len(list) >= tokens {
		g.given[upstream] = list
		return false, g.wait(list, now, tokens)
	}
	g.given[upstream] = append(list, now)
	return true, 0
}

// wait returns how long it takes until one more token can be given.
func (g *Grants) wait(list []time.Time, now time.Time, tokens int) time.Duration {
	if tokens <= 0 {
		return tokenWindow
	}
	return list[len(list)-tokens].Add(tokenWindow).Sub(now)
}

// prune forgets the upstreams without tokens in the last tokenWindow. The caller holds the lock.
func (g *Grants) prune(now time.Time) {
	for name, list := range g.given {
		if len(withoutOld(list, now)) == 0 {
			delete(g.given, name)
		}
	}
}

// withoutOld returns the times that are less than tokenWindow ago.
func withoutOld(list []time.Time, now time.Time) []time.Time {
	for i, at := range list {
		if now.Sub(at) < tokenWindow {
			return list[i:]
		}
	}
	return nil
}
