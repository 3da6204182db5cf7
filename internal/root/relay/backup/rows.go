package backup

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

const (
	// versionsKey is the key of the row with the versions of all pools.
	versionsKey = "versions"
	// crashesKey is the key of the row with what crashes upstreams.
	crashesKey = "crashes"
	// suspectsKey is the key of the row with what may crash upstreams and is not blocked yet. Older builds ignore it.
	suspectsKey = "suspects"
	// streamsPrefix begins the keys of rows with streams.
	streamsPrefix = "streams/"
	// maxRowBytes is less than what the store takes, 64 KiB, and maxStreamsPerRow keeps rows with streams below it.
	maxRowBytes      = 60 << 10
	maxStreamsPerRow = 150
)

// ErrInvalidRow is returned for a row whose times contradict each other.
var ErrInvalidRow = errors.New("times of the row are not valid")

// streamRecord is one stream in a row. Its times are those of the store's clock, in milliseconds.
type streamRecord struct {
	Key    origin.Key    `json:"key"`
	Origin origin.Origin `json:"origin"`
	// SentMS is when the request was sent that began the stream, and UntilMS until when its caller may resume it.
	SentMS  int64 `json:"sent_ms"`
	UntilMS int64 `json:"until_ms"`
}

// UnmarshalJSON decodes a record and checks its times.
func (r *streamRecord) UnmarshalJSON(b []byte) error {
	type plain streamRecord
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode stream: %w", err)
	}
	if p.UntilMS < p.SentMS {
		return fmt.Errorf("check stream: %w", ErrInvalidRow)
	}
	*r = streamRecord(p)
	return nil
}

// streamsRow is a row with streams.
type streamsRow struct {
	Streams []streamRecord `json:"streams"`
}

// expired reports whether no caller may resume any of the streams.
func (r streamsRow) expired(nowMS int64) bool {
	for _, s := range r.Streams {
		if nowMS < s.UntilMS {
			return false
		}
	}
	return true
}

// poolVersion is the only version of a pool, or "" if it had several, since a time of the store's clock in milliseconds.
type poolVersion struct {
	Version string `json:"version"`
	SinceMS int64  `json:"since_ms"`
}

// routeDigest is a digest of the pools of routes, which has been the same since a time of the store's clock in milliseconds.
type routeDigest struct {
	Digest  uint32 `json:"digest"`
	SinceMS int64  `json:"since_ms"`
}

// versionsRow is the row with the versions of all pools at a time of the store's clock, in milliseconds.
type versionsRow struct {
	AtMS  int64                  `json:"at_ms"`
	Pools map[string]poolVersion `json:"pools"`
	// SettledEra is the era of the store in which the operator has had the time to write its configuration again, or "".
	SettledEra string `json:"settled_era,omitempty"`
	// Routes are the digests of the routes with resumable streams. A host of an older build writes none.
	Routes []routeDigest `json:"routes,omitempty"`
}

// UnmarshalJSON decodes the row and checks its times.
func (r *versionsRow) UnmarshalJSON(b []byte) error {
	type plain versionsRow
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode versions: %w", err)
	}
	for _, v := range p.Pools {
		if v.SinceMS > p.AtMS {
			return fmt.Errorf("check versions: %w", ErrInvalidRow)
		}
	}
	for _, d := range p.Routes {
		if d.SinceMS > p.AtMS {
			return fmt.Errorf("check routes: %w", ErrInvalidRow)
		}
	}
	*r = versionsRow(p)
	return nil
}

// crashesRow is a row with what crashes upstreams, or may crash them, at a time of the store's clock, in milliseconds.
type crashesRow struct {
	AtMS     int64        `json:"at_ms"`
	Evidence blame.Update `json:"evidence"`
}

// fitting returns the row without its oldest crashes, as far as it would be too large for the store with them.
func (r crashesRow) fitting() crashesRow {
	for {
		encoded, err := json.Marshal(r)
		if err != nil || len(encoded) <= maxRowBytes || len(r.Evidence.Crashes) == 0 {
			return r
		}
		kept := slices.SortedFunc(slices.Values(r.Evidence.Crashes), func(a, b blame.CrashRecord) int {
			return cmp.Compare(a.AgeMS, b.AgeMS)
		})
		r.Evidence.Crashes = kept[:len(kept)/2]
	}
}

// holdsStreams reports whether the row with the key holds streams.
func holdsStreams(key string) bool {
	return strings.HasPrefix(key, streamsPrefix)
}
