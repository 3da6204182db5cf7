package flow

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// endTime is the time within which a process that ends closes all of its connections.
const endTime = 20 * time.Millisecond

// askAgainTime is the time after which a process that did not say when it started is asked again, once.
const askAgainTime = 20 * time.Millisecond

var (
	// errReplaced reports that the process at the address of an upstream is not, or may not be, the one that its row describes, so that its software version is not known.
	errReplaced = errors.New("process may not be the one of the upstream's row")
	// errUpstreamEnded reports that an upstream has ended before it could say when it started, with no event forwarded.
	errUpstreamEnded = errors.New("upstream ended as the stream began")
)

// mayBeContinued reports whether another upstream may continue the stream.
func (x *exchange) mayBeContinued() bool {
	return x.route.Kind == plan.Stream && x.route.Resumable
}

// continues reports whether the caller has a part of the stream, so that the next upstream must continue it.
func (x *exchange) continues() bool {
	return x.mayBeContinued() && x.position.lastID != ""
}

// confirmStart returns errReplaced unless the process at the address of the upstream is the one that the row describes, or one of the two states no start.
func (x *exchange) confirmStart(ctx context.Context, up route.Upstream) error {
	switch f := x.Starts.Check(ctx, up.Incarnation()).(type) {
	case starts.Same, starts.Unstated:
		return nil
	case starts.Other:
		x.Upstreams.MarkReplaced(up.Incarnation(), f.StartedAtMS)
		return fmt.Errorf("upstream %s started at %d: %w", up.Name, f.StartedAtMS, errReplaced)
	case starts.Unreachable:
		return fmt.Errorf("ask upstream %s for its start: %w: %w", up.Name, errReplaced, f.Err)
	default:
		panic(fmt.Sprintf("unknown finding %T", f))
	}
}

// checkSender asks the process behind the connection, or the one that accepts a new one if that is nil, whether it is that of the row by which a request was sent (see send.SenderCheck). A process that is replaced never comes back, so one with the start of the row has been at the address since before the request.
func (x *exchange) checkSender(ctx context.Context, i route.Incarnation, conn net.Conn) error {
	finding := x.Starts.Probe(ctx, i, conn)
	if _, ok := finding.(starts.Unreachable); ok && conn == nil && common.Sleep(ctx, askAgainTime) {
		finding = x.Starts.Probe(ctx, i, nil)
	}
	switch f := finding.(type) {
	case starts.Same:
		return nil
	case starts.Other:
		return fmt.Errorf("upstream %s started at %d: %w", i.Name, f.StartedAtMS, send.ErrUpstreamGone)
	case starts.Unstated:
		return fmt.Errorf("upstream %s: %w", i.Name, send.ErrSenderUnstated)
	case starts.Unreachable:
		if errors.Is(f.Err, starts.ErrUnreadable) {
			return fmt.Errorf("upstream %s: %w: %w", i.Name, send.ErrSenderUnstated, f.Err)
		}
		return fmt.Errorf("ask upstream %s for its start: %w", i.Name, f.Err)
	default:
		panic(fmt.Sprintf("unknown finding %T", f))
	}
}

// recordUnsuitable records that the request was not sent to the upstream, as its process may not be the one of its row.
func (x *exchange) recordUnsuitable(up route.Upstream, err error) retry.Event {
	x.unsuitable++
	x.excluded = append(x.excluded, up.Name)
	x.setCause(CauseNotSent, err.Error())
	x.Table.Release(x.Now(), up.Name)
	return retry.Unsent{}
}

// recordReplaced records an attempt whose response is not used, as its process may not be the one of the upstream's row.
func (x *exchange) recordReplaced(up route.Upstream, err error) retry.Event {
	x.mayHaveRun = true
	x.excluded = append(x.excluded, up.Name)
	x.setCause(CauseUpstreamBroken, err.Error())
	x.Table.Release(x.Now(), up.Name)
	return retry.Broken{}
}

// askStart asks the upstream for its start while the response to the caller goes on.
func (x *exchange) askStart(ctx context.Context, up route.Upstream) <-chan starts.Finding {
	out := make(chan starts.Finding, 1)
	go func() { out <- x.Starts.Check(ctx, up.Incarnation()) }()
	return out
}

// confirmBeginning waits until the upstream has said when it started, before the caller gets the first event of a stream. It returns errUpstreamEnded if the process that sends the stream has ended instead, and another upstream can begin it.
func (x *exchange) confirmBeginning(resp send.Response) error {
	if x.start == nil {
		return nil
	}
	x.startFinding = <-x.start
	x.start = nil
	switch x.startFinding.(type) {
	case starts.Same, starts.Unstated:
		return nil
	}
	common.Sleep(x.r.Context(), endTime)
	if resp.IsOpen() || !x.spendFailureRetry() {
		return nil
	}
	return errUpstreamEnded
}

// beginning returns where the stream begins that the current upstream sends. Its software version is known only if the process is the one that the row describes, or one of the two states no start.
func (x *exchange) beginning() origin.Origin {
	o := origin.Origin{
		Pool:    x.pool,
		Version: x.upstream.Version,
	}
	switch f := x.startFinding.(type) {
	case nil, starts.Unstated:
	case starts.Same:
		o.Confirmed = true
	case starts.Other:
		x.Upstreams.MarkReplaced(x.upstream.Incarnation(), f.StartedAtMS)
		o.Version = origin.UnknownVersion
	case starts.Unreachable:
		o.Version = origin.UnknownVersion
		o.Unanswered = true
	default:
		panic(fmt.Sprintf("unknown finding %T", f))
	}
	return o
}
