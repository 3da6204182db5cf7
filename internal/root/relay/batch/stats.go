package batch

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
		out[name] = s
	}
	return out
}
