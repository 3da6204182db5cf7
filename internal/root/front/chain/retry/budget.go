package retry

import "sync"

const (
	// retriesPerRequest is the number of retries that each new request adds to the budget if WithRatio is not given.
	retriesPerRequest = 0.1
	// reserve is the maximum number of retries in the budget if WithReserve is not given.
	reserve = 20
)

// Budget is a token bucket that limits retries to a share of the new requests. It is safe for concurrent use.
type Budget struct {
	retriesPerRequest float64
	reserve           float64

	mu     sync.Mutex
	tokens float64
}

// Option changes a Budget under construction.
type Option func(*Budget)

// WithRatio sets the number of retries that each new request adds to the budget.
func WithRatio(ratio float64) Option {
	return func(b *Budget) {
		b.retriesPerRequest = ratio
	}
}

// WithReserve sets the maximum number of retries in the budget.
func WithReserve(retries float64) Option {
	return func(b *Budget) {
		b.reserve = retries
	}
}

// NewBudget returns a full budget.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{
		retriesPerRequest: retriesPerRequest,
		reserve:           reserve,
	}
	for _, o := range opts {
		o(b)
	}
	b.tokens = b.reserve
	return b
}

// Limit sets the maximum number of retries in the budget. Retries above the new maximum are discarded.
func (b *Budget) Limit(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// Earn adds the share of one new request to the budget.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.reserve, b.tokens+b.retriesPerRequest)
}

// Spend removes one retry from the budget, and reports false if less than one is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
