package wire

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunglas/httpsfv"
	"github.com/pkg/errors"
)

// Headers that callers and entry hosts use.
const (
	// HeaderKey is defined by draft-ietf-httpapi-idempotency-key-header.
	HeaderKey = "Idempotency-Key"
	// HeaderPriority is defined by RFC 9218.
	HeaderPriority = "Priority"
	// HeaderPrefer is defined by RFC 7240. Its wait preference sets the deadline in seconds.
	HeaderPrefer = "Prefer"
	// HeaderTimeout is defined by gRPC over HTTP/2. Its value is the timeout of the request, an integer and a unit from
	// H (hours) to n (nanoseconds).
	HeaderTimeout = "Grpc-Timeout"
	// HeaderAttempts is defined by the gRPC retry design. It counts the earlier sends of the same request.
	HeaderAttempts = "Grpc-Previous-Rpc-Attempts"
	// HeaderRequestID holds the ID of a request, or of one attempt of a stage.
	HeaderRequestID = "X-Request-Id"
	// HeaderRetryAfter is defined by RFC 9110. This API uses whole seconds.
	HeaderRetryAfter = "Retry-After"
	// HeaderReplayed marks an answer that was replayed from the stored record of an earlier send.
	HeaderReplayed = "Idempotency-Replayed"
)

// Media types of the HTTP interface.
const (
	TypeJSON    = "application/json"
	TypeProblem = "application/problem+json"
	TypeStream  = "text/event-stream"
)

// Urgencies of RFC 9218, from 0 (most urgent) to 7.
const (
	DefaultUrgency = 3
	maxUrgency     = 7
	// PatientUrgency is the smallest, most urgent value of a patient request. Requests with an urgency from PatientUrgency to 7 are
	// patient: they may be queued, so that more urgent requests are served first.
	PatientUrgency = 5
)

const (
	maxKeyBytes      = 200
	maxTimeoutDigits = 8
)

// Errors that the header functions return. Their texts are sent to callers.
var (
	ErrKey      = errors.New("Idempotency-Key must be 1 to 200 printable ASCII characters without spaces")
	ErrPriority = errors.New("Priority must be a dictionary with u from 0 to 7, for instance u=1")
	ErrDeadline = errors.New("deadline must be Prefer: wait=SECONDS or Grpc-Timeout with unit H, M, S, m, u or n, above zero")
	ErrAttempts = errors.New("Grpc-Previous-Rpc-Attempts must be a whole number")
)

// Key returns the idempotency key without the quotes of a structured-field string, or "" if the header is absent. It
// returns ErrKey if the key is empty, longer than 200 bytes, or contains "/", a space or a character outside printable
// ASCII.
func Key(h http.Header) (string, error) {
	key := strings.Trim(h.Get(HeaderKey), `"`)
	if key == "" && h.Get(HeaderKey) == "" {
		return "", nil
	}
	if key == "" || len(key) > maxKeyBytes {
		return "", ErrKey
	}
	for _, r := range key {
		if r <= ' ' || r > '~' || r == '/' {
			return "", ErrKey
		}
	}
	return key, nil
}

// Urgency returns the urgency of the Priority header, from 0 to 7, or DefaultUrgency if none is given.
func Urgency(h http.Header) (int, error) {
	values := h.Values(HeaderPriority)
	if len(values) == 0 {
		return DefaultUrgency, nil
	}
	dict, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return 0, ErrPriority
	}
	member, ok := dict.Get("u")
	if !ok {
		return DefaultUrgency, nil
	}
	item, ok := member.(httpsfv.Item)
	if !ok {
		return 0, ErrPriority
	}
	u, ok := item.Value.(int64)
	if !ok || u < 0 || u > maxUrgency {
		return 0, ErrPriority
	}
	return int(u), nil
}

// Timeout returns the timeout that the caller requested, or 0 if none. Grpc-Timeout takes precedence over Prefer.
func Timeout(h http.Header) (time.Duration, error) {
	if v := h.Get(HeaderTimeout); v != "" {
		return grpcTimeout(v)
	}
	values := h.Values(HeaderPrefer)
	if len(values) == 0 {
		return 0, nil
	}
	dict, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		// RFC 7240 requires servers to ignore preferences that they do not understand.
		return 0, nil
	}
	member, ok := dict.Get("wait")
	if !ok {
		return 0, nil
	}
	item, ok := member.(httpsfv.Item)
	if !ok {
		return 0, ErrDeadline
	}
	secs, ok := item.Value.(int64)
	if !ok || secs <= 0 || secs > int64(math.MaxInt64/time.Second) {
		return 0, ErrDeadline
	}
	return time.Duration(secs) * time.Second, nil
}

func grpcTimeout(v string) (time.Duration, error) {
	units := map[byte]time.Duration{
		'H': time.Hour,
		'M': time.Minute,
		'S': time.Second,
		'm': time.Millisecond,
		'u': time.Microsecond,
		'n': time.Nanosecond,
	}
	digits := v[:len(v)-1]
	unit, ok := units[v[len(v)-1]]
	if !ok || digits == "" || len(digits) > maxTimeoutDigits {
		return 0, ErrDeadline
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || n == 0 {
		return 0, ErrDeadline
	}
	if n > uint64(math.MaxInt64/unit) {
		return 0, ErrDeadline
	}
	return time.Duration(n) * unit, nil
}

// Attempts returns how many times the caller has sent the request before, or 0 if the header is absent.
func Attempts(h http.Header) (int, error) {
	v := h.Get(HeaderAttempts)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		return 0, ErrAttempts
	}
	return n, nil
}

// RetryAfter formats a wait for the Retry-After header: rounded up to whole seconds, at least 1.
func RetryAfter(d time.Duration) string {
	return strconv.FormatInt(int64(max(1, math.Ceil(d.Seconds()))), 10)
}
