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
	// AddsNoLoad means that a retry adds no load to an overloaded pool, so it is not taken from the budget.
	AddsNoLoad bool
}

func (Unsent) event()  {}
func (Refused) event() {}
func (Broken) event()  {}

// Action is the decision after an event: Retry or Stop.
type Action interface {
	action()
}

// Retry makes another attempt after a pause, on an upstream that was not tried yet if there is one.
type Retry struct {
	Pause time.Duration
}

// Stop ends the stage without a retry.
type Stop struct {
	Reason Reason
}

func (Retry) action() {}
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
	// PossibleRuns counts the attempts that may have run, and NotRun those that are known not to have run.
	PossibleRuns int
	NotRun       int
	// MaxAttempts, if above 0, replaces maxPossibleRuns as the limit of PossibleRuns.
	// The caller then counts every attempt that reached an upstream in PossibleRuns, so Decide also checks the limit after a refusal.
	MaxAttempts int
	// BudgetRefusals means that the budget limits all attempts that reach upstreams, so a retry after a refusal is also taken from the budget.
	BudgetRefusals bool
	// Remaining is the time until the deadline, and MinRemaining the minimum time for the rest of the work.
	Remaining    time.Duration
	MinRemaining time.Duration
}

// possibleRunLimit returns the maximum number of attempts that may have run.
func (s State) possibleRunLimit() int {
	if s.MaxAttempts > 0 {
		return s.MaxAttempts
	}
	return maxPossibleRuns
}

// needsBudget reports whether a retry after the event is taken from the budget.
func (s State) needsBudget(ev Event) bool {
	switch ev := ev.(type) {
	case Broken:
		return !ev.AddsNoLoad
	case Refused:
		return s.BudgetRefusals
	default:
		return false
	}
}

// Decide returns the action after an event. It spends one retry from the budget after a Broken event without AddsNoLoad, and after a Refused event if State.BudgetRefusals is set.
func Decide(s State, ev Event, b *Budget) Action {
	var pause time.Duration
	switch ev := ev.(type) {
	case Broken:
		if !s.Idempotent {
			return Stop{Reason: NotIdempotent}
		}
		if s.PossibleRuns >= s.possibleRunLimit() {
			return Stop{Reason: NoAttempts}
		}
	case Unsent:
		if s.NotRun >= maxNotRun {
			return Stop{Reason: NoAttempts}
		}
	case Refused:
		if s.NotRun >= maxNotRun || (s.MaxAttempts > 0 && s.PossibleRuns >= s.MaxAttempts) {
			return Stop{Reason: NoAttempts}
		}
		pause = min(max(refusalBackoff<<s.NotRun, ev.RetryAfter), maxBackoff)
	}
	if s.Remaining < s.MinRemaining+pause {
		return Stop{Reason: NoTime}
	}
	if s.needsBudget(ev) && !b.TryWithdraw() {
		return Stop{Reason: NoBudget}
	}
	return Retry{Pause: pause}
}
