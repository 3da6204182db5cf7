package follow

import "fmt"

// Number returns the number of the era, or false if the era is unknown.
func (e Era) Number() (number int64, known bool) {
	return e.number, e.known
}

// ObserveHeard records an era of the store that another host states. It returns ErrOutdatedEra if that host has not heard of the current era yet. Unlike the store itself, another host cannot state that the numbering has fallen.
func (e *Eras) ObserveHeard(seen Era) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case seen == e.current:
		return nil
	case seen.known && (!e.current.known || seen.number > e.current.number):
		e.enter(seen)
		return nil
	default:
		return fmt.Errorf("compare era %s with %s: %w", seen, e.current, ErrOutdatedEra)
	}
}
