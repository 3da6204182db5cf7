package plan

import "sync"

// Active holds the active plan of this host. A plan is only replaced by a newer one. It is safe for concurrent use.
type Active struct {
	mu      sync.RWMutex
	current *Plan
}

// Current returns the active plan, or nil if there is none yet.
func (a *Active) Current() *Plan {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.current
}

// ReplaceIfNewer activates p if it is newer than the current plan, and reports whether it did.
func (a *Active) ReplaceIfNewer(p *Plan) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !p.NewerThan(a.current) {
		return false
	}
	a.current = p
	return true
}
