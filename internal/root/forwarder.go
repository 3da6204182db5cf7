package root

import (
	"context"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/peers"
	"github.com/cornelwing/cornelwing/internal/root/view"
)

const (
	// forwardThreshold is the number of live hosts above which one host of each failure domain commits the claims of the domain.
	// With fewer hosts, each host's own share of the write budget is sufficient.
	forwardThreshold = 30
	// writerRetryDelay is how long a claim writer is skipped after a failed call.
	writerRetryDelay = 2 * time.Second
)

// claimForwarder forwards claim writes to the claim writer of the failure domain. Hosts that see the same live hosts select the same one.
// Hosts that see different live hosts may select different writers. This costs additional transactions and has no other effect.
type claimForwarder struct {
	common.Deps
	registry *view.Registry
	mesh     *peers.Mesh

	mu           sync.Mutex
	skippedUntil map[string]time.Time
}

func newClaimForwarder(deps common.Deps, registry *view.Registry) *claimForwarder {
	return &claimForwarder{
		Deps:         deps.WithPart("claim"),
		registry:     registry,
		skippedUntil: map[string]time.Time{},
	}
}

// Forward sends the writes to the claim writer of the failure domain and returns its results.
// It returns false if nothing was sent and this host is to commit the writes itself, and true without results if the call failed after sending.
func (f *claimForwarder) Forward(ctx context.Context, writes []claim.Write) ([]claim.Result, bool) {
	now := f.Now()
	if f.mesh == nil || f.registry.LiveCount(now) <= forwardThreshold {
		return nil, false
	}
	target := f.selectWriter(now)
	if target.Name == f.Host {
		return nil, false
	}
	results, sent, err := f.mesh.Write(ctx, target.Addr, writes)
	if err == nil {
		return results, true
	}
	f.Log.WithError(err).Warnf("Claims could not be forwarded to claim writer %s.", target.Name)
	f.skip(target.Name, now)
	// After a failed call, writes that were sent may or may not have taken effect. The caller reads each claim to determine the outcome.
	return nil, sent
}

// Writers returns the number of hosts that commit claims and so share the write budget:
// one for each failure domain above forwardThreshold, and otherwise all.
func (f *claimForwarder) Writers() int {
	now := f.Now()
	count := f.registry.LiveCount(now)
	if f.mesh == nil || count <= forwardThreshold {
		return count
	}
	domains := map[string]bool{}
	for _, p := range f.registry.Live(now) {
		domains[p.Domain] = true
	}
	return len(domains)
}

// selectWriter returns the live host of the failure domain with the highest hash, which may be this host.
// It skips other hosts that are leaving or recently failed.
func (f *claimForwarder) selectWriter(now time.Time) view.Peer {
	best := f.registry.Self()
	for _, p := range f.registry.Live(now) {
		if p.Domain != f.Domain || p.Leaving || f.isSkipped(p.Name, now) {
			continue
		}
		if common.MixBits(view.HashName(p.Name)) > common.MixBits(view.HashName(best.Name)) {
			best = p
		}
	}
	return best
}

func (f *claimForwarder) skip(name string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skippedUntil[name] = now.Add(writerRetryDelay)
}

func (f *claimForwarder) isSkipped(name string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.skippedUntil[name])
}
