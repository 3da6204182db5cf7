package crash

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// probeTimeout bounds the check whether an upstream whose connection broke still lives.
const probeTimeout = 200 * time.Millisecond

// Guard applies the tracker's decisions at the edge: it probes upstreams and tells the other hosts.
type Guard struct {
	common.Deps
	tracker *Tracker
	alive   func(ctx context.Context, addr string) bool
	mine    func(upstream string) bool
	push    func(ctx context.Context, m Mark)
	probes  singleflight.Group
}

// NewGuard returns a guard; alive probes an upstream over a fresh connection, mine says which upstreams this host alone tries suspects on, and push tells the other hosts of a new mark.
func NewGuard(deps common.Deps, tracker *Tracker, alive func(ctx context.Context, addr string) bool, mine func(upstream string) bool, push func(ctx context.Context, m Mark)) *Guard {
	return &Guard{
		Deps:    deps.WithPart("crash"),
		tracker: tracker,
		alive:   alive,
		mine:    mine,
		push:    push,
	}
}

// Crashes returns how many crashes the request was in, and whether that is too many to run it again.
func (g *Guard) Crashes(p Fingerprint) (int, bool) {
	n := g.tracker.Count(p, g.Now())
	return n, n >= g.tracker.limit
}

// Mine reports whether this host alone may try suspects on the upstream.
func (g *Guard) Mine(upstream string) bool {
	return g.mine(upstream)
}

// Hold puts a suspect on trial on the upstream, unless another one is there.
func (g *Guard) Hold(p Fingerprint, upstream string) bool {
	return g.tracker.Hold(p, upstream)
}

// Free ends the trial.
func (g *Guard) Free(p Fingerprint, upstream string) {
	g.tracker.Free(p, upstream)
}

// answers probes an upstream, once for all the requests that broke there together.
func (g *Guard) answers(ctx context.Context, up route.Upstream) bool {
	// The probe goes on for the others where one caller has left.
	ctx = context.WithoutCancel(ctx)
	alive, _, _ := g.probes.Do(up.Name, func() (any, error) {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		return g.alive(probe, up.Addr), nil
	})
	return alive == true
}

// Broke marks the request and reports true if the upstream is really gone, and returns once the other hosts know.
func (g *Guard) Broke(ctx context.Context, p Fingerprint, up route.Upstream) bool {
	if g.answers(ctx, up) {
		return false
	}
	now := g.Now()
	m := Mark{
		Fingerprint: p,
		Upstream:    up.Name,
		At:          now.UnixMilli(),
	}
	if g.tracker.Add(m, now) {
		g.Log.Warnf("Upstream %s was lost while it ran request %x.", up.Name, uint64(p))
		g.push(ctx, m)
	}
	return true
}
