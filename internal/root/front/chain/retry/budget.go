package retry

import "sync"

const (
	// earned is what one fresh request adds to the budget, in retries, unless an option says otherwise.
	earned = 0.1
	// reserve is what the budget holds at the most, in retries, unless an option says otherwise.
	reserve = 20
)

// Budget bounds retries to a share of the fresh work.
type Budget struct {
	earned  float64
	reserve float64

	mu     sync.Mutex
	tokens float64
}

// Option changes a Budget under construction.
type Option func(*Budget)

// WithRatio sets how many retries one fresh request adds.
func WithRatio(ratio float64) Option {
	return func(b *Budget) {
		b.earned = ratio
	}
}

// WithReserve sets how many retries the budget holds at the most.
func WithReserve(retries float64) Option {
	return func(b *Budget) {
		b.reserve = retries
	}
}

// NewBudget returns a full budget.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{
		earned:  earned,
		reserve: reserve,
	}
	for _, o := range opts {
		o(b)
	}
	b.tokens = b.reserve
	return b
}

// Limit sets how many retries the budget holds at the most; what it holds above that is lost.
func (b *Budget) Limit(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// Earn counts a fresh request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.reserve, b.tokens+b.earned)
}

// Spend takes one retry from the budget, and reports false where none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
