package plan

import "time"

// Kind says what may be repeated.
type Kind int

// The kinds of routes.
const (
	// Once is a route whose requests run at most once for each attempt of the caller.
	Once Kind = iota
	// Idempotent is a route whose requests may run more than once.
	Idempotent
	// Stream is a route whose answers are streams of events.
	Stream
)

// Route says where the requests under a prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting, and Objective the time within which an answer is on time.
	Timeout   time.Duration
	Objective time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// Rank is 0 for the most urgent.
	Rank    int
	Targets []Target
	// Attempts is the most upstreams that one request may be sent to.
	Attempts int
	Stages   []Stage
	// Public routes need no key.
	Public bool
	// Affinity says that requests share parts of their prompts, which upstreams keep.
	Affinity bool
	// Resumable streams may be continued by another upstream after the last event that came.
	Resumable bool
}

// Target is a pool that takes a share of the route's requests.
type Target struct {
	Pool   string
	Weight int
}

// Stage is work on the pieces of a request that is done before the request itself can run.
type Stage struct {
	Pool string
	// After names the stages, by their place, whose results the stage needs.
	After []int
	// Bytes is about the size of one piece's result.
	Bytes int64
}

// Repeatable reports whether a request may be sent again after a send whose end is not known.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Pool returns the target's pool for a draw from [0, 1).
func (r Route) Pool(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * float64(total)
	for _, t := range r.Targets {
		at -= float64(t.Weight)
		if at < 0 {
			return t.Pool
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Last returns the stages, by their place, that no other stage follows; the request itself needs their results.
func (r Route) Last() []int {
	followed := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, i := range s.After {
			followed[i] = true
		}
	}
	var last []int
	for i, f := range followed {
		if !f {
			last = append(last, i)
		}
	}
	return last
}
