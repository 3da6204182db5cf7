package flow

import (
	"sync"
	"time"
)

const (
	// spanWeight is the weight of a new sample in the moving average of a stage's time.
	spanWeight = 0.1
	// spanSafety and spanHead are how much longer than usual a stage is taken to last where another one must not wait for it.
	spanSafety = 1.5
	spanHead   = 100 * time.Millisecond
)

// spanKey names the work of one stage in one pool, over all routes.
type spanKey struct {
	pool  string
	stage int
}

// spans holds how long the stages take on average, from when their work is given away; the zero value is empty.
type spans struct {
	mu   sync.Mutex
	took map[spanKey]time.Duration
}

// learn takes the time of a stage that was made.
func (s *spans) learn(pool string, stage int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.took == nil {
		s.took = map[spanKey]time.Duration{}
	}
	k := spanKey{
		pool:  pool,
		stage: stage,
	}
	old, ok := s.took[k]
	if !ok {
		old = took
	}
	s.took[k] = old + time.Duration(spanWeight*float64(took-old))
}

// of returns the average time of a stage, or the other value while it is not known.
func (s *spans) of(pool string, stage int, unknown time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took, ok := s.took[spanKey{
		pool:  pool,
		stage: stage,
	}]; ok {
		return took
	}
	return unknown
}

// begin returns how much later than the others a stage without earlier ones begins: its results take up room until the last stage is done.
func (g *graph) begin(i int) time.Duration {
	var longest time.Duration
	for j, s := range g.route.Stages {
		if len(s.After) == 0 && g.ask.pieces(j) > 0 {
			longest = max(longest, g.path(j))
		}
	}
	own := g.path(i)
	return max(0, longest-own-time.Duration((spanSafety-1)*float64(own))-spanHead)
}

// path is about how long a stage and the longest chain of those that follow it take.
func (g *graph) path(i int) time.Duration {
	return g.usual(i) + g.longest(i, g.usual)
}

// usual is what a stage has been taking, or about a call while that is not known.
func (g *graph) usual(i int) time.Duration {
	pool := g.route.Stages[i].Pool
	return g.spans.of(pool, i, g.callTime(pool))
}
