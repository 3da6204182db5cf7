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
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/retry"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// leastLeft is the time below which a send is not worth it.
	leastLeft = 10 * time.Millisecond
	// overload is when to come back where no upstream takes a request.
	overload = 200 * time.Millisecond
	// maxStageRuns bounds how often the stages of one request are run.
	maxStageRuns = 2
)

// run is the state of one request on its way.
type run struct {
	*Service
	w http.ResponseWriter
	r *http.Request

	ask     Ask
	header  http.Header
	body    []byte
	plan    *plan.Plan
	route   plan.Route
	account plan.Account
	keyed   bool
	pool    string
	print   crash.Fingerprint
	arrived time.Time
	// deadline is when the caller is told, answered or not.
	deadline time.Time

	// inputs are the results of the last stages, and frees give up what each stage made.
	inputs    []string
	staged    bool
	stageRuns int
	frees     map[int]func()

	// near is the failure domain in which the upstream should be.
	near    string
	exclude []string
	// sends counts the upstreams that the request was sent to; ran says that one of them may have run it.
	sends int
	ran   bool
	// begun says that the caller has got a part of its answer.
	begun  bool
	events int

	status   int
	cause    Cause
	detail   string
	upstream string
	abort    bool
	// first is when the caller's answer began, from its arrival; stageTime is what the stages took.
	first     time.Duration
	stageTime time.Duration
}

// serve runs the stages and then sends the request to upstreams until it is answered or given up.
func (u *run) serve() {
	ctx, cancel := context.WithDeadline(u.r.Context(), u.deadline)
	defer cancel()
	u.budget(u.pool).Earn()
	for {
		if !u.prepare(ctx) {
			return
		}
		up, ok := u.pick()
		if !ok {
			u.giveUp(CauseNoUpstream, "no upstream of pool "+u.pool+" is usable", overload)
			return
		}
		ev, done := u.attempt(ctx, up)
		if done {
			return
		}
		if !u.again(ctx, ev) {
			return
		}
	}
}

// prepare checks that a send may begin, once the stages have run.
func (u *run) prepare(ctx context.Context) bool {
	if u.Crashes.Stopped(u.print) {
		u.giveUp(CauseCrashes, "request has crashed too many upstreams", crashRetry)
		return false
	}
	if !u.runStages(ctx) {
		return false
	}
	if u.ended() {
		return false
	}
	if !u.allowed() {
		u.giveUp(CauseKeysUnsure, "key is no longer known to be valid", notReadyRetry)
		return false
	}
	return true
}

// ended gives the request up where its caller has left or its time has run out, and reports whether it did.
func (u *run) ended() bool {
	switch {
	case u.r.Context().Err() != nil:
		u.giveUp(CauseCaller, "caller went away", 0)
	case u.left() < leastLeft:
		u.giveUp(CauseDeadline, "too little time is left", overload)
	default:
		return false
	}
	return true
}

func (u *run) left() time.Duration {
	return u.deadline.Sub(u.Now())
}

// pick chooses an upstream, one that was tried already only where no other is left.
func (u *run) pick() (route.Upstream, bool) {
	q := route.Query{
		Pool:    u.pool,
		Exclude: u.exclude,
		Near:    u.near,
	}
	if u.route.Affinity {
		q.Affinity = u.ask.affinity()
	}
	up, ok := u.Table.PickAny(u.Now(), q)
	if !ok && len(u.exclude) > 0 {
		q.Exclude = nil
		up, ok = u.Table.PickAny(u.Now(), q)
	}
	return up, ok
}

// again decides whether another upstream is tried.
func (u *run) again(ctx context.Context, ev retry.Event) bool {
	if u.r.Context().Err() != nil {
		u.giveUp(CauseCaller, "caller went away", 0)
		return false
	}
	state := retry.State{
		Idempotent: u.route.Repeatable(),
		Ran:        u.sends,
		MaxRan:     u.route.Attempts,
		Arrivals:   true,
		Left:       u.left(),
		Need:       leastLeft,
	}
	switch a := retry.Decide(state, ev, u.budget(u.pool)).(type) {
	case retry.Again:
		if a.Pause > 0 {
			common.Sleep(ctx, a.Pause)
		}
		return true
	case retry.Stop:
		u.giveUp(u.cause, u.detail+": "+string(a.Reason), overload)
	}
	return false
}

// readBody reads the body whole, so that it can be sent more than once.
func (u *run) readBody() bool {
	limit := u.plan.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := u.readUntil(u.deadline, http.MaxBytesReader(u.w, u.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		u.fail(http.StatusRequestEntityTooLarge, CauseTooLarge, "body is too large")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.fail(http.StatusRequestTimeout, CauseMalformed, "body did not arrive in time")
		return false
	case err != nil:
		u.fail(http.StatusBadRequest, CauseMalformed, "body did not arrive whole")
		return false
	}
	u.body = body
	return true
}

// readUntil reads from the caller's connection until a deadline, which does not hold for what comes after.
func (u *run) readUntil(deadline time.Time, r io.Reader) ([]byte, error) {
	if u.r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(u.w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("bound the wait for a body: %w", err)
	}
	body, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("end the wait for a body: %w", err)
	}
	return body, nil
}

// defaultBody bounds a body where the configuration does not, in bytes.
const defaultBody = 1 << 20
