package graph

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
)

// stageKey identifies a stage by its pool and index. Routes with the same pool at the same index share one average.
type stageKey struct {
	pool  string
	stage int
}

// stageTime is the moving average of the time of a stage, as of a time.
type stageTime struct {
	average time.Duration
	at      time.Time
}

// Times holds the average times of stages, from the submission of their work to its results. The zero value is empty. It is safe for concurrent use.
type Times struct {
	mu   sync.Mutex
	took map[stageKey]stageTime
}

// Observe adds the time of a completed stage to its average.
func (t *Times) Observe(now time.Time, pool string, stage int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.took == nil {
		t.took = map[stageKey]stageTime{}
	}
	k := stageKey{
		pool:  pool,
		stage: stage,
	}
	previous := took
	if old, ok := t.took[k]; ok {
		previous = old.average
	}
	t.took[k] = stageTime{
		average: previous + time.Duration(averageWeight*float64(took-previous)),
		at:      now,
	}
}

// average returns the average time of a stage, or fallback if none was observed. It returns to fallback while no results come.
func (t *Times) average(now time.Time, pool string, stage int, fallback time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.took[stageKey{
		pool:  pool,
		stage: stage,
	}]
	if !ok {
		return fallback
	}
	weight := math.Exp(-float64(now.Sub(v.at)) / float64(stageTimeDecay))
	return fallback + time.Duration(weight*float64(v.average-fallback))
}

// engineStage is the index under which the times of engines are kept, by route.
const engineStage = -1

// ObserveEngine adds the time from sending a request of a route to its engine until the first event of the response.
func (t *Times) ObserveEngine(now time.Time, route string, took time.Duration) {
	t.Observe(now, route, engineStage, took)
}

// EngineTime returns the time until an engine's first event that a request of a route is planned with: the average, or the usual time if that is longer.
func (t *Times) EngineTime(now time.Time, route string) time.Duration {
	return max(onTimeEngineTime, t.average(now, route, engineStage, onTimeEngineTime))
}
