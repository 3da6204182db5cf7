package flow

// Cause is the reason why the first upstream did not answer a request. Metrics count requests by cause.
type Cause string

// The causes.
const (
	// CauseNone means that nothing went wrong.
	CauseNone Cause = ""
	// CauseMalformed is an invalid request, CauseNoRoute one that matches no route, and CauseUnknownKey one with an unknown key.
	CauseMalformed  Cause = "malformed"
	CauseTooLarge   Cause = "too_large"
	CauseNoRoute    Cause = "no_route"
	CauseUnknownKey Cause = "unknown_key"
	// CauseNotReady is a host without a configuration, and CauseKeysUnsure one that has not reached the platform for too long to trust its keys.
	CauseNotReady   Cause = "not_ready"
	CauseKeysUnsure Cause = "keys_unsure"
	// CauseOverload is a stage that could not finish in time, and CauseStageFailed one that failed.
	CauseOverload    Cause = "overload"
	CauseStageFailed Cause = "stage_failed"
	// CauseCrashesUpstreams is a request that has crashed too many upstreams.
	CauseCrashesUpstreams Cause = "crashes_upstreams"
	// CauseNoUpstream is a pool without a usable upstream.
	CauseNoUpstream Cause = "no_upstream"
	// CauseNotSent is a failed connection to an upstream, CauseUpstreamRefused a request that the upstream did not run, CauseUpstreamBroken an attempt without a complete valid response, and CauseUpstreamFailed a server error.
	CauseNotSent         Cause = "not_sent"
	CauseUpstreamRefused Cause = "upstream_refused"
	CauseUpstreamBroken  Cause = "upstream_broke"
	CauseUpstreamFailed  Cause = "upstream_failed"
	CauseDeadline        Cause = "deadline"
	CauseCallerLeft      Cause = "caller_left"
)
