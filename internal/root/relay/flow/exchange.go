package flow

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/warm"
	"github.com/cornelwing/cornelwing/internal/serve"
)

const (
	// minTimeLeft is the time that must be left before the deadline for another attempt to start.
	minTimeLeft = 10 * time.Millisecond
	// overloadRetryAfter is the Retry-After time if no upstream accepts a request.
	overloadRetryAfter = 200 * time.Millisecond
	// maxPermitRequests is how many limited upstreams are asked for before one attempt.
	maxPermitRequests = 3
	// noRoomRetryAfter is the Retry-After time if there is no memory for a request.
	noRoomRetryAfter = time.Second
	// stopNoticeTime is how long before the requests of a stopping host end its upstreams give them up.
	stopNoticeTime = 50 * time.Millisecond
	// maxStageRuns bounds how often the stages of one request are run.
	maxStageRuns = 2
)

// exchange is the state of one request from its arrival to the end of its response.
type exchange struct {
	*Service
	w http.ResponseWriter
	r *http.Request
	// stop says by when the exchange must end because this host stops.
	stop *serve.Stop

	requestHead   RequestHead
	header        http.Header
	body          []byte
	plan          *plan.Plan
	route         plan.Route
	account       plan.Account
	authenticated bool
	pool          string
	// regions are the regions that the request may use.
	regions place.Regions
	// origin is where the stream began, or unknown before its first event. originFixed reports that an event of an upstream has arrived in this exchange.
	origin      origin.Origin
	originKey   origin.Key
	originFixed bool
	// start will tell whether the process that begins the stream is the one of its upstream's row, and startFinding is what it has told. Both are nil if that does not matter.
	start        <-chan starts.Finding
	startFinding starts.Finding
	// blamable is what is to blame if the request crashes an upstream.
	blamable blame.Request
	arrived  time.Time
	// deadline is the time by which the caller must have a response, which may be an error.
	deadline time.Time

	// inputs are the result handles of the final stages, and held the results of all stages.
	inputs     []string
	stagesDone bool
	stageRuns  int
	held       heldResults

	// preferredDomain is the failure domain whose upstreams are preferred, or "".
	preferredDomain string
	excluded        []string
	// trial means that the next attempt is likely to crash its upstream.
	trial bool
	// permit is the permit for the next attempt if its upstream is cold, or nil.
	permit *warm.Permit
	// sends counts the upstreams that the request was sent to. mayHaveRun reports that one of them may have run the request.
	sends      int
	mayHaveRun bool
	// unsuitable counts the upstreams that the request was not sent to as their process may not be the one of their row.
	unsuitable int
	// survived reports that the upstream of the current attempt has been sending the response for survivalTime, since eventsBegan.
	survived    bool
	eventsBegan time.Time
	// headSent reports that the caller has received the start of its response.
	headSent   bool
	eventsSent int
	// position is how far the caller has received the stream, in this and in earlier responses.
	position streamPosition
	// ids are the ids of the events that the caller has received.
	ids eventIDs
	// framing is how the last upstream's response marks the end of its body, or "" if there was no response.
	framing send.Framing
	// limit is the limit that the last upstream's response named, in requests per second, or 0.
	limit float64

	// confirmedAge is how old the confirmation of the configuration was that lacks the route or key of the request, if confirmed is set.
	confirmedAge time.Duration
	confirmed    bool
	// heldTime is how long the request waited for a confirmation.
	heldTime time.Duration

	status int
	cause  Cause
	detail string
	// upstream is the upstream of the last attempt.
	upstream route.Upstream
	// abort reports that the caller's response is incomplete, so that its connection must be closed.
	abort bool
	// firstByte is the time from the arrival to the start of the response, and stageTime the time taken by the stages.
	firstByte time.Duration
	stageTime time.Duration
}

// serve runs the stages and then sends the request to upstreams until one answers or the request is abandoned.
func (x *exchange) serve() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	ctx, release := x.stop.Until(ctx)
	defer release()
	x.retryBudget(x.pool).Deposit()
	for {
		if !x.prepare(ctx) {
			return
		}
		up, ok := x.pickUpstream(ctx)
		if !ok {
			x.abandonWithoutUpstream()
			return
		}
		ev, done := x.attempt(ctx, up)
		if done {
			return
		}
		if !x.shouldRetry(ctx, ev) {
			return
		}
	}
}

