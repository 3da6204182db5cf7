package admit

import "sync"

// Backlog counts, for each pool, the admitted requests that have not reached it yet.
type Backlog struct {
	mu      sync.Mutex
	pending map[string]int
}

// NewBacklog returns an empty count.
func NewBacklog() *Backlog {
	return &Backlog{
		pending: map[string]int{},
	}
}

// Pending returns how many admitted requests of this host are on their way to the pool.
func (f *Backlog) Pending(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending[pool]
}

// Enter counts an admitted request for each of its pools.
func (f *Backlog) Enter(pools []string) *Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range pools {
		f.pending[p]++
	}
	return &Entry{
		backlog: f,
		rest:    pools,
	}
}

// Entry is one admitted request on its way.
type Entry struct {
	backlog *Backlog
	rest    []string
}

// Reach takes the request out of the count of the first pool that it had not reached.
func (t *Entry) Reach() {
	t.backlog.mu.Lock()
	defer t.backlog.mu.Unlock()
	if len(t.rest) == 0 {
		return
	}
	t.backlog.leave(t.rest[0])
	t.rest = t.rest[1:]
}

// End takes the request out of all counts.
func (t *Entry) End() {
	t.backlog.mu.Lock()
	defer t.backlog.mu.Unlock()
	for _, p := range t.rest {
		t.backlog.leave(p)
	}
	t.rest = nil
}

func (f *Backlog) leave(pool string) {
	f.pending[pool]--
	if f.pending[pool] == 0 {
		delete(f.pending, pool)
	}
}
