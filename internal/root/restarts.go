package root

import (
	"maps"
	"sync"
)

// restarts counts how often each part was restarted.
type restarts struct {
	mu sync.Mutex
	by map[string]int
}

func (r *restarts) add(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string]int{}
	}
	r.by[part]++
}

func (r *restarts) counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.by)
}
