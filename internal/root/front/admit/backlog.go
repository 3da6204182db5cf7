package admit

import "sync"

// Backlog counts, for each pool, the admitted requests that have not reached the pool yet. It is safe for concurrent use.
type Backlog struct {
	mu      sync.Mutex
	pending map[string]int
}

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog {
	return &Backlog{
		pending: map[string]int{},
	}
}

// Pending returns the number of admitted requests on this host that have not reached the pool yet.
func (b *Backlog) Pending(pool string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[pool]
}

// Add adds an admitted request to the count of each of its pools, given in the order of its stages.
func (b *Backlog) Add(pools []string) *PendingRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range pools {
		b.pending[p]++
	}
	return &PendingRequest{
		backlog:   b,
		remaining: pools,
	}
}

// PendingRequest is an admitted request that is counted in a Backlog.
type PendingRequest struct {
	backlog   *Backlog
	remaining []string
}

// ReachPool removes the request from the count of the next pool, in the order of its stages. It does nothing after the last one.
func (r *PendingRequest) ReachPool() {
	r.backlog.mu.Lock()
	defer r.backlog.mu.Unlock()
	if len(r.remaining) == 0 {
		return
	}
	r.backlog.decrement(r.remaining[0])
	r.remaining = r.remaining[1:]
}

// Release removes the request from the counts of all pools that it has not reached. Further calls do nothing.
func (r *PendingRequest) Release() {
	r.backlog.mu.Lock()
	defer r.backlog.mu.Unlock()
	for _, p := range r.remaining {
		r.backlog.decrement(p)
	}
	r.remaining = nil
}

// decrement lowers the count of the pool and deletes it at zero. The caller holds b.mu.
func (b *Backlog) decrement(pool string) {
	b.pending[pool]--
	if b.pending[pool] == 0 {
		delete(b.pending, pool)
	}
}
