package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/place"
)

// Kind determines whether requests of a route may run more than once and whether their responses are streams.
type Kind int

// The kinds of routes.
const (
	// AtMostOnce is a route whose requests run at most once per attempt of the caller.
	AtMostOnce Kind = iota
	// Idempotent is a route whose requests may run more than once.
	Idempotent
	// Stream is a route whose responses are event streams.
	Stream
)

// Route determines where the requests under a prefix are sent.
type Route struct {
	Name string
	// Host is the host name in the request, and Prefix the start of its path.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until a caller has its response, and Objective the time within which a response is on time.
	Timeout   time.Duration
	Objective time.Duration
	// MaxEventGap is the maximum pause between two events of a stream that is on time.
	MaxEventGap time.Duration
	// Rank is 0 for the most urgent requests.
	Rank    int
	Targets []Target
	// Attempts is the maximum number of upstreams that one request may be sent to.
	Attempts int
	Stages   []Stage
	// Public routes need no key.
	Public bool
	// Affinity reports that requests share parts of their prompts, which upstreams cache.
	Affinity bool
	// Resumable streams may be continued by another upstream after the last event that was received.
	Resumable bool
	// Regions are the regions that requests of the route may use.
	Regions place.Regions
	// Unusable reports that this host can't serve the route, as it does not understand what the operator wrote.
	Unusable bool
}

// Target is a pool that receives a weighted share of the route's requests.
type Target struct {
	Pool   string
	Weight float64
}

// Stage is work on the pieces of a request that must finish before the request itself can run.
type Stage struct {
	Pool string
	// DependsOn lists the indices of the stages whose results this stage needs, each once, in any order.
	DependsOn []int
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int64
}

// Repeatable reports whether a request may be sent again after a send whose outcome is unknown.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Pool selects a target by its weight and returns its pool. draw is a random number from [0, 1).
func (r Route) Pool(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * total
	for _, t := range r.Targets {
		remaining -= t.Weight
		if remaining < 0 {
			return t.Pool
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// HasTarget reports whether requests of the route may be sent to the pool.
func (r Route) HasTarget(pool string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Pool == pool })
}

// ErrStageOrder is returned for stages that need a stage which does not exist, or that need each other in a circle.
var ErrStageOrder = errors.New("stages can't be put in an order")

// CheckStages returns an error unless every stage can run after those that it needs.
func (r Route) CheckStages() error {
	ended := make([]bool, len(r.Stages))
	for range r.Stages {
		for i, s := range r.Stages {
			ended[i] = !slices.ContainsFunc(s.DependsOn, func(a int) bool {
				return a < 0 || a >= len(r.Stages) || !ended[a]
			})
		}
	}
	if i := slices.Index(ended, false); i >= 0 {
		return fmt.Errorf("stage %d: %w", i, ErrStageOrder)
	}
	return nil
}

// FinalStages returns the indices of the stages that no other stage depends on. The request itself needs their results.
func (r Route) FinalStages() []int {
	hasSuccessor := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, i := range s.DependsOn {
			hasSuccessor[i] = true
		}
	}
	var final []int
	for i, has := range hasSuccessor {
		if !has {
			final = append(final, i)
		}
	}
	return final
}
