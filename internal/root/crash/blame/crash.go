package blame

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

// MaxRequests is the maximum number of requests of one crash that are remembered.
const MaxRequests = 128

// ErrInvalidUpdate is returned for a crash without an upstream, with too many requests, or with a negative age.
var ErrInvalidUpdate = errors.New("update about crashes is not valid")

// Crash is the crash of one start of an upstream, with the requests that were in progress there.
type Crash struct {
	// Upstream identifies the start of the upstream.
	Upstream string
	At       time.Time
	Requests []Request
	// Late holds the requests that the upstream had been answering for a while, and PoolSize how many upstreams its pool had, or 0 if that is not known.
	Late     []LateRun
	PoolSize int
}

// Survival is the last time at which an upstream was seen to survive a request with the fingerprint.
type Survival struct {
	Fingerprint crash.Fingerprint
	At          time.Time
}

// Update is what one host tells another. Times are ages, as the clocks of hosts differ.
type Update struct {
	Crashes   []CrashRecord    `json:"crashes,omitempty"`
	Survivals []SurvivalRecord `json:"survivals,omitempty"`
}

// CrashRecord is a Crash in an Update.
type CrashRecord struct {
	Upstream string    `json:"upstream"`
	AgeMS    int64     `json:"age_ms"`
	Requests []Request `json:"requests"`
	// Late and PoolSize are not known to older builds.
	Late     []LateRun `json:"late,omitempty"`
	PoolSize int       `json:"pool_size,omitempty"`
}

// SurvivalRecord is a Survival in an Update.
type SurvivalRecord struct {
	Fingerprint crash.Fingerprint `json:"print"`
	AgeMS       int64             `json:"age_ms"`
}

// UnmarshalJSON decodes a crash and checks its upstream, its age and the number of its requests.
func (c *CrashRecord) UnmarshalJSON(b []byte) error {
	type plain CrashRecord
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode crash: %w", err)
	}
	if p.Upstream == "" || p.AgeMS < 0 || len(p.Requests) > MaxRequests || len(p.Late) > MaxRequests || p.PoolSize < 0 {
		return fmt.Errorf("check crash: %w", ErrInvalidUpdate)
	}
	*c = CrashRecord(p)
	return nil
}

// UnmarshalJSON decodes a survival and checks its age.
func (s *SurvivalRecord) UnmarshalJSON(b []byte) error {
	type plain SurvivalRecord
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode survival: %w", err)
	}
	if p.AgeMS < 0 {
		return fmt.Errorf("check survival: %w", ErrInvalidUpdate)
	}
	*s = SurvivalRecord(p)
	return nil
}

// NewUpdate returns the update that describes crashes and survivals at the time now.
func NewUpdate(now time.Time, crashes []Crash, survivals []Survival) Update {
	var u Update
	for _, c := range crashes {
		u.Crashes = append(u.Crashes, CrashRecord{
			Upstream: c.Upstream,
			AgeMS:    ageMS(now, c.At),
			Requests: c.Requests,
			Late:     c.Late,
			PoolSize: c.PoolSize,
		})
	}
	for _, s := range survivals {
		u.Survivals = append(u.Survivals, SurvivalRecord{
			Fingerprint: s.Fingerprint,
			AgeMS:       ageMS(now, s.At),
		})
	}
	return u
}

func ageMS(now, at time.Time) int64 {
	return max(0, now.Sub(at).Milliseconds())
}

// WithAge returns the update as it reads when the given time has passed.
func (u Update) WithAge(passed time.Duration) Update {
	var out Update
	for _, c := range u.Crashes {
		c.AgeMS += passed.Milliseconds()
		out.Crashes = append(out.Crashes, c)
	}
	for _, s := range u.Survivals {
		s.AgeMS += passed.Milliseconds()
		out.Survivals = append(out.Survivals, s)
	}
	return out
}

// Empty reports whether the update says nothing.
func (u Update) Empty() bool {
	return len(u.Crashes) == 0 && len(u.Survivals) == 0
}
