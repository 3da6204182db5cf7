package retry

import "time"

// MaxPause is the longest pause that an upstream can ask for; longer ones are reduced to it.
const MaxPause = 10 * time.Minute

// maxReturnSpread is the maximum time over which the callers that were refused until the same moment are spread.
const maxReturnSpread = 3 * time.Second

// Returns spreads the callers that are told to come back at the same moment over the time after it: the more urgent first, and those of the same rank in the order in which they were refused. It is not safe for concurrent use.
type Returns struct {
	at time.Time
	// counts holds the number of callers by rank.
	counts map[int]int
}

// Next returns how long the next caller is to wait if upstreams can be used again at the given time, and serve one caller per spacing from then on. Rank 0 is the most urgent.
func (r *Returns) Next(now, at time.Time, spacing time.Duration, rank int) time.Duration {
	if !at.Equal(r.at) {
		r.at = at
		r.counts = map[int]int{}
	}
	spread := min(time.Duration(r.ahead(rank))*spacing, maxReturnSpread)
	if spread < maxReturnSpread {
		r.counts[rank]++
	}
	return max(0, at.Sub(now)) + spread
}

// ahead returns how many callers of the rank and of more urgent ones there are already.
func (r *Returns) ahead(rank int) int {
	ahead := 0
	for other, n := range r.counts {
		if other <= rank {
			ahead += n
		}
	}
	return ahead
}
