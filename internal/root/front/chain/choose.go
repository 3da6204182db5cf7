package chain

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// choose picks an upstream; one that may be gone has to answer a probe first.
func (u *run) choose(ctx context.Context, t *try, suspect bool) (route.Upstream, bool) {
	for {
		pick := u.pickAny
		if suspect {
			pick = func(t *try) (route.Upstream, bool) { return u.pickTrial(ctx, t) }
		}
		up, ok := pick(t)
		if !ok {
			return route.Upstream{}, false
		}
		// A suspect on an upstream that is gone already would be blamed for it.
		if !up.Probe && !suspect {
			return up, true
		}
		if _, alive := u.probe(ctx, up); alive {
			return up, true
		}
		u.suspects.Free(u.print, up.Name)
		u.Table.Release(u.Now(), up.Name)
		u.Table.Eject(u.Now(), up.Name)
	}
}

// pickAny takes those that were tried again only when no other is left.
func (u *run) pickAny(t *try) (route.Upstream, bool) {
	up, ok := u.pick(t, nil)
	if !ok && len(t.exclude) > 0 {
		t.exclude = nil
		up, ok = u.pick(t, nil)
	}
	return up, ok
}

// pickTrial picks an upstream on which no other suspect is tried, by this host or another.
// It waits for one whose trial ends, but for none to come back.
func (u *run) pickTrial(ctx context.Context, t *try) (route.Upstream, bool) {
	for {
		up, ok := u.pick(t, u.suspects.Mine)
		if !ok {
			up, ok = u.pickAny(t)
		}
		if !ok {
			return route.Upstream{}, false
		}
		if u.suspects.Hold(u.print, up.Name) {
			return up, true
		}
		u.Table.Release(u.Now(), up.Name)
		if !common.Sleep(ctx, trialPause) {
			return route.Upstream{}, false
		}
	}
}

// probe reports whether an upstream answers over a new connection, and its load.
func (u *run) probe(ctx context.Context, up route.Upstream) (stage.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := u.caller.Probe(ctx, up.Addr)
	return load, err == nil
}

func (u *run) pick(t *try, allow func(string) bool) (route.Upstream, bool) {
	q := route.Query{
		Pool:    t.pool.Name,
		Exclude: t.exclude,
		Allow:   allow,
	}
	if t.pool.Kind == config.KindEngine {
		q.Affinity = xxhash.Sum64String(u.text[:min(prefixBytes, len(u.text))])
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Table.Pick(u.Now(), u.rng, q)
}
