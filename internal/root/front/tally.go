package front

import (
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/pkg/wire"
)

// Count sums up the requests of one account on one pipeline.
type Count struct {
	Account  string  `json:"account"`
	Pipeline string  `json:"pipeline"`
	Sent     int64   `json:"sent"`
	Answered int64   `json:"answered"`
	InTime   int64   `json:"in_time"`
	NotRun   int64   `json:"not_run"`
	Failed   int64   `json:"failed"`
	Unknown  int64   `json:"unknown"`
	Cost     float64 `json:"cost"`
	Wasted   float64 `json:"wasted"`
}

type countKey struct {
	account  string
	pipeline string
}

// Tally counts outcomes and costs.
type Tally struct {
	mu     sync.Mutex
	counts map[countKey]*Count
}

func (t *Tally) count(a Ask, r Reply, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[countKey]*Count{}
	}
	key := countKey{
		account:  a.Account.Name,
		pipeline: a.Pipeline.Name,
	}
	c, ok := t.counts[key]
	if !ok {
		c = &Count{
			Account:  key.account,
			Pipeline: key.pipeline,
		}
		t.counts[key] = c
	}
	c.add(r, !now.After(a.Deadline))
}

func (c *Count) add(r Reply, inTime bool) {
	c.Sent++
	if r.Answer != nil {
		c.Answered++
		if inTime {
			c.InTime++
		}
	} else {
		switch r.Problem.Outcome {
		case wire.NotRun:
			c.NotRun++
		case wire.Failed:
			c.Failed++
		default:
			c.Unknown++
		}
	}
	for _, s := range r.Stages {
		c.Cost += s.Cost
		c.Wasted += s.Wasted
	}
}

// Counts returns a copy of the counts.
func (t *Tally) Counts() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Count, 0, len(t.counts))
	for _, c := range t.counts {
		out = append(out, *c)
	}
	return out
}
