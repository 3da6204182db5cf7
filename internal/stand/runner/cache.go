package runner

import (
	"slices"
	"sync"
)

// prefixCache is an LRU cache of the prompt prefixes that an engine has received.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	// prefixes is ordered from the least to the most recently used.
	prefixes []string
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
	}
}

// touch marks the prefix as the most recently used one and returns whether it was cached before.
func (c *prefixCache) touch(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > c.capacity {
		c.prefixes = c.prefixes[1:]
	}
	return i >= 0
}
