package flow

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// originGrace is how much longer than its caller waits for a stream its origin is kept.
	originGrace = 5 * time.Second
	// timeoutsPerStream is how many timeouts of its route a stream lasts at the most, over all attempts of its caller.
	timeoutsPerStream = 2
	// beginAgainRetryAfter is the Retry-After time of a request for the rest of a stream that can't be continued. Waiting does not help: the caller has to begin again.
	beginAgainRetryAfter = 0
)

// Origins knows at which software version streams began, over all hosts. A stream may continue only at the version that began it, as what two versions write does not fit together.
type Origins interface {
	// Record remembers where a stream of the scope began, for as long as its caller may resume it.
	Record(k origin.Key, o origin.Origin, keep time.Duration, scope origin.Scope)
	// Find returns where a stream began, or false if that can't be learned.
	Find(ctx context.Context, l origin.Lookup) (origin.Origin, bool)
}

// resumes reports whether the caller asks for the rest of a stream.
func (x *exchange) resumes() bool {
	return x.route.Kind == plan.Stream && x.route.Resumable && x.requestHead.LastEvent != ""
}

// hasKnownBeginning reports whether the caller has a part of a resumable stream whose first upstream is on record. A caller that names an invented stream gets no priority.
func (x *exchange) hasKnownBeginning() bool {
	return x.route.Resumable && x.position.lastID != "" && x.origin.Upstream.Name != ""
}

// findOrigin finds out where the stream began that the caller resumes, and after which event it resumes it. Where it may have begun depends on the configuration, so what was concluded counts for the one of the request alone. On routes that are not resumable each request begins a stream, whatever Last-Event-Id says. It sends an error response and returns false if that can't be learned.
func (x *exchange) findOrigin() bool {
	if !x.resumes() {
		return true
	}
	x.position.lastID = x.requestHead.LastEvent
	x.originKey = origin.KeyOf(x.account.Name, x.requestHead.Resumes)
	ctx, release := x.stop.Until(x.r.Context())
	defer release()
	o, ok := x.Origins.Find(ctx, origin.Lookup{
		Key:   x.originKey,
		Named: x.requestHead.Resumes != "",
		Scope: x.streamScope(),
	})
	if !ok || !x.isCertain(o) || (o.IsConcluded() && !x.knowsScope()) {
		x.abandon(CauseOriginUnknown, "software version that began the stream is not known", beginAgainRetryAfter)
		return false
	}
	x.origin = o
	x.pool = o.Pool
	if !x.route.HasTarget(o.Pool) {
		x.abandonWithoutVersion()
		return false
	}
	return true
}

// knowsScope reports whether streamScope is known to have every pool in which a stream may have begun.
func (x *exchange) knowsScope() bool {
	return x.Plans.Current() == x.plan && x.Moves.KnowsSince(x.route, x.Now().Add(-x.streamLifetime()))
}

// streamScope returns where a stream of the route may have begun that a caller may still resume, beginning with the pool of the request.
func (x *exchange) streamScope() origin.Scope {
	lifetime := x.streamLifetime()
	others := append(x.route.PoolNames(), x.Moves.PoolsSince(x.route, x.Now().Add(-lifetime))...)
	others = slices.DeleteFunc(others, func(pool string) bool { return pool == x.pool })
	return origin.Scope{
		Pools:    append([]string{x.pool}, others...),
		Lifetime: lifetime,
	}
}

// isCertain reports whether the upstream that began a stream ran the version of its row at that time.
func (x *exchange) isCertain(o origin.Origin) bool {
	return o.Known() && (o.Confirmed || !x.Upstreams.MayHaveRestarted(o.Upstream, o.Version, o.SentAt))
}

// streamLifetime returns the longest time for which a stream of the route lasts.
func (x *exchange) streamLifetime() time.Duration {
	if x.route.Timeout <= 0 {
		return math.MaxInt64
	}
	return timeoutsPerStream * x.route.Timeout
}

// fixOrigin determines where the stream began, before the caller gets the first event of an upstream's response to a request that was sent at the given time.
func (x *exchange) fixOrigin(sentAt time.Time) {
	if x.originFixed {
		return
	}
	x.originFixed = true
	if !x.resumes() {
		x.originKey = origin.KeyOf(x.account.Name, x.requestHead.ID)
		x.origin = x.beginning()
	}
	if x.origin.Upstream.Name == "" {
		x.origin.Upstream = x.upstream.Incarnation()
		x.origin.SentAt = sentAt
	}
	if x.route.Resumable && x.origin.Version != "" && x.isNamed() {
		x.Origins.Record(x.originKey, x.origin, x.keepOrigin(), x.streamScope())
	}
}

// isNamed reports whether the caller can name the stream when it resumes it: its first request has an ID.
func (x *exchange) isNamed() bool {
	if x.resumes() {
		return x.requestHead.Resumes != ""
	}
	return x.requestHead.ID != ""
}

// keepOrigin returns how long the caller may still resume the stream.
func (x *exchange) keepOrigin() time.Duration {
	callerWaits := x.requestHead.CallerTimeout - x.Now().Sub(x.arrived)
	return max(x.timeLeft(), callerWaits) + originGrace
}

// canResume reports whether another upstream can continue the stream.
func (x *exchange) canResume() bool {
	return x.route.Resumable && x.position.isKnown() && x.isCertain(x.origin)
}

// abandonIfVersionGone abandons the request if it continues a stream and its pool has no upstream of the version that began it, and reports whether it did.
func (x *exchange) abandonIfVersionGone() bool {
	if !x.origin.Known() || x.Table.HasVersion(x.origin.Pool, x.origin.Version, x.regions) {
		return false
	}
	x.abandonWithoutVersion()
	return true
}

func (x *exchange) abandonWithoutVersion() {
	x.abandon(CauseVersionGone, "no upstream of the software version that began the stream is left", beginAgainRetryAfter)
}
