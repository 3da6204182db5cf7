package room

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// dueStep is the step to which the times of reserved work are rounded, so that an account stays small.
	dueStep = 20 * time.Millisecond
	// rateWindow is the time constant of the moving averages of how much work is reserved.
	rateWindow = time.Second
	// minShare is the share of a pool that is left to requests of each side where some are more urgent than others, so that none are starved.
	minShare = 0.1
	// minRate is the rate, as a share of a pool, below which no requests of a rank count as waiting for their share.
	minRate = 0.01
)

// entry is reserved work that must be done by a time.
type entry struct {
	due  time.Time
	work time.Duration
}

// account holds the reserved work of one pool, which does the most urgent first, and of the same rank what is due first.
type account struct {
	ranks map[int]*rankAccount
	at    time.Time
}

// rankAccount holds the reserved work of one rank.
type rankAccount struct {
	entries []entry
	// asked and reserved are moving averages of the work that requests needed and that was reserved, in seconds of a worker per second.
	asked    rate
	reserved rate
}

// rate is a moving average.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, work time.Duration) {
	r.value = r.valueAt(now) + work.Seconds()/rateWindow.Seconds()
	r.at = now
}

func (r *rate) valueAt(now time.Time) float64 {
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(rateWindow))
}

// rank returns the account of a rank.
func (a *account) rank(rank int) *rankAccount {
	if a.ranks == nil {
		a.ranks = map[int]*rankAccount{}
	}
	r, ok := a.ranks[rank]
	if !ok {
		r = &rankAccount{}
		a.ranks[rank] = r
	}
	return r
}

// advance lets the pool work until now. minShare of the work is done for the least urgent.
func (a *account) advance(now time.Time, capacity float64) {
	done := time.Duration(capacity * float64(max(0, now.Sub(a.at))))
	if a.at.IsZero() {
		done = 0
	}
	a.at = now
	ranks := slices.Sorted(maps.Keys(a.ranks))
	kept := time.Duration(minShare * float64(done))
	done -= kept
	for i := len(ranks) - 1; i >= 0; i-- {
		kept = a.ranks[ranks[i]].advance(kept)
	}
	done += kept
	for _, rank := range ranks {
		done = a.ranks[rank].advance(done)
	}
}

// advance ends work for which there was time, and returns the time that is left.
func (r *rankAccount) advance(done time.Duration) time.Duration {
	for len(r.entries) > 0 {
		e := &r.entries[0]
		part := min(done, e.work)
		e.work -= part
		done -= part
		if e.work > 0 {
			break
		}
		r.entries = r.entries[1:]
	}
	return done
}

// share returns how much work the pool does per second for requests of a rank, beside what more urgent ones are expected to need and what less urgent ones are left.
func (a *account) share(now time.Time, rank int, capacity float64) float64 {
	urgent, others := 0.0, 0.0
	for other, r := range a.ranks {
		switch {
		case other < rank:
			urgent += r.reserved.valueAt(now)
		case other > rank:
			others += r.asked.valueAt(now)
		}
	}
	if others > minRate*capacity {
		capacity -= min(others, minShare*capacity)
	}
	return max(minShare*capacity, capacity-urgent, minCapacity)
}

// lateBy returns by how much work of a rank that is due at a time, or other work of the rank behind it, would be late, or 0 if all can be done in time.
func (a *account) lateBy(now time.Time, rank int, due time.Time, work time.Duration, capacity float64) time.Duration {
	var urgent time.Duration
	for other, r := range a.ranks {
		if other < rank {
			urgent += r.total()
		}
	}
	ahead := work
	perSecond := a.share(now, rank, capacity)
	kept := max(minShare*capacity, minCapacity)
	var late time.Duration
	check := func(by time.Time) {
		needed := time.Duration(min(float64(urgent+ahead)/perSecond, float64(ahead)/kept))
		late = max(late, needed-max(0, by.Sub(now)))
	}
	checked := false
	for _, e := range a.rank(rank).entries {
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

func (r *rankAccount) total() time.Duration {
	var sum time.Duration
	for _, e := range r.entries {
		sum += e.work
	}
	return sum
}

func (r *rankAccount) add(due time.Time, work time.Duration) {
	due = due.Truncate(dueStep)
	i, found := r.find(due)
	if !found {
		r.entries = slices.Insert(r.entries, i, entry{
			due: due,
		})
	}
	r.entries[i].work += work
}

func (r *rankAccount) remove(due time.Time, work time.Duration) {
	if i, found := r.find(due.Truncate(dueStep)); found {
		r.entries[i].work = max(0, r.entries[i].work-work)
	}
}

func (r *rankAccount) find(due time.Time) (i int, found bool) {
	return slices.BinarySearchFunc(r.entries, due, func(e entry, t time.Time) int { return e.due.Compare(t) })
}
