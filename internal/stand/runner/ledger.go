package runner

import (
	"maps"
	"sync"
)

// Ledger counts what upstreams ran, by input; it is the truth that promises are checked against.
type Ledger struct {
	mu   sync.Mutex
	runs map[Run]int
}

// Run names a stage and the input that it ran on.
type Run struct {
	Stage string
	Input string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs: map[Run]int{},
	}
}

// Add records that a stage began to run on an input.
func (l *Ledger) Add(stage, input string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[Run{Stage: stage, Input: input}]++
}

// Runs returns a copy of the counts.
func (l *Ledger) Runs() map[Run]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Count returns how often the stage ran on the input.
func (l *Ledger) Count(stage, input string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[Run{Stage: stage, Input: input}]
}
