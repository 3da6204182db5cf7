package share

import "time"

// Total returns the time that the stages need together, given the time that each one needs.
func Total(required []time.Duration) time.Duration {
	var sum time.Duration
	for _, e := range required {
		sum += e
	}
	return sum
}

// FirstStageLimit returns how much of the time left the first stage may use, so that each later stage still has the time that it needs. It is never negative.
func FirstStageLimit(left time.Duration, required []time.Duration) time.Duration {
	if len(required) == 0 {
		return max(left, 0)
	}
	return max(left-Total(required[1:]), 0)
}
