package retry

import "sync"

const (
	// earned is what one fresh request adds to the budget, in retries.
	earned = 0.1
	// reserve is what the budget holds at the most, in retries.
	reserve = 20
)

// Budget bounds retries to a share of the fresh work.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{
		tokens: reserve,
	}
}

// Earn counts a fresh request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(reserve, b.tokens+earned)
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
