package retry

import "time"

const (
	// maxPossibleRuns is the maximum number of attempts of one stage that may have run.
	maxPossibleRuns = 4
	// maxNotRun is the maximum number of attempts of one stage that are known not to have run.
	maxNotRun = 8
	// refusalBackoff is the minimum pause after a refusal; it doubles with each attempt that did not run.
	refusalBackoff = 2 * time.Millisecond
	// maxBackoff is the maximum pause after a refusal, even if the upstream asks for a longer one.
	maxBackoff = 100 * time.Millisecond
)

// Event describes how an attempt without a result ended: Unsent, Refused or Broken.
type Event interface {
	event()
}

// Unsent is an attempt of which this host sent no byte.
type Unsent struct{}

// Refused is an attempt that the upstream reports as not run.
type Refused struct {
	// RetryAfter is the pause that the upstream asks for, or 0.
	RetryAfter time.Duration
}

// Broken is an attempt that may have run and returned no usable result.
type Broken struct {
	// Free means that a retry adds no load to an overloaded pool, so it is not taken from the budget.
	Free bool
}

func (Unsent) event()  {}
func (Refused) event() {}
func (Broken) event()  {}

// Action is the decision after an event: Again or Stop.
type Action interface {
	action()
}

// Again makes another attempt after a pause, on an upstream that was not tried yet if there is one.
type Again struct {
	Pause time.Duration
}

// Stop ends the stage without a retry.
type Stop struct {
	Reason Reason
}

func (Again) action() {}
func (Stop) action()  {}

// Reason states why a stage is not retried. Its text is part of the problem details.
type Reason string

// The reasons not to retry a stage.
const (
	NotIdempotent Reason = "the attempt may have run and must not run twice"
	NoTime        Reason = "too little time is left"
	NoAttempts    Reason = "too many attempts failed"
	NoBudget      Reason = "the retry budget is used up"
)

// State holds the inputs of Decide besides the event and the budget.
type State struct {
	// Idempotent allows a retry after an attempt that may have run.
	Idempotent bool
	// Ran counts the attempts that may have run, and Sure those that are known not to have run.
	Ran  int
	Sure int
	// MaxRan, if above 0, replaces maxPossibleRuns as the limit of Ran.
	// The caller then counts every attempt that reached an upstream in Ran, so Decide also checks the limit after a refusal.
	MaxRan int
	// Arrivals means that the budget limits all attempts that reach upstreams, so a retry after a refusal is also taken from the budget.
	Arrivals bool
	// Left is the time until the deadline, and Need the minimum time for the rest of the work.
	Left time.Duration
	Need time.Duration
}

// possibleRunLimit returns the maximum number of attempts that may have run.
func (s State) possibleRunLimit() int {
	if s.MaxRan > 0 {
		return s.MaxRan
	}
	return maxPossibleRuns
}

// needsBudget reports whether a retry after the event is taken from the budget.
func (s State) needsBudget(ev Event) bool {
	switch ev := ev.(type) {
	case Broken:
		return !ev.Free
	case Refused:
		return s.Arrivals
	default:
		return false
	}
}

// Decide returns the action after an event. It spends one retry from the budget after a Broken event that is not Free, and after a Refused event if State.Arrivals is set.
func Decide(s State, ev Event, b *Budget) Action {
	var pause time.Duration
	switch ev := ev.(type) {
	case Broken:
		if !s.Idempotent {
			return Stop{Reason: NotIdempotent}
		}
		if s.Ran >= s.possibleRunLimit() {
			return Stop{Reason: NoAttempts}
		}
	case Unsent:
		if s.Sure >= maxNotRun {
			return Stop{Reason: NoAttempts}
		}
	case Refused:
		if s.Sure >= maxNotRun || (s.MaxRan > 0 && s.Ran >= s.MaxRan) {
			return Stop{Reason: NoAttempts}
		}
		pause = min(max(refusalBackoff<<s.Sure, ev.RetryAfter), maxBackoff)
	}
	if s.Left < s.Need+pause {
		return Stop{Reason: NoTime}
	}
	if s.needsBudget(ev) && !b.Spend() {
		return Stop{Reason: NoBudget}
	}
	return Again{Pause: pause}
}
