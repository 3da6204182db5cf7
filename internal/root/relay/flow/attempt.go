package flow

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// attempt sends the request to one upstream. done reports that the exchange has ended. Otherwise ev is the event for the retry decision.
func (x *exchange) attempt(ctx context.Context, up route.Upstream) (ev retry.Event, done bool) {
	began := x.Now()
	x.upstream = up
	x.survived = false
	requestCtx := place.WithRegions(ctx, x.regions)
	ctx, cancel := x.attemptContext(requestCtx)
	defer cancel()
	ctx = send.WithEndContext(ctx, requestCtx)
	if x.continues() {
		if err := x.confirmStart(ctx, up); err != nil {
			return x.recordUnsuitable(up, err), false
		}
	}
	x.sends++
	req := x.upstreamRequest(up)
	release := earlyRelease{
		held: &x.held,
	}
	if x.stagesDone && x.fetches.allows(began, x.pool) {
		req.Sent = release.start
	}
	if x.permit != nil {
		ctx = send.WithPermit(ctx, x.permit.Spend)
	}
	result := x.Sender.Do(ctx, req)
	if release.stop() {
		x.dropInputs()
	}
	switch res := result.(type) {
	case send.Late:
		x.sends--
		x.Table.Release(x.Now(), up.Name)
		x.excluded = append(x.excluded, up.Name)
		x.setCause(CauseNotSent, "permit for a cold upstream expired")
		x.Log.WithField("request", x.requestHead.ID).WithField("upstream", up.Name).Info("Permit for a cold upstream expired before the request was sent.")
		return retry.Unsent{}, false
	case send.Unsent:
		x.sends--
		if ctx.Err() == nil {
			x.WarmUps.RecordUnreachable(up)
		}
		x.Table.Done(x.Now(), up.Name, x.Now().Sub(began), false)
		x.Table.Eject(x.Now(), up.Name)
		x.excluded = append(x.excluded, up.Name)
		x.setCause(CauseNotSent, res.Err.Error())
		return retry.Unsent{}, false
	case send.Broken:
		x.reportLostConnection(ctx, up)
		return x.recordUnknownOutcome(up, began, res.Err), false
	case send.Response:
		defer res.Body.Close()
		x.WarmUps.RecordResponse(up)
		return x.handleResponse(ctx, up, began, res)
	default:
		panic("unknown result")
	}
}

// attemptContext limits the time of an attempt if the request can still be sent to another upstream. Otherwise, an unresponsive upstream could use up all the time of the request.
func (x *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind != plan.Idempotent || x.sends+1 >= x.route.Attempts || x.route.Objective <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, x.route.Objective)
}

func (x *exchange) upstreamRequest(up route.Upstream) send.Request {
	h := x.header.Clone()
	removeHopHeaders(h)
	x.HeaderCodec.UpstreamRequestHead(h, UpstreamRequestHead{
		TimeLeft:          x.upstreamTime(),
		Upstream:          up.Name,
		Account:           x.account.Name,
		LastEvent:         cmp.Or(x.position.lastID, x.requestHead.LastEvent),
		NeedsStageResults: x.stagesDone,
		Inputs:            x.inputs,
		Rank:              x.rank(),
	})
	if _, ok := h["User-Agent"]; !ok {
		// A nil value stops the transport from adding its default User-Agent.
		h["User-Agent"] = nil
	}
	return send.Request{
		Addr:   up.Addr,
		Method: x.r.Method,
		Host:   x.r.Host,
		Target: x.r.RequestURI,
		Header: h,
		Body:   x.body,
		CheckSender: func(ctx context.Context, conn net.Conn) error {
			return x.checkSender(ctx, up.Incarnation(), conn)
		},
	}
}

// reportLostConnection reports an upstream that closed its connection before its response was complete. It reports nothing if this host cancelled the attempt.
func (x *exchange) reportLostConnection(ctx context.Context, up route.Upstream) {
	if ctx.Err() != nil {
		return
	}
	x.Log.WithField("request", x.requestHead.ID).WithField("upstream", up.Name).WithField("software", up.Version).WithField("events", x.eventsSent).WithField("parts", x.requestHead.partNames()).Info("Connection to upstream lost.")
	if !x.survived {
		x.CrashDetector.RecordConnLoss(ctx, x.blamable, up)
		return
	}
	// One that leaves ends its long streams with itself.
	if !x.Upstreams.Serves(up.Incarnation()) {
		return
	}
	late := blame.LateRun{
		Own:   x.blamable.Own,
		RanMS: x.Now().Sub(x.eventsBegan).Milliseconds(),
	}
	// The rest of the stream does not wait for the report.
	go x.CrashDetector.RecordLateConnLoss(context.WithoutCancel(ctx), late, up, x.Table.PoolSize(x.pool))
}

// recordUnknownOutcome records an attempt after which it is unknown whether the upstream ran the request.
func (x *exchange) recordUnknownOutcome(up route.Upstream, began time.Time, err error) retry.Event {
	x.mayHaveRun = true
	x.excluded = append(x.excluded, up.Name)
	x.setCause(CauseUpstreamBroken, err.Error())
	// An upstream whose end could not be confirmed, though it is not gone, may have done all of its work.
	undecided := errors.Is(err, send.ErrUnconfirmedEnd) && !errors.Is(err, send.ErrUpstreamGone)
	if undecided || x.r.Context().Err() != nil || x.timeLeft() <= 0 {
		x.Table.Release(x.Now(), up.Name)
	} else {
		x.Table.Done(x.Now(), up.Name, x.Now().Sub(began), false)
	}
	return retry.Broken{}
}

