package grant

import (
	"sync"
	"time"
)

// Recency tells how recently the local configuration was confirmed, for requests that are refused because it lacks something. It is safe for concurrent use.
type Recency struct {
	lease *Lease
	// within is the time within which a change must be in force.
	within time.Duration

	mu    sync.Mutex
	stats RecencyStats
}

// RecencyStats counts the requests that were refused because the local configuration lacks their route or key.
type RecencyStats struct {
	Refused int64 `json:"refused"`
	// OldestMS is the highest age that the confirmation of the configuration had at such a refusal, in milliseconds.
	OldestMS int64 `json:"oldest_ms"`
	// Overdue counts those whose confirmation was so old, if there was one, that a change which must be in force can be missing.
	Overdue int64 `json:"overdue"`
}

// NewRecency returns the recency of the configuration that the lease is for. A change of it must be in force within the given time.
func NewRecency(lease *Lease, within time.Duration) *Recency {
	return &Recency{
		lease:  lease,
		within: within,
	}
}

// NoteRefusal records a refusal, and returns the age of the confirmation that it rests on, or false if there was no confirmation.
func (r *Recency) NoteRefusal() (time.Duration, bool) {
	age, ok := r.lease.Age()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Refused++
	if ok {
		r.stats.OldestMS = max(r.stats.OldestMS, age.Milliseconds())
	}
	if !ok || age > r.within {
		r.stats.Overdue++
	}
	return age, ok
}

// Stats returns the counts so far.
func (r *Recency) Stats() RecencyStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}
