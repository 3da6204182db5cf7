package links

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// failuresToSuspect is at how many upstreams of a pool in a row connections must fail, with no success in between, until the host may be cut from the pool. One of them alone may be down or silent.
	failuresToSuspect = 2
	// directRetry is how long a failed connection to an upstream stands for the next ones while the host may be cut.
	directRetry = 500 * time.Millisecond
	// relayRetry is how long no connection to a pool is tried through other hosts after none of them could open one.
	relayRetry = 200 * time.Millisecond
)

// poolEvidence is what the connections of this host show of one pool.
type poolEvidence struct {
	size int
	// failed holds when the connection to each upstream failed, since the last one to the pool that did not.
	failed map[string]time.Time
	// relayFailedAt is when no other host could connect to the pool, or zero.
	relayFailedAt time.Time
}

// cut reports whether the host may reach none of the pool's upstreams.
func (p *poolEvidence) cut() bool {
	return len(p.failed) > 0 && len(p.failed) >= min(failuresToSuspect, p.size)
}

// evidence is what this host's own connections show of the paths to upstreams. It needs no lock of its own.
type evidence map[string]*poolEvidence

// sync replaces the upstreams.
func (e evidence) sync(ups []route.Upstream) {
	known := map[string]bool{}
	sizes := map[string]int{}
	for _, u := range ups {
		known[u.Name] = true
		if !u.Leaving {
			sizes[u.Pool]++
		}
	}
	for name, p := range e {
		if sizes[name] == 0 {
			delete(e, name)
			continue
		}
		for up := range p.failed {
			if !known[up] {
				delete(p.failed, up)
			}
		}
	}
	for name, n := range sizes {
		e.pool(name).size = n
	}
}

func (e evidence) pool(name string) *poolEvidence {
	p, ok := e[name]
	if !ok {
		p = &poolEvidence{
			size:   1,
			failed: map[string]time.Time{},
		}
		e[name] = p
	}
	return p
}

// record records whether a connection to the upstream could be opened, and returns whether the host may be cut from the pool, before and after.
func (e evidence) record(now time.Time, up route.Upstream, ok bool) (before, after bool) {
	p := e.pool(up.Pool)
	before = p.cut()
	if ok {
		clear(p.failed)
		return before, false
	}
	p.failed[up.Name] = now
	return before, p.cut()
}

// cut reports whether the host may reach no upstream of the pool.
func (e evidence) cut(pool string) bool {
	p, ok := e[pool]
	return ok && p.cut()
}

// justFailed reports whether the host may be cut from the upstream's pool and a connection to the upstream failed within directRetry.
func (e evidence) justFailed(now time.Time, up route.Upstream) bool {
	p, ok := e[up.Pool]
	if !ok || !p.cut() {
		return false
	}
	at, failed := p.failed[up.Name]
	return failed && now.Sub(at) < directRetry
}
