package flow

import (
	"math"
	"sync"
	"time"
)

const (
	// averageWeight is the weight of a new sample in the moving average of a stage's time.
	averageWeight = 0.1
	// stageTimeDecay is the time constant with which an average returns to the expected time of one call while no results come. What was slow may be fast again, and requests that are refused show nothing.
	stageTimeDecay = 3 * time.Second
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
	took map[stageKey]stageTime
}

// stageTime is the moving average of the time of a stage, as of a time.
type stageTime struct {
	average time.Duration
	at      time.Time
}

// observe adds the time of a completed stage to its average.
func (s *stageTimes) observe(now time.Time, pool string, stage int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.took == nil {
		s.took = map[stageKey]stageTime{}
	}
	k := stageKey{
		pool:  pool,
		stage: stage,
	}
	previous := took
	if t, ok := s.took[k]; ok {
		previous = t.average
	}
	s.took[k] = stageTime{
		average: previous + time.Duration(averageWeight*float64(took-previous)),
		at:      now,
	}
}

// average returns the average time of a stage, or fallback if none was observed. It returns to fallback while no results come.
func (s *stageTimes) average(now time.Time, pool string, stage int, fallback time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.took[stageKey{
		pool:  pool,
		stage: stage,
	}]
	if !ok {
		return fallback
	}
	weight := math.Exp(-float64(now.Sub(t.at)) / float64(stageTimeDecay))
	return fallback + time.Duration(weight*float64(t.average-fallback))
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
	return g.stageTimes.average(g.Now(), pool, i, g.expectedCallTime(pool))
}
