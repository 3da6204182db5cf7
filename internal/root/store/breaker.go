package store

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of consecutive failures at which the breaker opens.
	failureThreshold = 3
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// Breaker is a circuit breaker. After failureThreshold consecutive failures it opens: it rejects all calls except for one probe per interval.
// The interval doubles with each failed probe up to maxProbeInterval. A successful call closes the breaker.
// It is safe for concurrent use.
type Breaker struct {
	mu            sync.Mutex
	failures      int
	probeInterval time.Duration
	nextProbe     time.Time
}

// Allow reports whether a call is permitted at now. While the breaker is open, the permitted call is the probe of this interval.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(b.probeInterval)
	return true
}

// Done records the result of a permitted call.
func (b *Breaker) Done(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		b.probeInterval = minProbeInterval
		return
	}
	b.failures++
	if b.failures < failureThreshold {
		return
	}
	b.probeInterval = min(max(b.probeInterval*2, minProbeInterval), maxProbeInterval)
	b.nextProbe = now.Add(b.probeInterval)
}

// Outage reports whether the breaker is open, and the time until the next probe is permitted.
func (b *Breaker) Outage(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return 0, false
	}
	return max(b.nextProbe.Sub(now), 0), true
}
