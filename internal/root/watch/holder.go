package watch

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cornelwing/cornelwing/pkg/config"
)

// Holder holds the revision in force on this host.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[config.Revision]
	changed chan struct{}
}

// NewHolder returns a holder without a revision.
func NewHolder() *Holder {
	return &Holder{
		changed: make(chan struct{}),
	}
}

// Current returns the revision in force; false says that there is none yet.
func (h *Holder) Current() (config.Revision, bool) {
	r := h.current.Load()
	if r == nil {
		return config.Revision{}, false
	}
	return *r, true
}

// Number returns the number of the revision in force, or 0.
func (h *Holder) Number() int64 {
	r, _ := h.Current()
	return r.Number
}

// Offer puts a revision in force if it is strictly newer, and reports whether it did.
func (h *Holder) Offer(r config.Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old != nil && !r.Newer(*old) {
		return false
	}
	h.current.Store(&r)
	if now := h.current.Load(); old != nil && now.Number <= old.Number {
		panic(fmt.Sprintf("invariant broken: revision %d replaced %d", now.Number, old.Number))
	}
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that closes with the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
