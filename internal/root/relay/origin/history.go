package origin

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// maxSilence is the longest time between two readings of the upstreams within which no upstream can have come and gone unnoticed.
	maxSilence = 3 * time.Second
	// maxAge is how long ago the upstreams were up to date at the most for what is told with its age. A call that waits for changes is in progress meanwhile.
	maxAge = maxSilence + 2*time.Second
	// maxGap is the longest time between the last word of earlier hosts on a pool and the first reading of this host within which they count as one.
	maxGap = 15 * time.Second
)

// ErrInvalidSole is returned for a Sole that has lasted for a negative time.
var ErrInvalidSole = errors.New("time is negative")

// Sole states that all upstreams of a pool have the same software version.
type Sole struct {
	// Version is "" if the upstreams have several versions, or if one of them states none.
	Version string `json:"version"`
	// ForMS is how long this has been so, in milliseconds, also by what earlier hosts wrote.
	ForMS int64 `json:"for_ms"`
	// SeenMS is the part of it in which the host that states it followed the upstreams itself. A host of an older build states none.
	SeenMS int64 `json:"seen_ms,omitempty"`
	// Previous is the version that all upstreams had until others came beside them, if the host saw that happen. PreviousForMS is how long ago they began to have it, in milliseconds.
	Previous      string `json:"previous,omitempty"`
	PreviousForMS int64  `json:"previous_for_ms,omitempty"`
}

// UnmarshalJSON decodes a Sole and checks its time.
func (s *Sole) UnmarshalJSON(b []byte) error {
	type plain Sole
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode sole version: %w", err)
	}
	if p.ForMS < 0 || p.SeenMS < 0 || p.PreviousForMS < 0 {
		return fmt.Errorf("check sole version: %w", ErrInvalidSole)
	}
	*s = Sole(p)
	return nil
}

// soleVersion is the sole version of a pool, and since when it is.
type soleVersion struct {
	version string
	since   time.Time
	// seenSince is since when this host has followed the upstreams and found this version alone. since is earlier where earlier hosts found it, too.
	seenSince time.Time
	// mayBeOlder reports that seenSince is only when this host began to read the upstreams, or did so again.
	mayBeOlder bool
	// changedAt is when this host last saw the pool change to another version, or zero.
	changedAt time.Time
	// previous is the version that the pool had alone until this host saw others come beside it, and previousSince since when it had it.
	previous      string
	previousSince time.Time
}

// Period is a time in which all upstreams of a pool had one version, or several if Version is "".
type Period struct {
	Version  string
	From, To time.Time
}

// History knows since when all upstreams of a pool have had the same software version. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	pools map[string]soleVersion
	// earlier holds what earlier hosts knew.
	earlier map[string]Period
	// confirmedAt is the start of the last successful call for changes of the upstreams, and followedSince that of the first one since when none was missed.
	confirmedAt   time.Time
	followedSince time.Time
	// interruptedAt is when an upstream was last found to have come and gone, or zero.
	interruptedAt time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		pools:   map[string]soleVersion{},
		earlier: map[string]Period{},
	}
}

// Confirm records that the upstreams were up to date at the given time. After a long silence the history begins anew, as there is no telling what was missed.
func (h *History) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmedAt.IsZero() {
		h.followedSince = at
	}
	if !h.confirmedAt.IsZero() && at.Sub(h.confirmedAt) > maxSilence {
		h.beginAnew(at)
	}
	h.confirmedAt = at
}

// Interrupt records that an upstream has come and gone of which nothing is known. The history begins anew.
func (h *History) Interrupt(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.followedSince.IsZero() {
		h.interruptedAt = at
		h.beginAnew(at)
	}
}

// Interrupted reports whether an upstream was found to have come and gone so short a time ago that others may still state what they read before.
func (h *History) Interrupted(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.interruptedAt.IsZero() && now.Sub(h.interruptedAt) <= maxAge
}

// beginAnew begins the history anew, as something may have been missed before the given time. The caller holds the lock.
func (h *History) beginAnew(at time.Time) {
	h.followedSince = at
	for name, v := range h.pools {
		v.since = at
		v.seenSince = at
		v.mayBeOlder = true
		v.previous = ""
		h.pools[name] = v
		h.joinEarlier(name)
	}
}

// Sync replaces the upstreams, and returns the pools that have several versions now but did not before.
func (h *History) Sync(now time.Time, ups []route.Upstream) (mixed []string) {
	found := map[string]string{}
	unstated := map[string]bool{}
	for _, u := range ups {
		unstated[u.Pool] = unstated[u.Pool] || u.Version == ""
		if v, ok := found[u.Pool]; ok && v != u.Version {
			found[u.Pool] = ""
			continue
		}
		found[u.Pool] = u.Version
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for pool, v := range found {
		old, known := h.pools[pool]
		if known && old.version == v {
			continue
		}
		next := soleVersion{
			version:    v,
			since:      now,
			seenSince:  now,
			mayBeOlder: !known,
		}
		if known {
			next.changedAt = now
		}
		// A process of an unknown version may have been there for longer than this host knows.
		if v == "" && !unstated[pool] {
			next.previous = old.version
			next.previousSince = old.since
		}
		h.pools[pool] = next
		h.joinEarlier(pool)
		if v == "" {
			mixed = append(mixed, pool)
		}
	}
	return mixed
}

// AddEarlier adds what earlier hosts knew of a pool. It counts if the pool still had the same version when this host began to read the upstreams, which was soon after.
func (h *History) AddEarlier(pool string, p Period) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.earlier[pool] = p
	h.joinEarlier(pool)
}

