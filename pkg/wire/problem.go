package wire

import (
	"fmt"
	"net/http"
	"time"
)

// Kind is the type of a refusal or failure; as a URI it is "urn:cornelwing:" followed by the kind.
type Kind string

// The kinds of problems.
const (
	KindMalformed   Kind = "malformed"
	KindTooLarge    Kind = "too_large"
	KindAccount     Kind = "account"
	KindNoPipeline  Kind = "no_pipeline"
	KindKeyMissing  Kind = "key_missing"
	KindKeyReused   Kind = "key_reused"
	KindInProgress  Kind = "in_progress"
	KindSettled     Kind = "settled"
	KindOverload    Kind = "overload"
	KindLimit       Kind = "limit"
	KindDeadline    Kind = "deadline"
	KindUpstream    Kind = "upstream"
	KindQuarantined Kind = "quarantined"
	KindStoreOut    Kind = "store_out"
	KindDraining    Kind = "draining"
	KindNotReady    Kind = "not_ready"
	KindNoRecord    Kind = "no_record"
	KindCut         Kind = "cut"
)

const kindPrefix = "urn:cornelwing:"

// Values of Problem.RetryWith.
const (
	// RetrySameKey says that sending the same key again is safe and settles the outcome.
	RetrySameKey = "same_key"
	// RetryNewKey says that the key is closed and another try needs a key of its own.
	RetryNewKey = "new_key"
)

// Problem is a refusal or failure as an RFC 9457 document with a typed outcome.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	RequestID string  `json:"request_id,omitempty"`
	Outcome   Outcome `json:"outcome"`
	// RetryAfterMS is when to come back, in milliseconds; 0 says that coming back does not help.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RetryWith    string `json:"retry_with,omitempty"`
}

// NewProblem returns a problem of the kind with the status and title that belong to it.
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

// Kind returns the kind that the type names.
func (p Problem) Kind() Kind {
	if len(p.Type) < len(kindPrefix) {
		return ""
	}
	return Kind(p.Type[len(kindPrefix):])
}

// Error renders the problem in one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Kind(), p.Outcome, p.Detail)
}

// WithRequestID returns a copy that names the request.
func (p Problem) WithRequestID(id string) Problem {
	p.RequestID = id
	return p
}

// WithOutcome returns a copy with another outcome.
func (p Problem) WithOutcome(o Outcome) Problem {
	p.Outcome = o
	return p
}

// WithRetry returns a copy that tells when to come back and with which key.
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
	case KindUpstream, KindCut:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
