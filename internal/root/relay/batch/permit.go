package batch

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// latePause is how long a worker gets no calls after the permit for one has expired before it was sent.
const latePause = 100 * time.Millisecond

// Permits keeps to the rate of calls that cold workers take, over all hosts.
type Permits interface {
	// Permit returns the context for one call to the worker, or for how long there is no permit for another one.
	Permit(ctx context.Context, up route.Upstream) (permitted context.Context, retry time.Duration)
	// RecordUnreachable records that no connection to the worker could be opened.
	RecordUnreachable(up route.Upstream)
	// RecordResponse records that the worker has answered a call.
	RecordResponse(up route.Upstream)
}

// UsePermits sets where calls to cold workers get their permits. It must be called before the dispatcher is used.
func (d *Dispatcher) UsePermits(p Permits) {
	d.permits = p
}

// call sends a call to its worker. Without a permit for it, the response asks for a pause.
func (d *Dispatcher) call(ctx context.Context, c *Call) (Response, error) {
	ctx, retry := d.permits.Permit(ctx, c.Upstream)
	if retry > 0 {
		return Response{PauseFor: retry}, errors.New("no permit for a call to a cold worker")
	}
	resp, err := d.client.Run(ctx, c.Upstream, c.Items)
	switch {
	case err == nil:
		d.permits.RecordResponse(c.Upstream)
	case errors.Is(err, send.ErrPermitExpired):
		return Response{PauseFor: latePause}, err
	case isDialError(err):
		d.permits.RecordUnreachable(c.Upstream)
	}
	return resp, err
}

// isDialError reports whether a call failed because no connection could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// permitFree returns the context for a call that frees results at the worker with the address, or for how long there is no permit for it.
func (d *Dispatcher) permitFree(ctx context.Context, addr string) (permitted context.Context, retry time.Duration) {
	up, ok := d.workerAt(addr)
	if !ok {
		return ctx, 0
	}
	return d.permits.Permit(ctx, up)
}

// workerAt returns the worker with the address.
func (d *Dispatcher) workerAt(addr string) (route.Upstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		for _, w := range q.workers {
			if w.upstream.Addr == addr {
				return w.upstream, true
			}
		}
	}
	return route.Upstream{}, false
}

// unlimitedPermits permits all calls.
type unlimitedPermits struct{}

func (unlimitedPermits) Permit(ctx context.Context, _ route.Upstream) (context.Context, time.Duration) {
	return ctx, 0
}

func (unlimitedPermits) RecordUnreachable(route.Upstream) {}

func (unlimitedPermits) RecordResponse(route.Upstream) {}
