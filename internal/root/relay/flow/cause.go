package flow

// Cause says, in a few words, why a request was not answered at its first upstream; metrics count by it.
type Cause string

// The causes.
const (
	// CauseNone is an answer without trouble.
	CauseNone Cause = ""
	// CauseMalformed is a request that is not proper, CauseRoute one without a route and CauseKey one with an unknown key.
	CauseMalformed Cause = "malformed"
	CauseTooLarge  Cause = "too_large"
	CauseRoute     Cause = "no_route"
	CauseKey       Cause = "unknown_key"
	// CauseNotReady is a host without a configuration, CauseKeysUnsure one that has not heard the platform for too long.
	CauseNotReady   Cause = "not_ready"
	CauseKeysUnsure Cause = "keys_unsure"
	// CauseOverload is a stage that would not be done in time, CauseStage one that failed.
	CauseOverload Cause = "overload"
	CauseStage    Cause = "stage_failed"
	// CauseCrashes is a request that has crashed too many upstreams.
	CauseCrashes Cause = "crashes_upstreams"
	// CauseNoUpstream is a pool without a usable upstream.
	CauseNoUpstream Cause = "no_upstream"
	// CauseNotSent, CauseNotRun, CauseBroken and CauseFailed are ends of a send to an upstream.
	CauseNotSent  Cause = "not_sent"
	CauseNotRun   Cause = "upstream_refused"
	CauseBroken   Cause = "upstream_broke"
	CauseFailed   Cause = "upstream_failed"
	CauseDeadline Cause = "deadline"
	CauseCaller   Cause = "caller_left"
)
