package runner

import (
	"maps"
	"sync"
)

// RunLog counts the runs of stages on upstreams by stage and input. Tests and the demo use it as the ground truth when they check the system's guarantees.
type RunLog struct {
	mu   sync.Mutex
	runs map[Run]int
}

// Run identifies a stage and the input that it ran on.
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

// Add records that a stage started to run on an input.
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

// Count returns how many times the stage started to run on the input.
func (l *RunLog) Count(stage, input string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[Run{Stage: stage, Input: input}]
}
