package plan

import (
	"slices"
	"sync"
	"time"
)

// moveRetention is how long it is remembered to which pools requests of a route were sent.
const moveRetention = 10 * time.Minute

// routeKey identifies a route over versions of the configuration.
type routeKey struct {
	host, prefix string
}

// Moves remembers to which pools earlier versions of the configuration sent the streams of a route. It is safe for concurrent use.
type Moves struct {
	mu      sync.Mutex
	current *Plan
	// leftAt holds when requests were last sent to a pool that the route does not name any more.
	leftAt map[routeKey]map[string]time.Time
	// followed is what is known of earlier plans that this host has not had.
	followed followed
}

// Update records the active plan, and returns the routes with resumable streams that have other pools than before.
func (m *Moves) Update(now time.Time, p *Plan) []Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == p {
		return nil
	}
	var moves []Move
	if m.current != nil {
		moves = movesBetween(m.current, p)
	}
	m.current = p
	m.followed.update(now, p)
	m.prune(now)
	for _, move := range moves {
		m.add(now, move)
	}
	return moves
}

// add records the pools that a route left. The caller holds the lock.
func (m *Moves) add(now time.Time, move Move) {
	if m.leftAt == nil {
		m.leftAt = map[routeKey]map[string]time.Time{}
	}
	key := move.Route.key()
	if m.leftAt[key] == nil {
		m.leftAt[key] = map[string]time.Time{}
	}
	for _, pool := range move.Before {
		m.leftAt[key][pool] = now
	}
}

// prune forgets what is too old. The caller holds the lock.
func (m *Moves) prune(now time.Time) {
	for key, pools := range m.leftAt {
		for pool, at := range pools {
			if now.Sub(at) > moveRetention {
				delete(pools, pool)
			}
		}
		if len(pools) == 0 {
			delete(m.leftAt, key)
		}
	}
}

// PoolsSince returns the pools, other than its targets, to which requests of the route were sent at the time or later.
func (m *Moves) PoolsSince(r Route, since time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for pool, at := range m.leftAt[r.key()] {
		if !at.Before(since) && !r.HasTarget(pool) {
			out = append(out, pool)
		}
	}
	return out
}

// Move is a route whose requests were sent to other pools before.
type Move struct {
	Route Route
	// Before are the pools to which its requests were sent.
	Before []string
}

// movesBetween returns the routes of the newer plan whose requests the older one sent to other pools. A route may have taken over paths of one with a shorter prefix, or of one that is gone.
func movesBetween(older, newer *Plan) []Move {
	var out []Move
	for _, list := range newer.routes {
		for _, r := range list {
			// Looking up each of many routes takes long, and others don't move.
			if !r.resumesStreams() {
				continue
			}
			if before, ok := older.Match(r.Host, r.Prefix); ok {
				out = appendMove(out, r, before)
			}
		}
	}
	for _, list := range older.routes {
		for _, before := range list {
			if !before.resumesStreams() {
				continue
			}
			if r, ok := newer.Match(before.Host, before.Prefix); ok && r.key() != before.key() {
				out = appendMove(out, r, before)
			}
		}
	}
	return out
}

// appendMove appends the move of a route from the targets of an earlier one, if there is one and both have resumable streams.
func appendMove(list []Move, r, before Route) []Move {
	if !r.resumesStreams() || !before.resumesStreams() {
		return list
	}
	if r.hasSamePools(before) {
		return list
	}
	return append(list, Move{
		Route:  r,
		Before: before.PoolNames(),
	})
}

// hasSamePools reports whether both routes have the same pools.
func (r Route) hasSamePools(other Route) bool {
	isMissing := func(in Route) func(Target) bool {
		return func(t Target) bool { return !in.HasTarget(t.Pool) }
	}
	return !slices.ContainsFunc(r.Targets, isMissing(other)) && !slices.ContainsFunc(other.Targets, isMissing(r))
}

func (r Route) key() routeKey {
	return routeKey{
		host:   r.Host,
		prefix: r.Prefix,
	}
}

// resumesStreams reports whether callers may resume the route's responses.
func (r Route) resumesStreams() bool {
	return r.Kind == Stream && r.Resumable
}

// PoolNames returns the pools of the targets.
func (r Route) PoolNames() []string {
	var out []string
	for _, t := range r.Targets {
		out = append(out, t.Pool)
	}
	return out
}