// prepare runs the stages and reports whether an attempt may start. Otherwise it abandons the request.
func (x *exchange) prepare(ctx context.Context) bool {
	if x.abandonIfRejected(x.CrashDetector.Check(x.blamable)) || x.abandonIfMisplaced() || x.abandonIfVersionGone() || x.abandonIfPaused() || !x.runStages(ctx) {
		return false
	}
	if x.abandonIfOver() {
		return false
	}
	if !x.stillAuthorized() {
		x.abandon(CauseKeysUnsure, "key is no longer known to be valid", notReadyRetryAfter)
		return false
	}
	return !x.abandonIfRejected(x.CrashDetector.BeginAttempt(ctx, x.blamable))
}

// abandonIfRejected abandons the request if it must not be sent, and reports whether it did.
func (x *exchange) abandonIfRejected(a Admission) bool {
	switch a := a.(type) {
	case Rejected:
		x.abandon(CauseCrashesUpstreams, a.Detail, a.RetryAfter)
		return true
	case Admitted:
		x.trial = a.Trial
		return false
	default:
		panic(fmt.Sprintf("unknown admission %T", a))
	}
}

// abandonIfOver abandons the request if its caller has disconnected or too little time is left, and reports whether it did.
func (x *exchange) abandonIfOver() bool {
	switch {
	case x.r.Context().Err() != nil:
		x.abandon(CauseCallerLeft, "caller went away", 0)
	case x.timeLeft() < minTimeLeft && x.isStopping():
		x.abandon(CauseStopping, "host is stopping", overloadRetryAfter)
	case x.timeLeft() < minTimeLeft:
		x.abandon(CauseDeadline, "too little time is left", overloadRetryAfter)
	default:
		return false
	}
	return true
}

// abandonIfPaused abandons the request if all upstreams of its pool have asked for a pause, and reports whether it did.
func (x *exchange) abandonIfPaused() bool {
	after, ok := x.Table.ReturnAfter(x.Now(), x.pool, x.rank(), x.regions)
	if ok {
		x.abandon(CausePaused, "all upstreams of pool "+x.pool+" have asked for a pause or take no further request now", after)
	}
	return ok
}

// abandonWithoutUpstream abandons the request because no upstream of its pool is usable.
func (x *exchange) abandonWithoutUpstream() {
	if !x.abandonIfClosed(x.pool) && !x.abandonIfVersionGone() && !x.abandonIfPaused() {
		x.abandon(CauseNoUpstream, "no upstream of pool "+x.pool+" is usable", overloadRetryAfter)
	}
}

func (x *exchange) timeLeft() time.Duration {
	return x.end().Sub(x.Now())
}

// end returns the time by which the exchange must end: the deadline, or sooner if this host stops.
func (x *exchange) end() time.Time {
	return x.stop.Earlier(x.deadline)
}

// isStopping reports whether the exchange must end before its deadline because this host stops.
func (x *exchange) isStopping() bool {
	return x.end().Before(x.deadline)
}

// upstreamTime returns the time that an upstream may take. It ends a little before the host's own stop, as an upstream that gives up then says whether it has run the request.
func (x *exchange) upstreamTime() time.Duration {
	left := x.timeLeft()
	if x.isStopping() {
		return max(minTimeLeft, left-stopNoticeTime)
	}
	return left
}

// pickUpstream selects an upstream. One that takes a limited number of requests is used only with a permit.
func (x *exchange) pickUpstream(ctx context.Context) (route.Upstream, bool) {
	x.permit = nil
	for denied := 0; ; denied++ {
		up, ok := x.pickCandidate(denied >= maxPermitRequests)
		if !ok || !up.Limited {
			return up, ok
		}
		if x.takePermit(ctx, up) {
			return up, true
		}
	}
}

