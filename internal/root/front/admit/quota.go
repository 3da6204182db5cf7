package admit

import (
	"sync"
	"time"
)

const (
	// burstTime is how much of its rate an account may use at once.
	burstTime = time.Second
	// minBurst lets an account with a small rate send at all.
	minBurst = 1
)

// Quota limits the rate of each account on this host to its share of the limit over all hosts.
type Quota struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

// NewQuota returns a quota that has seen no account.
func NewQuota() *Quota {
	return &Quota{
		buckets: map[string]*bucket{},
	}
}

// Take takes one request of the account at now, whose rate on this host is given in requests a second.
// It returns 0 if the request is within the limit, and otherwise when to come back.
func (q *Quota) Take(now time.Time, account string, rate float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	burst := max(minBurst, rate*burstTime.Seconds())
	b, ok := q.buckets[account]
	if !ok {
		b = &bucket{
			tokens: burst,
			at:     now,
		}
		q.buckets[account] = b
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	// A wait that rounds to nothing would read as leave to go on.
	return max(1, time.Duration((1-b.tokens)/rate*float64(time.Second)))
}