// joinEarlier extends the time of the pool's version by what earlier hosts knew. The caller holds the lock.
func (h *History) joinEarlier(pool string) {
	v, known := h.pools[pool]
	e := h.earlier[pool]
	if !known || !v.mayBeOlder || e.Version != v.version || e.To.Before(v.changedAt) {
		return
	}
	if v.since.Sub(e.To) > maxGap || !e.From.Before(v.since) {
		return
	}
	v.since = e.From
	h.pools[pool] = v
}

// Mixed reports whether some pool has several versions.
func (h *History) Mixed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.pools {
		if v.version == "" {
			return true
		}
	}
	return false
}

// All returns what is known of all pools, and how long ago the upstreams were up to date. It returns false if they have not been read for long.
func (h *History) All(now time.Time) (pools map[string]Sole, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age = max(0, now.Sub(h.confirmedAt))
	if age > maxAge {
		return nil, 0, false
	}
	pools = map[string]Sole{}
	for pool, v := range h.pools {
		pools[pool] = v.at(now)
	}
	return pools, age, true
}

// Settled reports whether all pools in which a stream may have begun have had one and the same version for its lifetime. A pool without upstreams does not count.
func (h *History) Settled(now time.Time, scope Scope) bool {
	version := ""
	for _, pool := range scope.Pools {
		if h.Absent(now, pool, scope.Lifetime) {
			continue
		}
		s, ok := h.Sole(now, pool)
		if !ok || s.Version == "" || s.ForMS < scope.Lifetime.Milliseconds() || (version != "" && s.Version != version) {
			return false
		}
		version = s.Version
	}
	return version != ""
}

// Absent reports whether no stream can have begun in a pool within the given time, as it has had no upstreams for so long.
func (h *History) Absent(now time.Time, pool string, atLeast time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.pools[pool]
	if known || h.followedSince.IsZero() {
		return false
	}
	return now.Sub(h.confirmedAt) <= maxAge && now.Sub(h.followedSince) >= atLeast
}

// Age returns how long ago the upstreams were up to date, or the time since the Unix epoch if they were never read.
func (h *History) Age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmedAt.IsZero() {
		return now.Sub(time.Unix(0, 0))
	}
	return max(0, now.Sub(h.confirmedAt))
}

// Sole returns what is known of the sole version of a pool. It returns false if the pool is unknown, or if the upstreams have not been read for long.
func (h *History) Sole(now time.Time, pool string) (Sole, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.pools[pool]
	if !ok || now.Sub(h.confirmedAt) > maxSilence {
		return Sole{}, false
	}
	return v.at(now), true
}

// LastRead is Sole by what was read last, up to maxAge ago. It is for a caller that knows what has changed in the store since.
func (h *History) LastRead(now time.Time, pool string) (Sole, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.pools[pool]
	if !ok || now.Sub(h.confirmedAt) > maxAge {
		return Sole{}, false
	}
	return v.at(now), true
}

// SinceChange returns how long ago this host last saw the pool change to another version, or to several, or false if it never did.
func (h *History) SinceChange(now time.Time, pool string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.pools[pool].changedAt
	return max(0, now.Sub(at)), !at.IsZero()
}

// at returns what is stated of the version at a time.
func (v soleVersion) at(now time.Time) Sole {
	s := Sole{
		Version: v.version,
		ForMS:   max(0, now.Sub(v.since).Milliseconds()),
		SeenMS:  max(0, now.Sub(v.seenSince).Milliseconds()),
	}
	if v.previous != "" {
		s.Previous = v.previous
		s.PreviousForMS = max(0, now.Sub(v.previousSince).Milliseconds())
	}
	return s
}

// SeenVersion returns the sole version on which all of the statements agree, if one of them says that its host has seen it alone for at least the given time, and "" otherwise.
func SeenVersion(statements []Sole, atLeast time.Duration) string {
	return agreedVersion(statements, atLeast, func(s Sole) int64 { return s.SeenMS })
}

// AgreedVersion is SeenVersion that also believes what earlier hosts wrote. Nobody may have followed the upstreams between them and the present hosts.
func AgreedVersion(statements []Sole, atLeast time.Duration) string {
	return agreedVersion(statements, atLeast, func(s Sole) int64 { return s.ForMS })
}

func agreedVersion(statements []Sole, atLeast time.Duration, lasted func(Sole) int64) string {
	if len(statements) == 0 {
		return ""
	}
	version := statements[0].Version
	longest := int64(0)
	for _, s := range statements {
		if s.Version != version {
			return ""
		}
		longest = max(longest, lasted(s))
	}
	if longest < atLeast.Milliseconds() {
		return ""
	}
	return version
}

// PreviousVersion returns the version that a pool had alone until others came beside it, if all of the statements agree on it, and one of them says that it was alone since before the given time. A stream that none of the hosts knows which state this began at that version, unless another host may have begun it since.
func PreviousVersion(statements []Sole, atLeast time.Duration) string {
	if len(statements) == 0 {
		return ""
	}
	version := statements[0].Previous
	longest := int64(0)
	for _, s := range statements {
		if s.Version != "" || s.Previous != version {
			return ""
		}
		longest = max(longest, s.PreviousForMS)
	}
	if longest < atLeast.Milliseconds() {
		return ""
	}
	return version
}

// LongestMixed returns the longest time for which a pool has had several versions, according to the statements.
func LongestMixed(statements []Sole) time.Duration {
	longest := int64(0)
	for _, s := range statements {
		if s.Version == "" {
			longest = max(longest, s.ForMS)
		}
	}
	return time.Duration(longest) * time.Millisecond
}
