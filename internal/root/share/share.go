package share

import "time"

// Total returns the sum of the times that the stages require.
func Total(required []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range required {
		sum += d
	}
	return sum
}

// FirstStageLimit returns how much of the time left the first stage may use. The rest is reserved for the later stages, each of which requires the given time. It is never negative.
func FirstStageLimit(left time.Duration, required []time.Duration) time.Duration {
	if len(required) == 0 {
		return max(left, 0)
	}
	return max(left-Total(required[1:]), 0)
}
