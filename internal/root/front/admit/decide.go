package admit

import (
	"time"
)

const (
	// maxPatientLoadPerSlot is the highest load per slot of a pool at which a patient request, which is one of low urgency, is admitted.
	maxPatientLoadPerSlot = 1.5
	// latencyShare is the fraction of the remaining time that the predicted latency may take up.
	// overShareLatencyShare replaces it for an account that exceeds its share.
	latencyShare          = 0.8
	overShareLatencyShare = 0.5
	// minRetryAfter and maxRetryAfter bound the retry delay in a rejection.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Stage describes one stage of a request and the state of the pool that runs it.
type Stage struct {
	// Service is the service time: how long the stage occupies a slot.
	Service time.Duration
	// Slots is the number of requests that the pool processes concurrently.
	// Load is the number of requests that are running or queued in the pool.
	// Pending is the number of admitted requests that have not reached the pool yet.
	Slots   int
	Load    int
	Pending int
}

// PipelineRequest holds the properties of a request that admission control considers.
type PipelineRequest struct {
	// TimeLeft is the time remaining until the deadline.
	TimeLeft time.Duration
	// Patient marks a request of low urgency, which may be deferred while its pools are busy.
	Patient bool
	// OverShare is set if the account exceeds its share of the host while other accounts are active.
	OverShare bool
	// Stages are in the order in which they run.
	Stages []Stage
}

// latencyBudget returns the highest predicted latency at which the request is admitted.
func (r PipelineRequest) latencyBudget() time.Duration {
	if r.OverShare {
		return time.Duration(overShareLatencyShare * float64(r.TimeLeft))
	}
	return time.Duration(latencyShare * float64(r.TimeLeft))
}

// Decision is Admitted, Deferred or Rejected.
type Decision interface {
	decision()
}

// Admitted means that the request may run now.
type Admitted struct{}

// Deferred means that a patient request has to wait because its pools are busy.
type Deferred struct{}

// Rejected means that the predicted latency exceeds the latency budget of the request.
type Rejected struct {
	// RetryAfter is how long the client should wait before it retries.
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Deferred) decision() {}
func (Rejected) decision() {}

// Decide compares the predicted latency of the request with its latency budget.
// Only a patient request can be deferred.
func Decide(r PipelineRequest) Decision {
	if over := PredictLatency(r.Stages) - r.latencyBudget(); over > 0 {
		return Rejected{RetryAfter: min(max(over, minRetryAfter), maxRetryAfter)}
	}
	if !r.Patient {
		return Admitted{}
	}
	for _, s := range r.Stages {
		if float64(s.Load+s.Pending+1) > maxPatientLoadPerSlot*float64(s.Slots) {
			return Deferred{}
		}
	}
	return Admitted{}
}

// PredictLatency returns the time from admission until the last stage completes, including the queueing delay in each pool.
func PredictLatency(stages []Stage) time.Duration {
	var elapsed time.Duration
	for _, s := range stages {
		elapsed += s.queueDelay(elapsed) + s.Service
	}
	return elapsed
}

// queueDelay predicts how long a request that reaches the pool after the given time waits for a slot.
// Until it arrives, the pool processes the pending requests. For a pool without slots the delay is one service time.
func (s Stage) queueDelay(arrival time.Duration) time.Duration {
	if s.Slots == 0 || s.Service <= 0 {
		return s.Service
	}
	drained := float64(s.Slots) * float64(arrival) / float64(s.Service)
	ahead := float64(s.Load+s.Pending+1-s.Slots) - min(drained, float64(s.Pending))
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(s.Slots) * float64(s.Service))
}
