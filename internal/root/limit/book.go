package limit

import (
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// maxEntries is the maximum number of upstreams with limits that are remembered.
const maxEntries = 2048

// Notice is what an upstream stated of its limit at one time.
type Notice struct {
	// PerSecond is the number of requests per second that the upstream takes from all hosts together, or 0 if it names no limit.
	PerSecond float64
	// At is when the upstream named the limit, or when the request was sent whose response named none. The response to a request that was sent earlier says nothing about the limit now.
	At time.Time
}

// Book holds the newest notice of each start of an upstream. It is safe for concurrent use.
type Book struct {
	mu      sync.RWMutex
	notices map[route.Incarnation]Notice
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		notices: map[route.Incarnation]Notice{},
	}
}

// Add records a notice, and reports whether it changes the limit. It ignores notices that are older than the known one, and those without a limit of upstreams that never named one.
func (b *Book) Add(i route.Incarnation, n Notice) (changed bool) {
	if _, ok := b.Get(i); !ok && n.PerSecond == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.notices[i]
	if ok && !n.At.After(old.At) {
		return false
	}
	if !ok && len(b.notices) >= maxEntries {
		b.forgetOldest()
	}
	b.notices[i] = n
	return old.PerSecond != n.PerSecond
}

func (b *Book) forgetOldest() {
	var oldest route.Incarnation
	var at time.Time
	for i, n := range b.notices {
		if at.IsZero() || n.At.Before(at) {
			oldest = i
			at = n.At
		}
	}
	delete(b.notices, oldest)
}

// Get returns the newest notice of an upstream, or false if it never named a limit.
func (b *Book) Get(i route.Incarnation) (Notice, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n, ok := b.notices[i]
	return n, ok
}

// Limited returns how many upstreams have named a limit that is in force.
func (b *Book) Limited() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, n := range b.notices {
		if n.PerSecond > 0 {
			count++
		}
	}
	return count
}
