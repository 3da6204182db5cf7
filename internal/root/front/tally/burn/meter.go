package burn

import (
	"sync"
	"time"
)

const (
	// Bucket is the resolution of a meter.
	Bucket = 10 * time.Second
	// Span is how far back a meter reaches.
	Span    = 6 * time.Hour
	buckets = int(Span / Bucket)
)

// Meter counts good and bad requests in buckets of time.
type Meter struct {
	mu   sync.Mutex
	ring [buckets]bucket
}

type bucket struct {
	slot int64
	good int64
	bad  int64
}

// Add counts one request that ended at now.
func (m *Meter) Add(now time.Time, good bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := now.UnixNano() / int64(Bucket)
	b := &m.ring[slot%int64(buckets)]
	if b.slot != slot {
		*b = bucket{
			slot: slot,
		}
	}
	if good {
		b.good++
		return
	}
	b.bad++
}

// Sum returns the requests of the window that ends at now.
func (m *Meter) Sum(now time.Time, window time.Duration) (good, bad int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := now.UnixNano() / int64(Bucket)
	first := last - int64(window/Bucket) + 1
	for slot := first; slot <= last; slot++ {
		b := m.ring[slot%int64(buckets)]
		if b.slot == slot {
			good += b.good
			bad += b.bad
		}
	}
	return good, bad
}

// Rate returns how many times faster than the objective allows its budget is used in the window; 0 without requests.
func Rate(good, bad int64, objective float64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}
