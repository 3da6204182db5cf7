package backup

import (
	"sync"
	"time"
)

// clock estimates the time of the store's clock, which is steady and the same for all hosts. It is safe for concurrent use.
type clock struct {
	// sinceBoot returns the time since boot, including the time that the host was suspended.
	sinceBoot func() time.Duration

	mu     sync.Mutex
	offset time.Duration
	known  bool
}

// set records the time that the store stated in a response which has just arrived.
func (c *clock) set(storeMS int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = time.Duration(storeMS)*time.Millisecond - c.sinceBoot()
	c.known = true
}

// now returns the time of the store's clock in milliseconds, or false if the store has not stated it yet.
func (c *clock) now() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.offset + c.sinceBoot()).Milliseconds(), c.known
}
