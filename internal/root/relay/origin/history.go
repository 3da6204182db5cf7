package origin

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// maxSilence is the longest time between two readings of the upstreams within which no upstream can have come and gone unnoticed.
const maxSilence = 3 * time.Second

// ErrInvalidSole is returned for a Sole that has lasted for a negative time.
var ErrInvalidSole = errors.New("time is negative")

// Sole states that all upstreams of a pool have the same software version.
type Sole struct {
	// Version is "" if the upstreams have several versions, or if one of them states none.
	Version string `json:"version"`
	// ForMS is how long this has been so, in milliseconds.
	ForMS int64 `json:"for_ms"`
}

// UnmarshalJSON decodes a Sole and checks its time.
func (s *Sole) UnmarshalJSON(b []byte) error {
	type plain Sole
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode sole version: %w", err)
	}
	if p.ForMS < 0 {
		return fmt.Errorf("check sole version: %w", ErrInvalidSole)
	}
	*s = Sole(p)
	return nil
}

// soleVersion is the sole version of a pool, and since when it is.
type soleVersion struct {
	version string
	since   time.Time
}

// History knows since when all upstreams of a pool have had the same software version. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	pools map[string]soleVersion
	// confirmedAt is the start of the last successful call for changes of the upstreams.
	confirmedAt time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		pools: map[string]soleVersion{},
	}
}

// Confirm records that the upstreams were up to date at the given time. After a long silence the history begins anew, as there is no telling what was missed.
func (h *History) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.Sub(h.confirmedAt) > maxSilence {
		for name, v := range h.pools {
			v.since = at
			h.pools[name] = v
		}
	}
	h.confirmedAt = at
}

// Sync replaces the upstreams.
func (h *History) Sync(now time.Time, ups []route.Upstream) {
	found := map[string]string{}
	for _, u := range ups {
		if v, ok := found[u.Pool]; ok && v != u.Version {
			found[u.Pool] = ""
			continue
		}
		found[u.Pool] = u.Version
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for pool, v := range found {
		if old, ok := h.pools[pool]; ok && old.version == v {
			continue
		}
		h.pools[pool] = soleVersion{
			version: v,
			since:   now,
		}
	}
}

// Sole returns what is known of the sole version of a pool. It returns false if the pool is unknown, or if the upstreams have not been read for long.
func (h *History) Sole(now time.Time, pool string) (Sole, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.pools[pool]
	if !ok || now.Sub(h.confirmedAt) > maxSilence {
		return Sole{}, false
	}
	return Sole{
		Version: v.version,
		ForMS:   max(0, now.Sub(v.since).Milliseconds()),
	}, true
}

// AgreedVersion returns the sole version on which all of the statements agree, if one of them says that it has lasted for at least the given time, and "" otherwise.
func AgreedVersion(statements []Sole, atLeast time.Duration) string {
	if len(statements) == 0 {
		return ""
	}
	version := statements[0].Version
	longest := int64(0)
	for _, s := range statements {
		if s.Version != version {
			return ""
		}
		longest = max(longest, s.ForMS)
	}
	if longest < atLeast.Milliseconds() {
		return ""
	}
	return version
}
