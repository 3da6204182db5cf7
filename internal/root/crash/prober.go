package crash

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// probeTimeout bounds the probe of an upstream after its connection was lost.
const probeTimeout = 200 * time.Millisecond

// Prober finds out whether an upstream has crashed. Requests that lost their connections to it at the same time share one probe.
type Prober struct {
	reachable func(ctx context.Context, addr string) bool
	probes    singleflight.Group
}

// NewProber returns a prober. The function reachable probes an upstream over a new connection.
func NewProber(reachable func(ctx context.Context, addr string) bool) *Prober {
	return &Prober{
		reachable: reachable,
	}
}

// Reachable probes the upstream.
func (p *Prober) Reachable(ctx context.Context, up route.Upstream) bool {
	// The probe continues for the other requests if the first one is cancelled.
	ctx = context.WithoutCancel(ctx)
	reachable, _, _ := p.probes.Do(up.Name, func() (any, error) {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		return p.reachable(probe, up.Addr), nil
	})
	return reachable == true
}
