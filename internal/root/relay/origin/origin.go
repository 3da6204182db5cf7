package origin

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// ErrInvalidOrigin is returned for an origin without a pool or a version.
var ErrInvalidOrigin = errors.New("origin needs a pool and a version")

// Key identifies a stream over all attempts of its caller.
type Key uint64

// KeyOf returns the key of the stream whose first event the caller received in the response to the request with the ID. Two accounts may use the same ID.
func KeyOf(account, request string) Key {
	return Key(xxhash.Sum64String(account + "\x00" + request))
}

// Lookup says which stream is looked for.
type Lookup struct {
	Key Key
	// Named reports that the caller names the stream. Otherwise nothing can be found under Key, and that nothing is known there tells nothing of the stream.
	Named bool
	Scope Scope
}

// Scope says where a stream of a route may have begun.
type Scope struct {
	// Pools are those to which requests of the route are sent, or were sent within Lifetime. The first one is where the stream goes on if all have had the same version.
	Pools []string
	// Lifetime is the longest time of a stream of the route.
	Lifetime time.Duration
}

// UnknownVersion is the Version of a stream that began at a process whose software version is not known.
const UnknownVersion = "(unknown)"

// Origin is where a stream began. The zero value means that this is not known.
type Origin struct {
	Pool string `json:"pool"`
	// Version is the software version of the upstream at the time of the send.
	Version string `json:"version"`
	// Upstream is the start of the upstream that began the stream.
	Upstream route.Incarnation `json:"upstream"`
	// Confirmed reports that the process that began the stream was the one that the upstream's row describes, by its own statement.
	Confirmed bool `json:"confirmed,omitempty"`
	// Unanswered reports that the version is unknown because the process did not say when it started, which does not show that another one had taken its place.
	Unanswered bool `json:"unanswered,omitempty"`
	// SentAt is when the request was sent that began the stream, by the clock of this host.
	SentAt time.Time `json:"-"`
}

// Known reports whether o says where the stream began.
func (o Origin) Known() bool {
	return o.Version != "" && o.Version != UnknownVersion
}

// IsConcluded reports whether o was concluded from the versions of pools, so that the upstream is not known.
func (o Origin) IsConcluded() bool {
	return o.Upstream.Name == ""
}

// matches reports whether both describe the same pool and version.
func (o Origin) matches(other Origin) bool {
	return o.Pool == other.Pool && o.Version == other.Version
}

// UnmarshalJSON decodes an origin and checks that it has a pool and a version.
func (o *Origin) UnmarshalJSON(b []byte) error {
	type plain Origin
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode origin: %w", err)
	}
	if p.Pool == "" || p.Version == "" {
		return fmt.Errorf("check origin: %w", ErrInvalidOrigin)
	}
	*o = Origin(p)
	return nil
}
