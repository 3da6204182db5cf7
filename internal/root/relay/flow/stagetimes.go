package flow

import (
	"sync"
	"time"
)

const (
	// averageWeight is the weight of a new sample in the moving average of a stage's time.
	averageWeight = 0.1
	// startDelaySafety and startDelayMargin shorten the start delay of a stage, so that no other stage has to wait if this stage is slow. Its chain may take startDelaySafety times its expected time, plus startDelayMargin.
	startDelaySafety = 1.5
	startDelayMargin = 100 * time.Millisecond
)

// stageKey identifies a stage by its pool and index. Routes with the same pool at the same index share one average.
type stageKey struct {
	pool  string
	stage int
}

// stageTimes holds the average times of stages, from the submission of their work to its results. The zero value is empty.
type stageTimes struct {
	mu   sync.Mutex
	took map[stageKey]time.Duration
}

// observe adds the time of a completed stage to its average.
func (s *stageTimes) observe(pool string, stage int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.took == nil {
		s.took = map[stageKey]time.Duration{}
	}
	k := stageKey{
		pool:  pool,
		stage: stage,
	}
	previous, ok := s.took[k]
	if !ok {
		previous = took
	}
	s.took[k] = previous + time.Duration(averageWeight*float64(took-previous))
}

// average returns the average time of a stage, or fallback if none was observed.
func (s *stageTimes) average(pool string, stage int, fallback time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took, ok := s.took[stageKey{
		pool:  pool,
		stage: stage,
	}]; ok {
		return took
	}
	return fallback
}

// startDelay returns how long to delay the start of a stage that depends on no other, so that its chain ends about when the longest chain ends. An earlier start would only make its results occupy memory at their worker for longer.
func (g *stageGraph) startDelay(i int) time.Duration {
	var longest time.Duration
	for j, s := range g.route.Stages {
		if len(s.DependsOn) == 0 && g.requestHead.pieceCount(j) > 0 {
			longest = max(longest, g.chainTime(j))
		}
	}
	own := g.chainTime(i)
	return max(0, longest-own-time.Duration((startDelaySafety-1)*float64(own))-startDelayMargin)
}

// chainTime returns the expected time of a stage and the longest chain of stages that depend on it.
func (g *stageGraph) chainTime(i int) time.Duration {
	return g.averageTime(i) + g.longestChain(i, g.averageTime)
}

// averageTime returns the average time of a stage, or the expected time of one call if none was observed.
func (g *stageGraph) averageTime(i int) time.Duration {
	pool := g.route.Stages[i].Pool
	return g.stageTimes.average(pool, i, g.expectedCallTime(pool))
}
