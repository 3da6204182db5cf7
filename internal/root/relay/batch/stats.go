package batch

// Stats is what one queue has done on this host.
type Stats struct {
	// Waiting is how many pieces wait now.
	Waiting int   `json:"waiting"`
	Calls   int64 `json:"calls"`
	Broken  int64 `json:"broken"`
	Pieces  int64 `json:"pieces"`
	// Hedged counts the pieces that were made a second time as their call took too long.
	Hedged int64 `json:"hedged"`
	// Missed counts the pieces without a result by the reason.
	Missed map[Reason]int64 `json:"missed"`
	// Refused counts the work that was refused at once.
	Refused int64 `json:"refused"`
}

// Stats returns what the queues have done, by their names, where they have done anything.
func (k *Keeper) Stats() map[string]Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]Stats{}
	for name, q := range k.queues {
		s := q.stats
		if s.Calls == 0 && s.Refused == 0 {
			continue
		}
		s.Waiting = q.Waiting()
		s.Missed = map[Reason]int64{}
		for why, n := range q.stats.Missed {
			s.Missed[why] = n
		}
		out[name] = s
	}
	return out
}
