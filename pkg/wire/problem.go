package wire

import (
	"fmt"
	"net/http"
	"time"
)

// Kind is the type of a refusal or failure. The problem type URI is "urn:cornelwing:" followed by the kind.
type Kind string

// The kinds of problems.
const (
	KindMalformed        Kind = "malformed"   // headers or body are not valid
	KindTooLarge         Kind = "too_large"   // the body exceeds the size limit
	KindAccount          Kind = "account"     // the token is missing or belongs to no client account
	KindNoPipeline       Kind = "no_pipeline" // there is no pipeline with the name
	KindKeyMissing       Kind = "key_missing" // a request that is not idempotent has no idempotency key
	KindKeyReused        Kind = "key_reused"  // the idempotency key was used for another request
	KindInProgress       Kind = "in_progress" // a request with the key has started and has no recorded outcome yet
	KindSettled          Kind = "settled"     // no host returns this kind
	KindOverload         Kind = "overload"    // the request would wait too long, or too many requests wait
	KindLimit            Kind = "limit"       // the account exceeds its rate
	KindDeadline         Kind = "deadline"    // the deadline passed or too little time is left
	KindUpstream         Kind = "upstream"    // no upstream is usable, or the attempts failed
	KindQuarantined      Kind = "quarantined" // the request crashed the upstreams that ran it
	KindStoreUnavailable Kind = "store_out"   // the store is unavailable or did not confirm a claim
	KindDraining         Kind = "draining"    // the host is shutting down
	KindNotReady         Kind = "not_ready"   // the host has no configuration yet
	KindNoRecord         Kind = "no_record"   // there is no record for the idempotency key
	KindCallerGone       Kind = "cut"         // the caller closed the connection
)

const kindPrefix = "urn:cornelwing:"

// Values of Problem.RetryWith, the idempotency key that a retry must use.
const (
	// RetrySameKey means that a retry with the same key is safe and determines the outcome.
	RetrySameKey = "same_key"
	// RetryNewKey means that the key cannot be used again and a retry needs a new key.
	RetryNewKey = "new_key"
)

// Problem is a refusal or failure as an RFC 9457 problem document with an outcome.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	RequestID string  `json:"request_id,omitempty"`
	Outcome   Outcome `json:"outcome"`
	// RetryAfterMS is the wait before a retry in milliseconds; 0 means that a retry does not help.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RetryWith    string `json:"retry_with,omitempty"`
}

// NewProblem returns a problem with the HTTP status and title of the kind.
func NewProblem(kind Kind, outcome Outcome, detail string) Problem {
	status := statusOf(kind)
	return Problem{
		Type:    kindPrefix + string(kind),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	}
}

// Kind returns the kind from the problem type, or "" if the type is shorter than the "urn:cornelwing:" prefix.
func (p Problem) Kind() Kind {
	if len(p.Type) < len(kindPrefix) {
		return ""
	}
	return Kind(p.Type[len(kindPrefix):])
}

// Error returns the kind, outcome and detail in one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Kind(), p.Outcome, p.Detail)
}

// WithRequestID returns a copy with the request ID.
func (p Problem) WithRequestID(id string) Problem {
	p.RequestID = id
	return p
}

// WithOutcome returns a copy with another outcome.
func (p Problem) WithOutcome(o Outcome) Problem {
	p.Outcome = o
	return p
}

// WithRetry returns a copy with the wait before a retry, at least 1 ms, and the key to use: RetrySameKey, RetryNewKey or
// "" for any.
func (p Problem) WithRetry(after time.Duration, with string) Problem {
	p.RetryAfterMS = max(1, after.Milliseconds())
	p.RetryWith = with
	return p
}

func statusOf(k Kind) int {
	switch k {
	case KindMalformed, KindKeyMissing:
		return http.StatusBadRequest
	case KindAccount:
		return http.StatusUnauthorized
	case KindNoPipeline, KindNoRecord:
		return http.StatusNotFound
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindKeyReused, KindQuarantined:
		return http.StatusUnprocessableEntity
	case KindInProgress, KindSettled:
		return http.StatusConflict
	case KindLimit:
		return http.StatusTooManyRequests
	case KindDeadline:
		return http.StatusGatewayTimeout
	case KindUpstream, KindCallerGone:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
