package batch

import "maps"

// Stats counts what one queue has done on this host.
type Stats struct {
	// Waiting is the number of pieces that wait now.
	Waiting     int   `json:"waiting"`
	Calls       int64 `json:"calls"`
	FailedCalls int64 `json:"broken"`
	// Pauses counts the calls in place of which a worker asked for a pause.
	Pauses int64 `json:"pauses"`
	Pieces int64 `json:"pieces"`
	// Hedged counts the pieces that were queued again because their call took too long.
	Hedged int64 `json:"hedged"`
	// Missed counts the pieces that got no result from a call, by reason.
	Missed map[Reason]int64 `json:"missed"`
	// Refused counts the work that was refused on arrival.
	Refused int64 `json:"refused"`
	// Reserved counts the requests for which all stages were reserved, and RefusedFor those that were refused as a pool of their chain had no time for them, by pool.
	Reserved   int64            `json:"reserved,omitempty"`
	RefusedFor map[string]int64 `json:"refused_for,omitempty"`
	// Late counts the work that ended later than its request needed it to be on time.
	Late int64 `json:"late,omitempty"`
}

// Stats returns the counters of each queue by its name. Queues that have made no call and refused no work are left out.
func (d *Dispatcher) Stats() map[string]Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]Stats{}
	for name, q := range d.queues {
		s := q.stats
		if s.Calls == 0 && s.Refused == 0 {
			continue
		}
		s.Waiting = q.Waiting()
		s.Missed = map[Reason]int64{}
		for reason, n := range q.stats.Missed {
			s.Missed[reason] = n
		}
		s.RefusedFor = maps.Clone(q.stats.RefusedFor)
		out[name] = s
	}
	return out
}
