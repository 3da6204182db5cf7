package bulk

import (
	"sync"
	"time"
)

const (
	// Fanout is how many hosts are to read a block from the same one.
	Fanout = 2
	// maxReceivers is how many hosts a host sends parts to at a time. Those that were to read from a host that failed come on top of Fanout.
	maxReceivers = Fanout + 1
	// receiverTerm is how long after a part a host counts as one that reads on.
	receiverTerm = 300 * time.Millisecond
)

// Gate bounds to how many hosts parts are sent at a time, so that few bytes wait at the link of this host, and all that it sends else is not delayed. It is safe for concurrent use.
type Gate struct {
	now func() time.Time

	mu sync.Mutex
	// until holds until when each receiver counts, by name.
	until map[string]time.Time
}

// NewGate returns a gate that takes the time from now.
func NewGate(now func() time.Time) *Gate {
	return &Gate{
		now:   now,
		until: map[string]time.Time{},
	}
}

// Enter reports whether a part may be sent to the receiver now.
func (g *Gate) Enter(receiver string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for name, until := range g.until {
		if now.After(until) {
			delete(g.until, name)
		}
	}
	if _, reads := g.until[receiver]; !reads && len(g.until) >= maxReceivers {
		return false
	}
	g.until[receiver] = now.Add(receiverTerm)
	return true
}
