package burn

import (
	"sync"
	"time"
)

const (
	// BucketLength is the time resolution of a Meter.
	BucketLength = 10 * time.Second
	// History is the longest window that a Meter covers.
	History = 6 * time.Hour
	buckets = int(History / BucketLength)
)

// Meter counts good and bad requests in a ring of time buckets. It is safe for concurrent use.
type Meter struct {
	mu   sync.Mutex
	ring [buckets]bucket
}

// bucket counts the requests of one interval. index is the Unix time of the interval divided by BucketLength.
type bucket struct {
	index int64
	good  int64
	bad   int64
}

// Add counts one request that ended at the time now.
func (m *Meter) Add(now time.Time, good bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	index := now.UnixNano() / int64(BucketLength)
	b := &m.ring[index%int64(buckets)]
	if b.index != index {
		*b = bucket{
			index: index,
		}
	}
	if good {
		b.good++
		return
	}
	b.bad++
}

// Sum returns the numbers of good and bad requests in the window that ends at the time now. The window is at most History.
func (m *Meter) Sum(now time.Time, window time.Duration) (good, bad int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := now.UnixNano() / int64(BucketLength)
	first := last - int64(window/BucketLength) + 1
	for index := first; index <= last; index++ {
		b := m.ring[index%int64(buckets)]
		if b.index == index {
			good += b.good
			bad += b.bad
		}
	}
	return good, bad
}

// Rate returns the burn rate: the fraction of bad requests divided by the fraction that the objective allows. It returns 0 if there are no requests.
func Rate(good, bad int64, objective float64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}
