package crash

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// probeTimeout bounds one probe of an upstream after its connection was lost.
	probeTimeout = 200 * time.Millisecond
	// settleTime is the time between two probes of an upstream. The kernel closes the listener of a process that dies after its connections, so a probe can be accepted that follows the loss of a connection at once.
	settleTime = 50 * time.Millisecond
)

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

// StaysReachable probes the upstream, and once more after settleTime if it is reachable. If only the later probe fails, another one decides, as a single one can be lost.
func (p *Prober) StaysReachable(ctx context.Context, up route.Upstream) bool {
	// The probes continue for the other requests if the first one is cancelled.
	ctx = context.WithoutCancel(ctx)
	reachable, _, _ := p.probes.Do(up.Name, func() (any, error) {
		if !p.probe(ctx, up) {
			return false, nil
		}
		common.Sleep(ctx, settleTime)
		// A connection that is lost from now on needs probes of its own.
		p.probes.Forget(up.Name)
		if p.probe(ctx, up) {
			return true, nil
		}
		return p.probe(ctx, up), nil
	})
	return reachable == true
}

func (p *Prober) probe(ctx context.Context, up route.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.reachable(ctx, up.Addr)
}
