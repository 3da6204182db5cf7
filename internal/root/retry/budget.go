package retry

import "sync"

const (
	// retriesPerRequest is the number of retries that each new request adds to the budget if WithRetriesPerRequest is not given.
	retriesPerRequest = 0.1
	// capacity is the maximum number of retries in the budget if WithCapacity is not given.
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

// WithRetriesPerRequest sets the number of retries that each new request adds to the budget.
func WithRetriesPerRequest(ratio float64) Option {
	return func(b *Budget) {
		b.retriesPerRequest = ratio
	}
}

// WithCapacity sets the maximum number of retries in the budget.
func WithCapacity(retries float64) Option {
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

// SetCapacity sets the maximum number of retries in the budget, and discards the retries above it.
func (b *Budget) SetCapacity(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Deposit adds the share of one new request to the budget.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.retriesPerRequest)
}

// TryWithdraw removes one retry from the budget, and reports false if less than one is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
