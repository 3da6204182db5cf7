package flow

// Cause is the last problem in serving a request, even if a later attempt succeeded. Metrics count requests by cause.
type Cause string

// The causes.
const (
	// CauseNone means that the first upstream answered the request.
	CauseNone Cause = ""
	// CauseMalformed means that the request is invalid, CauseNoRoute that it matches no route, and CauseUnknownKey that no account has its key.
	CauseMalformed Cause = "malformed"
	CauseTooLarge  Cause = "too_large"
	CauseNoRoute   Cause = "no_route"
	// CauseNoRoom means that the host has no memory for the request.
	CauseNoRoom     Cause = "no_room"
	CauseUnknownKey Cause = "unknown_key"
	// CauseUnconfirmed means that the configuration lacks the route or the key, and is not known to be recent.
	CauseUnconfirmed Cause = "unconfirmed"
	// CauseRouteUnusable means that the route of the request can't be served as it is configured.
	CauseRouteUnusable Cause = "route_unusable"
	// CauseNotReady means that this host has no configuration. CauseKeysUnsure means that it has not reached the platform for so long that the request's key may have been revoked.
	CauseNotReady   Cause = "not_ready"
	CauseKeysUnsure Cause = "keys_unsure"
	// CauseOverload means that a stage could not finish in time, and CauseStageFailed that a stage failed or its results were lost.
	CauseOverload    Cause = "overload"
	CauseStageFailed Cause = "stage_failed"
	// CauseOriginUnknown means that the caller resumes a stream of which no host knows at which software version it began, and CauseVersionGone that no upstream of that version is left.
	CauseOriginUnknown Cause = "origin_unknown"
	CauseVersionGone   Cause = "version_gone"
	// CauseCrashesUpstreams means that the request has crashed too many upstreams.
	CauseCrashesUpstreams Cause = "crashes_upstreams"
	// CauseNoUpstream means that the pool has no usable upstream.
	CauseNoUpstream Cause = "no_upstream"
	// CauseNotSent means that the connection to an upstream could not be opened, and CauseUpstreamRefused that an upstream stated that it did not run the request.
	// CauseUpstreamBroken means that no complete and valid response arrived, and CauseUpstreamFailed that the request was retried after a server error.
	CauseNotSent         Cause = "not_sent"
	CauseUpstreamRefused Cause = "upstream_refused"
	CauseUpstreamBroken  Cause = "upstream_broke"
	CauseUpstreamFailed  Cause = "upstream_failed"
	// CauseEvacuated means that all upstreams of a pool that the request needs are in evacuated failure domains, and CauseOtherRegions that none is in a region that it may use.
	CauseEvacuated    Cause = "evacuated"
	CauseOtherRegions Cause = "other_regions"
	// CausePaused means that all upstreams of the pool have asked for a pause.
	CausePaused     Cause = "paused"
	CauseDeadline   Cause = "deadline"
	CauseCallerLeft Cause = "caller_left"
	// CauseStopping means that this host had to end the request as it stops.
	CauseStopping Cause = "stopping"
)
