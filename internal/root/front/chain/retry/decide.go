package retry

import "time"

const (
	// maxAttempts bounds the attempts of one stage that may have run.
	maxAttempts = 4
	// maxUnsent bounds the attempts of one stage that provably did not run.
	maxUnsent = 8
	// refusedPause is the least time before an attempt that follows a refusal.
	refusedPause = 2 * time.Millisecond
	maxPause     = 100 * time.Millisecond
)

// Event is the end of an attempt that brought no result.
type Event interface {
	event()
}

// Unsent is an attempt of which not a byte left this host.
type Unsent struct{}

// Refused is an attempt that the upstream says it did not run.
type Refused struct {
	After time.Duration
}

// Broken is an attempt that may have run.
type Broken struct {
	// Free says that another attempt adds no load to a pool that has too much already.
	Free bool
}

func (Unsent) event()  {}
func (Refused) event() {}
func (Broken) event()  {}

// Action is what to do after an event.
type Action interface {
	action()
}

// Again tries another upstream after a pause.
type Again struct {
	Pause time.Duration
}

// Stop gives the stage up.
type Stop struct {
	Reason Reason
}

func (Again) action() {}
func (Stop) action()  {}

// Reason says why a stage was given up.
type Reason string

// The reasons to give up.
const (
	NotIdempotent Reason = "the attempt may have run and must not run twice"
	NoTime        Reason = "too little time is left"
	NoAttempts    Reason = "too many attempts failed"
	NoBudget      Reason = "the retry budget is used up"
)

// State is what the decision depends on besides the event.
type State struct {
	Idempotent bool
	// Ran and Sure count the attempts that may have run and those that did not.
	Ran  int
	Sure int
	// MaxRan, where above 0, bounds the attempts that reached an upstream in place of the usual bound.
	MaxRan int
	// Arrivals says that the budget bounds what reaches upstreams, so that an attempt after a refusal costs as well.
	Arrivals bool
	// Left is the time until the deadline, and Need the least time that the rest takes.
	Left time.Duration
	Need time.Duration
}

func (s State) maxRan() int {
	if s.MaxRan > 0 {
		return s.MaxRan
	}
	return maxAttempts
}

// costs reports whether another attempt after the event is taken from the budget.
func (s State) costs(ev Event) bool {
	switch ev := ev.(type) {
	case Broken:
		return !ev.Free
	case Refused:
		return s.Arrivals
	default:
		return false
	}
}

// Decide returns the action; it spends from the budget only for an attempt that may have run, or reached an upstream where that is what the budget bounds.
func Decide(s State, ev Event, b *Budget) Action {
	var pause time.Duration
	switch ev := ev.(type) {
	case Broken:
		if !s.Idempotent {
			return Stop{Reason: NotIdempotent}
		}
		if s.Ran >= s.maxRan() {
			return Stop{Reason: NoAttempts}
		}
	case Unsent:
		if s.Sure >= maxUnsent {
			return Stop{Reason: NoAttempts}
		}
	case Refused:
		if s.Sure >= maxUnsent || (s.MaxRan > 0 && s.Ran >= s.MaxRan) {
			return Stop{Reason: NoAttempts}
		}
		pause = min(max(refusedPause<<s.Sure, ev.After), maxPause)
	}
	if s.Left < s.Need+pause {
		return Stop{Reason: NoTime}
	}
	if s.costs(ev) && !b.Spend() {
		return Stop{Reason: NoBudget}
	}
	return Again{Pause: pause}
}
