package chain

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// chooseUpstream picks an upstream for the next attempt. An upstream that was ejected, or is chosen for a suspect request, must answer a probe first.
func (r *run) chooseUpstream(ctx context.Context, s *stageState, suspect bool) (route.Upstream, bool) {
	for {
		pick := r.pickAny
		if suspect {
			pick = func(s *stageState) (route.Upstream, bool) { return r.pickForTrial(ctx, s) }
		}
		up, ok := pick(s)
		if !ok {
			return route.Upstream{}, false
		}
		// Without a probe, a suspect request sent to an upstream that is already unreachable would be recorded as the cause of its crash.
		if !up.Probe && !suspect {
			return up, true
		}
		if _, alive := r.probe(ctx, up); alive {
			return up, true
		}
		r.crashGuard.EndTrial(r.fingerprint, up.Name)
		r.Table.Release(r.Now(), up.Name)
		r.Table.Eject(r.Now(), up.Name)
	}
}

// pickAny picks an upstream that was not tried yet. If there is none, all upstreams may be tried again.
func (r *run) pickAny(s *stageState) (route.Upstream, bool) {
	up, ok := r.pick(s, nil)
	if !ok && len(s.exclude) > 0 {
		s.exclude = nil
		up, ok = r.pick(s, nil)
	}
	return up, ok
}

// pickForTrial picks an upstream on which this host runs no trial of another suspect request. It prefers upstreams whose trials are assigned to this host, since another host may be running a trial on any other upstream.
// If the trial of another request is running on the chosen upstream, it pauses and chooses again. It returns false without a pause if no upstream is usable.
func (r *run) pickForTrial(ctx context.Context, s *stageState) (route.Upstream, bool) {
	for {
		up, ok := r.pick(s, r.crashGuard.OwnsTrials)
		if !ok {
			up, ok = r.pickAny(s)
		}
		if !ok {
			return route.Upstream{}, false
		}
		if r.crashGuard.StartTrial(r.fingerprint, up.Name) {
			return up, true
		}
		r.Table.Release(r.Now(), up.Name)
		if !common.Sleep(ctx, trialRetryInterval) {
			return route.Upstream{}, false
		}
	}
}

// probe returns the load of an upstream, and whether the upstream answered over a new connection.
func (r *run) probe(ctx context.Context, up route.Upstream) (stage.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := r.sender.Probe(ctx, up.Addr)
	return load, err == nil
}

func (r *run) pick(s *stageState, allowed func(string) bool) (route.Upstream, bool) {
	q := route.Query{
		Pool:    s.pool.Name,
		Exclude: s.exclude,
		Allow:   allowed,
	}
	if s.pool.Kind == config.KindEngine {
		q.Affinity = xxhash.Sum64String(r.text[:min(prefixBytes, len(r.text))])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Table.Pick(r.Now(), r.rng, q)
}
