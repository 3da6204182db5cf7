package crash

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Guard connects a Tracker to the upstreams and the other hosts: it probes an upstream before it records a crash, and notifies the other hosts of new marks.
type Guard struct {
	common.Deps
	tracker    *Tracker
	prober     *Prober
	ownsTrials func(upstream string) bool
	notify     func(ctx context.Context, m Mark)
}

// NewGuard returns a guard. The function reachable probes an upstream over a new connection, ownsTrials reports whether the trials of suspect requests on an upstream are assigned to this host only, and notify sends a new mark to the other hosts.
func NewGuard(deps common.Deps, tracker *Tracker, reachable func(ctx context.Context, addr string) bool, ownsTrials func(upstream string) bool, notify func(ctx context.Context, m Mark)) *Guard {
	return &Guard{
		Deps:       deps.WithPart("crash"),
		tracker:    tracker,
		prober:     NewProber(reachable),
		ownsTrials: ownsTrials,
		notify:     notify,
	}
}

// Crashes returns the number of crashes of the request, and whether the request is blocked for that reason.
func (g *Guard) Crashes(fp Fingerprint) (int, bool) {
	n := g.tracker.CrashCount(fp, g.Now())
	return n, n >= crashLimit
}

// OwnsTrials reports whether the trials of suspect requests on the upstream are assigned to this host only.
func (g *Guard) OwnsTrials(upstream string) bool {
	return g.ownsTrials(upstream)
}

// StartTrial starts a trial of the suspect request on the upstream. It returns false if the trial of another request is running there.
func (g *Guard) StartTrial(fp Fingerprint, upstream string) bool {
	return g.tracker.StartTrial(fp, upstream)
}

// EndTrial ends the trial of the request on the upstream. It does nothing if the request has no trial there.
func (g *Guard) EndTrial(fp Fingerprint, upstream string) {
	g.tracker.EndTrial(fp, upstream)
}

// RecordConnLoss handles a connection that was lost while the upstream ran the request. It probes the upstream and reports whether it is unreachable.
// If the upstream is unreachable, RecordConnLoss marks the request. For a new crash it also notifies the other hosts before it returns.
func (g *Guard) RecordConnLoss(ctx context.Context, fp Fingerprint, up route.Upstream) bool {
	if g.prober.StaysReachable(ctx, up) {
		return false
	}
	now := g.Now()
	m := Mark{
		Fingerprint: fp,
		Upstream:    up.Name,
		At:          now.UnixMilli(),
	}
	if g.tracker.Add(m, now) {
		g.Log.Warnf("Upstream %s became unreachable while it ran the request with fingerprint %x.", up.Name, uint64(fp))
		g.notify(ctx, m)
	}
	return true
}
