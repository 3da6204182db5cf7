package retry

import "sync"

const (
	// retriesPerRequest is the number of retries that each new request adds to the budget if WithRatio is not given.
	retriesPerRequest = 0.1
	// capacity is the maximum number of retries in the budget if WithReserve is not given.
	capacity = 20
)

// Budget is a token bucket that limits retries to a share of the new requests. Each retry costs one token. It is safe for concurrent use.
type Budget struct {
	retriesPerRequest float64
	capacity          float64

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
		b.capacity = retries
	}
}

// NewBudget returns a full budget.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{
		retriesPerRequest: retriesPerRequest,
		capacity:          capacity,
	}
	for _, o := range opts {
		o(b)
	}
	b.tokens = b.capacity
	return b
}

// Limit sets the maximum number of retries in the budget, and discards the retries above it.
func (b *Budget) Limit(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Earn adds the share of one new request to the budget.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.retriesPerRequest)
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
