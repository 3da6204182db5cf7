package admit

import (
	"time"
)

const (
	// patientBelow is the load of a slot up to which patient work is let in.
	patientBelow = 1.5
	// safety is the part of the time left that a prediction may fill, and safetyOver the part for an account that is over its share.
	safety     = 0.8
	safetyOver = 0.5
	// minRetry and maxRetry bound when a refused caller is told to come back.
	minRetry = 200 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Need is one stage of a request, with the state of its pool.
type Need struct {
	// Service is the time that the stage holds a slot.
	Service time.Duration
	// Slots is how many requests the pool works on at a time, Load how many it has, and Pending how many are on their way to it.
	Slots   int
	Load    int
	Pending int
}

// Ask is a request for admission.
type Ask struct {
	// Left is the time until the deadline.
	Left time.Duration
	// Patient work gives way to urgent work.
	Patient bool
	// Over says that the account uses more than its share while others want theirs.
	Over  bool
	Needs []Need
}

// budget is how much time the request may be predicted to take.
func (a Ask) budget() time.Duration {
	if a.Over {
		return time.Duration(safetyOver * float64(a.Left))
	}
	return time.Duration(safety * float64(a.Left))
}

// Verdict is Admit, Wait or Refuse.
type Verdict interface {
	verdict()
}

// Admit lets the request in.
type Admit struct{}

// Wait keeps patient work back while urgent work needs the pools.
type Wait struct{}

// Refuse turns the request away, and tells when to come back.
type Refuse struct {
	After time.Duration
}

func (Admit) verdict()  {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Decide predicts when the request would be done and compares it with what is left.
func Decide(a Ask) Verdict {
	if over := Predict(a.Needs) - a.budget(); over > 0 {
		return Refuse{After: min(max(over, minRetry), maxRetry)}
	}
	if !a.Patient {
		return Admit{}
	}
	for _, n := range a.Needs {
		if float64(n.Load+n.Pending+1) > patientBelow*float64(n.Slots) {
			return Wait{}
		}
	}
	return Admit{}
}

// Predict returns the time that a request admitted now takes through all of its stages.
func Predict(needs []Need) time.Duration {
	var at time.Duration
	for _, n := range needs {
		at += n.wait(at) + n.Service
	}
	return at
}

// wait predicts the queue that a request finds which reaches the pool after a time; the pool drains until then.
func (n Need) wait(reach time.Duration) time.Duration {
	if n.Slots == 0 || n.Service <= 0 {
		return n.Service
	}
	drained := float64(n.Slots) * float64(reach) / float64(n.Service)
	ahead := float64(n.Load+n.Pending+1-n.Slots) - min(drained, float64(n.Pending))
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(n.Slots) * float64(n.Service))
}
