package room

import (
	"slices"
	"time"
)

// dueStep is the step to which the times of reserved work are rounded, so that an account stays small.
const dueStep = 20 * time.Millisecond

// entry is reserved work that must be done by a time.
type entry struct {
	due  time.Time
	work time.Duration
}

// account holds the reserved work of one pool, which does the most urgent first.
type account struct {
	entries []entry
	at      time.Time
}

// advance lets the pool work until now.
func (a *account) advance(now time.Time, capacity float64) {
	done := time.Duration(capacity * float64(max(0, now.Sub(a.at))))
	if a.at.IsZero() {
		done = 0
	}
	a.at = now
	for len(a.entries) > 0 && done > 0 {
		e := &a.entries[0]
		part := min(done, e.work)
		e.work -= part
		done -= part
		if e.work > 0 {
			break
		}
		a.entries = a.entries[1:]
	}
}

// lateBy returns by how much the work due at a time, or other work behind it, would be late, or 0 if all can be done in time.
func (a *account) lateBy(now, due time.Time, work time.Duration, capacity float64) time.Duration {
	ahead := work
	var late time.Duration
	check := func(by time.Time) {
		needed := time.Duration(float64(ahead) / max(capacity, minCapacity))
		late = max(late, needed-max(0, by.Sub(now)))
	}
	checked := false
	for _, e := range a.entries {
		if !checked && e.due.After(due) {
			check(due)
			checked = true
		}
		ahead += e.work
		if checked {
			check(e.due)
		}
	}
	if !checked {
		check(due)
	}
	return late
}

// minCapacity keeps the time of a pool without workers finite, in seconds of a worker per second.
const minCapacity = 1e-3

func (a *account) add(due time.Time, work time.Duration) {
	due = due.Truncate(dueStep)
	i, found := a.find(due)
	if !found {
		a.entries = slices.Insert(a.entries, i, entry{
			due: due,
		})
	}
	a.entries[i].work += work
}

func (a *account) remove(due time.Time, work time.Duration) {
	if i, found := a.find(due.Truncate(dueStep)); found {
		a.entries[i].work = max(0, a.entries[i].work-work)
	}
}

func (a *account) find(due time.Time) (i int, found bool) {
	return slices.BinarySearchFunc(a.entries, due, func(e entry, t time.Time) int { return e.due.Compare(t) })
}
