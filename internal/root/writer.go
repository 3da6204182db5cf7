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
	// forwardAbove is the number of hosts above which each failure domain has one claim writer.
	// Up to it a host's own share of the write budget is wide enough.
	forwardAbove = 30
	// writerPause is how long a writer that could not be reached is passed over.
	writerPause = 2 * time.Second
)

// writer hands claims to one host of the failure domain, chosen alike by all that see the same hosts.
// Two that see different ones hand them to different writers, which costs transactions and nothing else.
type writer struct {
	common.Deps
	registry *view.Registry
	mesh     *peers.Mesh

	mu     sync.Mutex
	passed map[string]time.Time
}

func newWriter(deps common.Deps, registry *view.Registry) *writer {
	return &writer{
		Deps:     deps.WithPart("claim"),
		registry: registry,
		passed:   map[string]time.Time{},
	}
}

// Forward hands the writes to the domain's writer.
func (w *writer) Forward(ctx context.Context, writes []claim.Write) ([]claim.Result, bool) {
	now := w.Now()
	if w.mesh == nil || w.registry.LiveCount(now) <= forwardAbove {
		return nil, false
	}
	to := w.choose(now)
	if to.Name == w.Host {
		return nil, false
	}
	results, sent, err := w.mesh.Write(ctx, to.Addr, writes)
	if err == nil {
		return results, true
	}
	w.Log.WithError(err).Warnf("Claim writer %s cannot be reached.", to.Name)
	w.pass(to.Name, now)
	// What was sent may have taken effect, so each write is settled by reading.
	return nil, sent
}

// Writers returns how many hosts share the write budget.
func (w *writer) Writers() int {
	now := w.Now()
	count := w.registry.LiveCount(now)
	if w.mesh == nil || count <= forwardAbove {
		return count
	}
	domains := map[string]bool{}
	for _, p := range w.registry.Live(now) {
		domains[p.Domain] = true
	}
	return len(domains)
}

// choose returns the live host of the domain with the highest hash, leaving out those that are leaving or could not be reached.
func (w *writer) choose(now time.Time) view.Peer {
	best := w.registry.Self()
	for _, p := range w.registry.Live(now) {
		if p.Domain != w.Domain || p.Leaving || w.isPassed(p.Name, now) {
			continue
		}
		if common.Mix(view.HashName(p.Name)) > common.Mix(view.HashName(best.Name)) {
			best = p
		}
	}
	return best
}

func (w *writer) pass(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passed[name] = now.Add(writerPause)
}

func (w *writer) isPassed(name string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Before(w.passed[name])
}
