package retry

import "time"

// MaxPause is the longest pause that an upstream can ask for; longer ones are reduced to it.
const MaxPause = 10 * time.Minute

// maxReturnSpread is the maximum time over which the callers that were refused until the same moment are spread.
const maxReturnSpread = 3 * time.Second

// Returns spreads the callers that are told to come back at the same moment over the time after it, in the order in which they were refused. It is not safe for concurrent use.
type Returns struct {
	at    time.Time
	count int
}

// Next returns how long the next caller is to wait if upstreams can be used again at the given time, and serve one caller per spacing from then on.
func (r *Returns) Next(now, at time.Time, spacing time.Duration) time.Duration {
	if !at.Equal(r.at) {
		r.at = at
		r.count = 0
	}
	spread := min(time.Duration(r.count)*spacing, maxReturnSpread)
	if spread < maxReturnSpread {
		r.count++
	}
	return max(0, at.Sub(now)) + spread
}