// pickCandidate selects an upstream that is not excluded, or an excluded one if no other is usable, or one that is on trial. For the rest of a stream it selects an ejected one before none. unlimited leaves out those that take a limited number of requests.
func (x *exchange) pickCandidate(unlimited bool) (route.Upstream, bool) {
	q := route.Query{
		Pool:         x.pool,
		Exclude:      x.excluded,
		PreferDomain: x.preferredDomain,
		LeastLoaded:  x.trial,
		Version:      x.origin.Version,
		Versioned:    x.route.Resumable,
		Unlimited:    unlimited,
		Regions:      x.regions,
		Prompt:       x.requestHead.prompt(),
	}
	if x.route.Affinity {
		q.Affinity = x.requestHead.affinityHash()
	}
	up, ok := x.Table.PickRandomlySeeded(x.Now(), q)
	if !ok && q.Versioned {
		// A stream that can't be continued is better than none.
		q.Versioned = false
		up, ok = x.Table.PickRandomlySeeded(x.Now(), q)
	}
	if !ok && len(x.excluded) > 0 {
		q.Exclude = nil
		up, ok = x.Table.PickRandomlySeeded(x.Now(), q)
	}
	if !ok {
		// Upstreams that are all on trial are better than none.
		q.OnTrial = true
		up, ok = x.Table.PickRandomlySeeded(x.Now(), q)
	}
	if !ok && q.Version != "" {
		// Upstreams of another version are no alternative, so one that seems to be faulty is better than none.
		q.Ejected = true
		up, ok = x.Table.PickRandomlySeeded(x.Now(), q)
	}
	return up, ok
}

// shouldRetry reports whether to try another upstream after the event. If so, it first waits for the pause before the retry. Otherwise it abandons the request.
func (x *exchange) shouldRetry(ctx context.Context, ev retry.Event) bool {
	if x.r.Context().Err() != nil {
		x.abandon(CauseCallerLeft, "caller went away", 0)
		return false
	}
	if x.isStopping() && x.timeLeft() < minTimeLeft {
		x.abandon(CauseStopping, "host is stopping: "+x.detail, overloadRetryAfter)
		return false
	}
	state := retry.State{
		Idempotent:     x.route.Repeatable(),
		PossibleRuns:   x.sends,
		NotRun:         x.unsuitable,
		MaxAttempts:    x.route.Attempts,
		BudgetRefusals: true,
		Remaining:      x.timeLeft(),
		MinRemaining:   minTimeLeft,
	}
	switch a := retry.Decide(state, ev, x.retryBudget(x.pool)).(type) {
	case retry.Retry:
		if a.Pause > 0 {
			common.Sleep(ctx, a.Pause)
		}
		return true
	case retry.Stop:
		if x.abandonIfClosed(x.pool) || x.abandonIfVersionGone() || x.abandonIfPaused() {
			return false
		}
		x.abandon(x.cause, x.detail+": "+string(a.Reason), overloadRetryAfter)
	}
	return false
}

// readBody reads the complete body, so that it can be sent more than once.
func (x *exchange) readBody() bool {
	limit := x.plan.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := x.readWithDeadline(x.deadline, http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		// The rest of the body is not worth reading.
		x.w.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, guard.ErrNoRoom):
		x.respondUnavailable(noRoomRetryAfter, CauseNoRoom, "no memory for the body now")
		return false
	case errors.As(err, &tooLarge):
		x.respondError(http.StatusRequestEntityTooLarge, CauseTooLarge, "body is too large")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded) && x.isStopping():
		x.respondUnavailable(overloadRetryAfter, CauseStopping, "host is stopping")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.respondError(http.StatusRequestTimeout, CauseMalformed, "body did not arrive in time")
		return false
	case err != nil:
		x.respondError(http.StatusBadRequest, CauseMalformed, "body did not arrive whole")
		return false
	}
	x.body = body
	return true
}

// readWithDeadline reads from the caller's connection until the deadline, or until this host stops, and removes the deadline for later reads.
func (x *exchange) readWithDeadline(deadline time.Time, r io.Reader) ([]byte, error) {
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(x.w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set body read deadline: %w", err)
	}
	release := x.stop.AfterFunc(func() {
		// An error means that the connection is closed already.
		_ = rc.SetReadDeadline(time.Unix(1, 0))
	})
	defer release()
	body, err := guard.ReadBody(r, x.r.ContentLength, serve.ClaimOf(x.r))
	if err != nil {
		return nil, fmt.Errorf("receive body: %w", err)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("reset body read deadline: %w", err)
	}
	return body, nil
}

// defaultBodyBytes bounds a body if the configuration sets no limit.
const defaultBodyBytes = 1 << 20
