package chain

import "sync/atomic"

// Stats counts the attempts that were not sent, refused or broken, and the retries.
type Stats struct {
	Unsent  atomic.Int64
	Refused atomic.Int64
	Broken  atomic.Int64
	Retries atomic.Int64
}

// Stats returns the live counters, which change while jobs run.
func (r *Runner) Stats() *Stats {
	return &r.stats
}
