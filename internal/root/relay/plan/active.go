package plan

import "sync"

// Active holds the active plan of this host. A plan is only replaced by a newer one. It is safe for concurrent use.
type Active struct {
	mu      sync.RWMutex
	current *Plan
}

// Current returns the active plan, or nil if there is none yet.
func (h *Active) Current() *Plan {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// ReplaceIfNewer activates p if it is newer than the current plan, and reports whether it did.
func (h *Active) ReplaceIfNewer(p *Plan) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.NewerThan(h.current) {
		return false
	}
	h.current = p
	return true
}
