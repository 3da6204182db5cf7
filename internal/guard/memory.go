package guard

import (
	"sync"
	"time"
)

const (
	// callersShare is the share of the machine's memory that is held for callers. The rest is for the process itself, what it does for other hosts and garbage that is not collected yet.
	callersShare = 0.25
	// largeShare is the share of the memory for callers that large requests may hold while they are still arriving.
	largeShare = 0.5
)

// MemoryStats counts what a Memory has done.
type MemoryStats struct {
	// Held is what callers hold now, in bytes.
	Held int64 `json:"held_bytes"`
	// Refused counts the requests that got no memory, and Evicted those that lost theirs.
	Refused int64 `json:"refused"`
	Evicted int64 `json:"evicted"`
}

// TurnedAway returns how many requests got no memory or lost theirs.
func (s MemoryStats) TurnedAway() int64 {
	return s.Refused + s.Evicted
}

// Memory is the memory that a host holds for callers. It is safe for concurrent use.
type Memory struct {
	now func() time.Time

	mu     sync.Mutex
	room   Room
	claims map[*Claim]struct{}
	stats  MemoryStats
}

// NewMemory returns the memory for callers of a machine with the given memory in bytes.
func NewMemory(machine int64, now func() time.Time) *Memory {
	total := int64(callersShare * float64(machine))
	return &Memory{
		now: now,
		room: Room{
			Total: total,
			Large: int64(largeShare * float64(total)),
		},
		claims: map[*Claim]struct{}{},
	}
}

// Claim returns the claim of one request, which holds nothing yet. evict is called when it loses what it holds; it must end the request and must not block.
func (m *Memory) Claim(evict func()) *Claim {
	return &Claim{
		memory:   m,
		evict:    evict,
		arriving: true,
		progress: m.now(),
	}
}

// Stats returns what the memory has done so far.
func (m *Memory) Stats() MemoryStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Held = m.room.Held
	return s
}

// others returns the claims beside c, and what they hold. The caller holds the lock.
func (m *Memory) others(c *Claim) ([]*Claim, []Holder) {
	claims := make([]*Claim, 0, len(m.claims))
	holders := make([]Holder, 0, len(m.claims))
	for o := range m.claims {
		if o == c {
			continue
		}
		claims = append(claims, o)
		holders = append(holders, Holder{
			Bytes:    o.held,
			Large:    o.isLarge(),
			Progress: o.progress,
			Busy:     o.busy,
		})
	}
	return claims, holders
}

// remove takes what the claim holds out of the memory. The caller holds the lock.
func (m *Memory) remove(c *Claim) {
	m.room.Held -= c.held
	if c.isLarge() {
		m.room.HeldLarge -= c.held
	}
	c.held = 0
	delete(m.claims, c)
}
