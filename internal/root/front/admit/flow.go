package admit

import "sync"

// Flow counts, for each pool, the admitted requests that have not reached it yet.
type Flow struct {
	mu      sync.Mutex
	pending map[string]int
}

// NewFlow returns an empty count.
func NewFlow() *Flow {
	return &Flow{
		pending: map[string]int{},
	}
}

// Pending returns how many admitted requests of this host are on their way to the pool.
func (f *Flow) Pending(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending[pool]
}

// Enter counts an admitted request for each of its pools.
func (f *Flow) Enter(pools []string) *Trip {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range pools {
		f.pending[p]++
	}
	return &Trip{
		flow: f,
		rest: pools,
	}
}

// Trip is one admitted request on its way.
type Trip struct {
	flow *Flow
	rest []string
}

// Reach takes the request out of the count of the first pool that it had not reached.
func (t *Trip) Reach() {
	t.flow.mu.Lock()
	defer t.flow.mu.Unlock()
	if len(t.rest) == 0 {
		return
	}
	t.flow.leave(t.rest[0])
	t.rest = t.rest[1:]
}

// End takes the request out of all counts.
func (t *Trip) End() {
	t.flow.mu.Lock()
	defer t.flow.mu.Unlock()
	for _, p := range t.rest {
		t.flow.leave(p)
	}
	t.rest = nil
}

func (f *Flow) leave(pool string) {
	f.pending[pool]--
	if f.pending[pool] == 0 {
		delete(f.pending, pool)
	}
}
