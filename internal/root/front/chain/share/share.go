package share

import "time"

// Total returns the time that the stages need together, given the time that each one needs.
func Total(expected []time.Duration) time.Duration {
	var sum time.Duration
	for _, e := range expected {
		sum += e
	}
	return sum
}

// FirstStageLimit returns how much of the time left the first stage may use, so that each later stage still has its expected time. It is never negative.
func FirstStageLimit(left time.Duration, expected []time.Duration) time.Duration {
	if len(expected) == 0 {
		return max(left, 0)
	}
	return max(left-Total(expected[1:]), 0)
}
