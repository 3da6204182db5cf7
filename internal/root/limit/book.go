package limit

import (
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// maxEntries is the maximum number of upstreams with limits that are remembered.
	maxEntries = 2048
	// maxSources is the maximum number of sources remembered for each of them.
	maxSources = 1024
)

// Notice is what an upstream stated of its limit at one time.
type Notice struct {
	// PerSecond is the number of requests per second that the upstream takes from all hosts together, or 0 if it names no limit.
	PerSecond float64
	// At is when the upstream named the limit, or when the request was sent whose response named none. The response to a request that was sent earlier says nothing about the limit now.
	At time.Time
	// Source is the process that sent the notice, or "" for what the upstream told this one. Seq counts the notices of a source. A notice that was long under way seems newer than it is, so those of one source are ordered by Seq.
	Source string
	Seq    uint64
}

// entry is what is known of the limit of an upstream.
type entry struct {
	newest Notice
	// heard holds the highest Seq of each source.
	heard map[string]uint64
}

// late reports whether a later notice of the same source came before this one.
func (e *entry) late(n Notice) bool {
	return n.Source != "" && n.Seq <= e.heard[n.Source]
}

// hear records that the notice came.
func (e *entry) hear(n Notice) {
	if n.Source == "" {
		return
	}
	if len(e.heard) >= maxSources {
		clear(e.heard)
	}
	e.heard[n.Source] = n.Seq
}

// outdated reports whether the known notice is newer. Two of the same source come in order.
func (e *entry) outdated(n Notice) bool {
	if n.Source != "" && n.Source == e.newest.Source {
		return false
	}
	return !n.At.After(e.newest.At)
}

// Book holds the newest notice of each start of an upstream. It is safe for concurrent use.
type Book struct {
	mu      sync.RWMutex
	entries map[route.Incarnation]*entry
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		entries: map[route.Incarnation]*entry{},
	}
}

// Add records a notice, and reports whether it changes the limit. It ignores notices that are older than the known one, and those without a limit of upstreams that never named one to this host.
func (b *Book) Add(i route.Incarnation, n Notice) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[i]
	if !ok && n.PerSecond == 0 && n.Source == "" {
		return false
	}
	if !ok {
		e = b.newEntry(i)
	}
	if e.late(n) {
		return false
	}
	e.hear(n)
	if ok && e.outdated(n) {
		return false
	}
	old := e.newest.PerSecond
	e.newest = n
	return old != n.PerSecond
}

func (b *Book) newEntry(i route.Incarnation) *entry {
	if len(b.entries) >= maxEntries {
		b.forgetOldest()
	}
	e := &entry{
		heard: map[string]uint64{},
	}
	b.entries[i] = e
	return e
}

func (b *Book) forgetOldest() {
	var oldest route.Incarnation
	var at time.Time
	for i, e := range b.entries {
		if at.IsZero() || e.newest.At.Before(at) {
			oldest = i
			at = e.newest.At
		}
	}
	delete(b.entries, oldest)
}

// Get returns the newest notice of an upstream, or false if there is none.
func (b *Book) Get(i route.Incarnation) (Notice, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e, ok := b.entries[i]
	if !ok {
		return Notice{}, false
	}
	return e.newest, true
}

// Limited returns how many upstreams have named a limit that is in force.
func (b *Book) Limited() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, e := range b.entries {
		if e.newest.PerSecond > 0 {
			count++
		}
	}
	return count
}
