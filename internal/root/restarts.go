package root

import (
	"maps"
	"sync"
)

// restartCounts counts the restarts of each supervised part. It is safe for concurrent use.
type restartCounts struct {
	mu     sync.Mutex
	byPart map[string]int
}

func (r *restartCounts) add(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPart == nil {
		r.byPart = map[string]int{}
	}
	r.byPart[part]++
}

func (r *restartCounts) counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byPart)
}
