package admit

import (
	"sync"
	"time"
)

const (
	// burstWindow determines the size of a bucket: it holds as many tokens as the rate of the account adds in this time, which is how many requests the account may send at once.
	burstWindow = time.Second
	// minBurst is the smallest bucket size. With a smaller bucket, an account with a rate below 1 request per second could not send any request.
	minBurst = 1
)

// RateLimiter limits the request rate of each account on this host with token buckets. It is safe for concurrent use.
type RateLimiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the token bucket of one account.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewRateLimiter returns a rate limiter without any buckets.
func NewRateLimiter() *RateLimiter {
	return &RateLimiter{
		buckets: map[string]*bucket{},
	}
}

// Take takes a token from the account's bucket at the time now.
// The rate is this host's share of the account's limit over all hosts, in requests per second.
// It returns 0 if the request is within the limit, and otherwise how long the client should wait before it retries.
func (l *RateLimiter) Take(now time.Time, account string, rate float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	burst := max(minBurst, rate*burstWindow.Seconds())
	b, ok := l.buckets[account]
	if !ok {
		b = &bucket{
			tokens:     burst,
			refilledAt: now,
		}
		l.buckets[account] = b
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	// A delay that rounds to 0 is raised to 1 ns, because 0 would mean that the request is within the limit.
	return max(1, time.Duration((1-b.tokens)/rate*float64(time.Second)))
}
