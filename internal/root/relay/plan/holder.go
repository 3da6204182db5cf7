package plan

import "sync"

// Holder holds the plan in force on this host, which is only ever replaced by a newer one.
type Holder struct {
	mu      sync.RWMutex
	current *Plan
}

// Current returns the plan in force, or nil.
func (h *Holder) Current() *Plan {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Offer puts a plan in force if it is newer, and reports whether it did.
func (h *Holder) Offer(p *Plan) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.Newer(h.current) {
		return false
	}
	h.current = p
	return true
}
