package blame

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

// MaxParts is the maximum number of prompt parts of one request that can be blamed.
const MaxParts = 16

// ErrInvalidRequest is returned for a request without a fingerprint or with too many parts.
var ErrInvalidRequest = errors.New("request needs a fingerprint and at most 16 parts")

// Request is what can be blamed for a crash: a request as a whole, and the parts of its prompt that other requests share.
type Request struct {
	Own   crash.Fingerprint   `json:"own"`
	Parts []crash.Fingerprint `json:"parts,omitempty"`
}

// PartFingerprint returns the fingerprint of a prompt part for the upstreams of one pool, as the upstreams of another pool may run other software.
func PartFingerprint(pool, id string) crash.Fingerprint {
	return crash.FingerprintOf(nil, "part", pool, id)
}

// UnmarshalJSON decodes a request and checks its fingerprints.
func (r *Request) UnmarshalJSON(b []byte) error {
	type plain Request
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	if p.Own == 0 || len(p.Parts) > MaxParts {
		return fmt.Errorf("check request: %w", ErrInvalidRequest)
	}
	*r = Request(p)
	return nil
}

// Fingerprints returns the fingerprint of the request as a whole and those of its parts.
func (r Request) Fingerprints() []crash.Fingerprint {
	return append([]crash.Fingerprint{r.Own}, r.Parts...)
}

// has reports whether the fingerprint is one of the request's.
func (r Request) has(f crash.Fingerprint) bool {
	return r.Own == f || slices.Contains(r.Parts, f)
}

// hasAll reports whether all of the fingerprints are the request's.
func (r Request) hasAll(list []crash.Fingerprint) bool {
	for _, f := range list {
		if !r.has(f) {
			return false
		}
	}
	return true
}
