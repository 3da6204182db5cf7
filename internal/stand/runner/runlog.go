package runner

import (
	"maps"
	"sync"
)

// RunLog counts what upstreams ran, by input; it is the truth that promises are checked against.
type RunLog struct {
	mu   sync.Mutex
	runs map[Run]int
}

// Run names a stage and the input that it ran on.
type Run struct {
	Stage string
	Input string
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog {
	return &RunLog{
		runs: map[Run]int{},
	}
}

// Add records that a stage began to run on an input.
func (l *RunLog) Add(stage, input string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[Run{Stage: stage, Input: input}]++
}

// Runs returns a copy of the counts.
func (l *RunLog) Runs() map[Run]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Count returns how often the stage ran on the input.
func (l *RunLog) Count(stage, input string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[Run{Stage: stage, Input: input}]
}
