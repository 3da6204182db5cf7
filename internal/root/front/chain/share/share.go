package share

import "time"

// Least returns the least time in which the stages can be done, given what each is expected to take.
func Least(expected []time.Duration) time.Duration {
	var sum time.Duration
	for _, e := range expected {
		sum += e
	}
	return sum
}

// Latest returns the time by which the first stage has to end so that the others still have what they are expected to take.
func Latest(left time.Duration, expected []time.Duration) time.Duration {
	if len(expected) == 0 {
		return max(left, 0)
	}
	return max(left-Least(expected[1:]), 0)
}
