package chain

import "sync/atomic"

// Stats counts what became of attempts.
type Stats struct {
	Unsent  atomic.Int64
	Refused atomic.Int64
	Broken  atomic.Int64
	Retries atomic.Int64
}

// Stats returns the live counters.
func (r *Runner) Stats() *Stats {
	return &r.stats
}
