package flow

import (
	"math"
	"net"
	"net/http"
	"strings"
	"time"
)

// heldShare is the part of its caller's time for which a request may wait for a confirmation of the configuration.
const heldShare = 0.25

// refusal is why the configuration does not allow a request.
type refusal struct {
	status int
	cause  Cause
	detail string
	// retryAfter is the Retry-After time of a 503.
	retryAfter time.Duration
	// absent reports that the configuration lacks the route or the key, which a newer one may have.
	absent bool
}

// identify finds the route and the account of a request that arrived at the time since boot. It sends an error response and returns false if there are none. A configuration in which a change that must be in force could be missing is no reason to refuse the request for good: the request waits for its confirmation for a moment, and is told to come back if there is none.
func (x *exchange) identify(arrivedAt time.Duration) bool {
	r := x.lookUp()
	if r != nil && r.absent {
		began := x.Now()
		ctx, release := x.stop.Until(x.r.Context())
		confirmed := x.Recency.Await(ctx, arrivedAt, x.maxHeldTime())
		release()
		x.heldTime = x.Now().Sub(began)
		// The configuration may have been replaced before it was confirmed.
		if r = x.lookUp(); r != nil && r.absent {
			r = x.judgeAbsence(r, confirmed)
		}
	}
	switch {
	case r == nil:
		return true
	case r.status == http.StatusServiceUnavailable:
		x.respondUnavailable(r.retryAfter, r.cause, r.detail)
	default:
		x.respondError(r.status, r.cause, r.detail)
	}
	return false
}

// maxHeldTime returns for how long the request may wait for a confirmation, if that is not bounded otherwise.
func (x *exchange) maxHeldTime() time.Duration {
	if x.requestHead.CallerTimeout <= 0 {
		return math.MaxInt64
	}
	return time.Duration(heldShare * float64(x.requestHead.CallerTimeout))
}

// judgeAbsence returns the refusal of a request whose route or key the configuration lacks: final only if the configuration is confirmed.
func (x *exchange) judgeAbsence(r *refusal, confirmed bool) *refusal {
	x.confirmedAge, x.confirmed = x.Recency.Age()
	if confirmed {
		x.Recency.NoteRefusal()
		return r
	}
	x.Recency.NoteUnconfirmed()
	return &refusal{
		status:     http.StatusServiceUnavailable,
		cause:      CauseUnconfirmed,
		detail:     r.detail + " in a configuration that was not confirmed recently",
		retryAfter: notReadyRetryAfter,
	}
}

// lookUp looks up the route and the account of the request in the active configuration.
func (x *exchange) lookUp() *refusal {
	x.plan = x.Plans.Current()
	if x.plan == nil {
		return &refusal{
			status:     http.StatusServiceUnavailable,
			cause:      CauseNotReady,
			detail:     "no configuration yet",
			retryAfter: notReadyRetryAfter,
		}
	}
	if r := x.matchRoute(); r != nil {
		return r
	}
	if r := x.checkHeaderSize(); r != nil {
		return r
	}
	return x.authenticate()
}

func (x *exchange) matchRoute() *refusal {
	host := x.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	wellFormed := strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//")
	var ok bool
	if x.route, ok = x.plan.Match(host, path); !ok || !wellFormed {
		return &refusal{
			status: http.StatusNotFound,
			cause:  CauseNoRoute,
			detail: "no route",
			absent: wellFormed,
		}
	}
	if x.route.Unusable {
		return &refusal{
			status:     http.StatusServiceUnavailable,
			cause:      CauseRouteUnusable,
			detail:     "route can't be served as it is configured",
			retryAfter: unusableRouteRetryAfter,
		}
	}
	return nil
}

// checkHeaderSize refuses a request whose headers exceed the configured limit.
func (x *exchange) checkHeaderSize() *refusal {
	limit := x.plan.Limits.HeaderBytes
	if limit <= 0 || headerBytes(x.r) <= limit {
		return nil
	}
	return &refusal{
		status: http.StatusRequestHeaderFieldsTooLarge,
		cause:  CauseTooLarge,
		detail: "headers are too large",
	}
}

// authenticate looks up the caller's account by its key. A request with a key is served only while the configuration is known to be recent, as its key could otherwise have been revoked.
func (x *exchange) authenticate() *refusal {
	if x.route.Public || !x.plan.RequiresKeys() {
		return nil
	}
	if !x.Lease.Valid() {
		age, _ := x.Lease.Age()
		return &refusal{
			status:     http.StatusServiceUnavailable,
			cause:      CauseKeysUnsure,
			detail:     "platform not heard for " + age.Round(time.Millisecond).String(),
			retryAfter: notReadyRetryAfter,
		}
	}
	var ok bool
	if x.account, ok = x.plan.Account(x.requestHead.Key); !ok {
		return &refusal{
			status: http.StatusUnauthorized,
			cause:  CauseUnknownKey,
			detail: "unknown key",
			absent: true,
		}
	}
	x.authenticated = true
	return nil
}
