package admit

import (
	"sync"
	"time"
)

const (
	// usageWindow is the length of one counting window. The weight of the previous window falls linearly to zero over the current one.
	usageWindow = 5 * time.Second
	// shareTolerance is the multiple of its share that an account may use before it counts as over its share.
	shareTolerance = 1.2
)

// UsageTracker tracks how the requests on this host are distributed over the active accounts. It is safe for concurrent use.
type UsageTracker struct {
	mu          sync.Mutex
	windowStart time.Time
	// now holds the usage of the current window, previous the usage of the window before it.
	now      windowUsage
	previous windowUsage
}

// windowUsage counts the requests of one window, by account and in total, and sums the weights of the accounts.
type windowUsage struct {
	requests map[string]float64
	total    float64
	weights  float64
}

func newWindowUsage() windowUsage {
	return windowUsage{
		requests: map[string]float64{},
	}
}

// NewUsageTracker returns a tracker without any recorded requests.
func NewUsageTracker() *UsageTracker {
	return &UsageTracker{
		now:      newWindowUsage(),
		previous: newWindowUsage(),
	}
}

// Add counts a request of the account, whether or not it is admitted later, and reports whether the account is over its share.
// The share of an account is its weight relative to the weights of all active accounts; a single active account has a share of 1.
func (t *UsageTracker) Add(now time.Time, account string, weight int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if _, ok := t.now.requests[account]; !ok {
		t.now.weights += float64(weight)
	}
	t.now.requests[account]++
	t.now.total++
	previousFactor := 1 - float64(now.Sub(t.windowStart))/float64(usageWindow)
	used := t.now.requests[account] + previousFactor*t.previous.requests[account]
	total := t.now.total + previousFactor*t.previous.total
	// A new window has not counted every active account yet, so the weights of the previous window may be more complete.
	weights := max(t.now.weights, t.previous.weights)
	return used > shareTolerance*total*float64(weight)/weights+1
}

// rotate starts a new window if the current one is complete. The caller holds t.mu.
func (t *UsageTracker) rotate(now time.Time) {
	age := now.Sub(t.windowStart)
	if age < usageWindow {
		return
	}
	t.previous = t.now
	if age >= 2*usageWindow {
		t.previous = newWindowUsage()
	}
	t.now = newWindowUsage()
	t.windowStart = now
}