// handleResponse evaluates the head of a response. It then forwards the response and returns true if the exchange has ended, or returns the event for the retry decision and false.
func (x *exchange) handleResponse(ctx context.Context, up route.Upstream, began time.Time, resp send.Response) (retry.Event, bool) {
	x.framing = resp.Framing
	head := x.HeaderCodec.ParseResponse(x.requestHead.ID, resp.Status, resp.Header)
	x.limit = head.Limit.Rate()
	x.recordAnnouncements(up, began, head)
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case head.OtherRequest:
		return x.recordUnknownOutcome(up, began, errors.New("answer of another request")), false
	case head.NotRun:
		return x.recordNotRun(up, head), false
	case success && (!head.Signed || resp.Header.Get("Content-Encoding") != ""):
		return x.recordUnknownOutcome(up, began, errors.New("answer is not the upstream's own")), false
	case x.headSent && !success:
		return x.recordUnknownOutcome(up, began, errors.Errorf("status %d instead of the rest of a stream", resp.Status)), false
	}
	switch {
	case success && x.continues():
		// The process may have been replaced since it was asked. One that has been replaced never comes back.
		if err := x.confirmStart(ctx, up); err != nil {
			return x.recordReplaced(up, err), false
		}
	case success && x.mayBeContinued():
		x.startFinding = nil
		x.start = x.askStart(ctx, up)
	}
	x.mayHaveRun = true
	if resp.Status >= 500 && x.spendFailureRetry() {
		x.recordServerError(up, began, head)
		x.excluded = append(x.excluded, up.Name)
		x.setCause(CauseUpstreamFailed, http.StatusText(resp.Status))
		return retry.Broken{
			AddsNoLoad: true,
		}, false
	}
	var err error
	if success && x.route.Kind == plan.Stream {
		err = x.forwardEvents(resp, began)
	} else {
		err = x.forwardBuffered(resp)
	}
	if err != nil {
		if x.mayBeCrash(err, up) {
			x.reportLostConnection(ctx, up)
		}
		ev := x.recordUnknownOutcome(up, began, err)
		if errors.Is(err, errUpstreamEnded) {
			// The retry was taken from the budget already.
			ev = retry.Broken{
				AddsNoLoad: true,
			}
		}
		return ev, x.abort
	}
	x.CrashDetector.RecordSurvived(x.blamable.Whole())
	x.Table.Done(x.Now(), up.Name, x.Now().Sub(began)-resp.ConfirmTime(), true)
	return nil, true
}

// mayBeCrash reports whether the upstream may have crashed, if the error ended its response. One that leaves may end after its last response, and one whose events do not continue the stream lives.
func (x *exchange) mayBeCrash(err error, up route.Upstream) bool {
	switch {
	case errors.Is(err, errNotContinued):
		return false
	case errors.Is(err, send.ErrUnconfirmedEnd):
		return x.Upstreams.Serves(up.Incarnation())
	default:
		return true
	}
}

// recordAnnouncements records what an upstream states of itself in a response, whatever the response.
func (x *exchange) recordAnnouncements(up route.Upstream, sentAt time.Time, head ResponseHead) {
	if head.statesLimit() {
		x.Limits.Note(up, head.Limit.Rate(), sentAt)
	}
	if head.isOwn() {
		x.Table.SetBrittle(up.Incarnation(), head.Brittle)
	}
	if head.Leaving {
		x.Upstreams.MarkLeaving(up.Incarnation())
	}
	if head.PauseFor > 0 {
		x.Table.Pause(x.Now(), up.Incarnation(), head.PauseFor)
		x.Log.WithField("request", x.requestHead.ID).WithField("upstream", up.Name).WithField("pause_ms", head.PauseFor.Milliseconds()).Info("Upstream asked for a pause.")
	}
	if head.Load != nil {
		x.Table.Report(up.Name, *head.Load, x.Now())
	}
}

// recordServerError records the failure of an upstream that responded with a server error, unless it asked for a pause by it.
func (x *exchange) recordServerError(up route.Upstream, began time.Time, head ResponseHead) {
	if head.PauseFor > 0 {
		x.Table.Release(x.Now(), up.Name)
		return
	}
	x.Table.Done(x.Now(), up.Name, x.Now().Sub(began), false)
}

// spendFailureRetry reports whether a request that failed with a server error may be sent to another upstream. If so, it takes a retry from the budget.
func (x *exchange) spendFailureRetry() bool {
	return !x.headSent && x.route.Repeatable() && x.sends < x.route.Attempts && x.timeLeft() > minTimeLeft && x.retryBudget(x.pool).TryWithdraw()
}

// recordNotRun records a response which states that the upstream ran no part of the request.
func (x *exchange) recordNotRun(up route.Upstream, head ResponseHead) retry.Event {
	if head.wasFull() {
		x.Table.RecordFull(x.Now(), up.Name)
	} else {
		x.Table.Release(x.Now(), up.Name)
	}
	x.setCause(CauseUpstreamRefused, "upstream ran nothing")
	if head.StageResultLost {
		x.setCause(CauseUpstreamRefused, "a result of a stage is gone")
		if !x.stagesDone {
			x.Log.WithField("request", x.requestHead.ID).WithField("pool", x.pool).Info("Result of a stage was freed before its engine had fetched it. Results are held until the first event for a while.")
			x.fetches.suspend(x.Now(), x.pool)
		}
		x.freeAllResults()
		return retry.Refused{}
	}
	if head.AddressReassigned {
		x.Table.Eject(x.Now(), up.Name)
		x.setCause(CauseUpstreamRefused, "another upstream has the address")
	}
	x.excluded = append(x.excluded, up.Name)
	return retry.Refused{}
}
