package blame

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

// maxSurvivals is how many fingerprints one generation of survivals holds.
const maxSurvivals = 8192

// survivals remembers the last survival of the fingerprints seen most recently. It holds two generations, so that forgetting the older half takes no search.
type survivals struct {
	recent map[crash.Fingerprint]time.Time
	older  map[crash.Fingerprint]time.Time
}

// last returns the time of the last survival of the fingerprint, or false if none is known.
func (s *survivals) last(f crash.Fingerprint) (time.Time, bool) {
	if at, ok := s.recent[f]; ok {
		return at, true
	}
	at, ok := s.older[f]
	return at, ok
}

// add records a survival, and reports whether it is later than the one that was known.
func (s *survivals) add(v Survival) bool {
	if at, ok := s.last(v.Fingerprint); ok && !v.At.After(at) {
		return false
	}
	if s.recent == nil || len(s.recent) >= maxSurvivals {
		s.older = s.recent
		s.recent = map[crash.Fingerprint]time.Time{}
	}
	s.recent[v.Fingerprint] = v.At
	return true
}
