package runner

import (
	"slices"
	"sync"
)

// prefixCache remembers the prompt prefixes that an engine saw last.
type prefixCache struct {
	mu   sync.Mutex
	size int
	seen []string
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{
		size: size,
	}
}

// touch moves the prefix to the front and reports whether it was there.
func (c *prefixCache) touch(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.seen, prefix)
	if i >= 0 {
		c.seen = slices.Delete(c.seen, i, i+1)
	}
	c.seen = append(c.seen, prefix)
	if len(c.seen) > c.size {
		c.seen = c.seen[1:]
	}
	return i >= 0
}
