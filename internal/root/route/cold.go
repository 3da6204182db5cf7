package route

import "time"

// coldShare is the share of its capacity with which an upstream counts when it begins to be cold.
const coldShare = 0.1

// Cold is the time for which an upstream that has started takes few requests, and works slowly.
type Cold struct {
	Since time.Time
	Until time.Time
	// PerSecond is the number of requests per second for which all hosts together get permits until then, or 0 if no permits are needed.
	PerSecond float64
	// Withheld means that the upstream gets no requests until then.
	Withheld bool
}

func (c Cold) holds(now time.Time) bool {
	return now.Before(c.Until)
}

// over reports whether the upstream has its full capacity again.
func (c Cold) over(now time.Time) bool {
	return !now.Before(c.Until.Add(slowStart))
}

// share returns the share of its capacity with which the upstream counts. It grows until slowStart after the end, so that the load returns in steps.
func (c Cold) share(now time.Time) float64 {
	if c.over(now) {
		return 1
	}
	whole := c.Until.Add(slowStart).Sub(c.Since)
	return coldShare + (1-coldShare)*max(0, float64(now.Sub(c.Since)))/float64(whole)
}

// SetCold sets for how long an upstream is cold. It may be called before the upstream is added.
func (t *Table) SetCold(now time.Time, i Incarnation, c Cold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.cold[i]; !ok {
		t.forgetCold(now)
	}
	t.cold[i] = c
	if e, ok := t.byName[i.Name]; ok && e.up.Incarnation() == i {
		e.cold = c
	}
}

// forgetCold removes what was set for upstreams that have their full capacity again. The caller holds the lock.
func (t *Table) forgetCold(now time.Time) {
	for i, c := range t.cold {
		if c.over(now) {
			delete(t.cold, i)
		}
	}
}

// ColdCount returns the number of upstreams that are cold.
func (t *Table) ColdCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.byName {
		if e.cold.holds(now) {
			n++
		}
	}
	return n
}

// rate returns the number of requests per second that the upstream takes from all hosts together, or 0 for any number: the lower one of the limit that it names and of the rate while it is cold.
func (e *entry) rate(now time.Time) float64 {
	if !e.cold.holds(now) || e.cold.PerSecond <= 0 {
		return e.perSecond
	}
	if e.perSecond <= 0 {
		return e.cold.PerSecond
	}
	return min(e.perSecond, e.cold.PerSecond)
}

// isWithheld reports whether the upstream is cold and gets nothing.
func (e *entry) isWithheld(now time.Time) bool {
	return e.cold.Withheld && e.cold.holds(now)
}
