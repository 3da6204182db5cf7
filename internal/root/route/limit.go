package route

import "time"

// minHold is the shortest time for which an upstream without a permit is not used.
const minHold = 5 * time.Millisecond

// SetLimit sets the number of requests per second that an upstream takes from all hosts together. 0 means that it names no limit.
func (t *Table) SetLimit(i Incarnation, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[i.Name]
	if !ok || e.up.Incarnation() != i || e.perSecond == perSecond {
		return
	}
	e.perSecond = perSecond
	// A hold follows from the earlier limit.
	e.heldUntil = time.Time{}
}

// Hold ends an attempt that Pick counted, as there is no permit for it, and does not use the upstream for the duration.
func (t *Table) Hold(now time.Time, name string, d time.Duration) {
	t.Release(now, name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byName[name]; ok && e.rate(now) > 0 {
		e.heldUntil = now.Add(max(minHold, d))
	}
}

func (e *entry) isHeld(now time.Time) bool {
	return now.Before(e.heldUntil)
}
