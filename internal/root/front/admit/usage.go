package admit

import (
	"sync"
	"time"
)

const (
	// usageSpan is the length of one generation of usage; the one before it fades out over the next.
	usageSpan = 5 * time.Second
	// usageSlack is how far above its share an account may be before it counts as over it.
	usageSlack = 1.2
)

// Usage knows how the work of this host is shared among the accounts that are active.
type Usage struct {
	mu    sync.Mutex
	began time.Time
	now   generation
	past  generation
}

// generation is the usage of one span of time.
type generation struct {
	used    map[string]float64
	total   float64
	weights float64
}

func newGeneration() generation {
	return generation{
		used: map[string]float64{},
	}
}

// NewUsage returns a usage without any account.
func NewUsage() *Usage {
	return &Usage{
		now:  newGeneration(),
		past: newGeneration(),
	}
}

// Add counts one request that an account asks for, admitted or not, and reports whether the account is over its share.
// Where it alone is active all of the host is its share.
func (u *Usage) Add(now time.Time, account string, weight int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turn(now)
	if _, ok := u.now.used[account]; !ok {
		u.now.weights += float64(weight)
	}
	u.now.used[account]++
	u.now.total++
	fade := 1 - float64(now.Sub(u.began))/float64(usageSpan)
	mine := u.now.used[account] + fade*u.past.used[account]
	total := u.now.total + fade*u.past.total
	// A generation that has just begun does not know every active account yet.
	weights := max(u.now.weights, u.past.weights)
	return mine > usageSlack*total*float64(weight)/weights+1
}

func (u *Usage) turn(now time.Time) {
	age := now.Sub(u.began)
	if age < usageSpan {
		return
	}
	u.past = u.now
	if age >= 2*usageSpan {
		u.past = newGeneration()
	}
	u.now = newGeneration()
	u.began = now
}
