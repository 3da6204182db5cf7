package room

import (
	"slices"
	"time"
)

// Ledger holds the work that is reserved of each pool, by when it must be begun. It is not safe for concurrent use.
type Ledger struct {
	pools map[string]*account
}

// Claim is the work of a request at one pool.
type Claim struct {
	Pool string
	// Work is the time of a worker that it takes.
	Work time.Duration
}

// Refusal is why a request may not begin.
type Refusal struct {
	// Pool is the pool that can't do its work in time.
	Pool string
	// After is when there would be time for it.
	After time.Duration
}

// Reserve reserves the work of a request of a rank, which may wait for slack, or returns why it can't be done in time. capacity returns how much work a pool does per second, in seconds of a worker.
func (l *Ledger) Reserve(now time.Time, rank int, claims []Claim, slack time.Duration, capacity func(pool string) float64) *Refusal {
	sums := sum(claims)
	due := now.Add(slack)
	var refused *Refusal
	for _, c := range sums {
		perSecond := capacity(c.Pool)
		a := l.account(c.Pool)
		a.advance(now, perSecond)
		late := a.lateBy(now, rank, due, c.Work, perSecond)
		a.rank(rank).asked.add(now, c.Work)
		if late > 0 && (refused == nil || late > refused.After) {
			refused = &Refusal{
				Pool:  c.Pool,
				After: late,
			}
		}
	}
	if refused != nil {
		return refused
	}
	for _, c := range sums {
		r := l.account(c.Pool).rank(rank)
		r.reserved.add(now, c.Work)
		r.add(due, c.Work)
	}
	return nil
}

// Cancel gives back what was reserved for a request of a rank that does not go on, and whose work was due at a time.
func (l *Ledger) Cancel(rank int, claims []Claim, due time.Time) {
	for _, c := range sum(claims) {
		l.account(c.Pool).rank(rank).remove(due, c.Work)
	}
}

// Clear ends all reserved work of a pool, which has been done.
func (l *Ledger) Clear(pool string) {
	for _, r := range l.account(pool).ranks {
		r.entries = nil
	}
}

func (l *Ledger) account(pool string) *account {
	if l.pools == nil {
		l.pools = map[string]*account{}
	}
	a, ok := l.pools[pool]
	if !ok {
		a = &account{}
		l.pools[pool] = a
	}
	return a
}

// sum returns the claims with one for each pool.
func sum(claims []Claim) []Claim {
	var out []Claim
	for _, c := range claims {
		i := slices.IndexFunc(out, func(o Claim) bool { return o.Pool == c.Pool })
		if i < 0 {
			out = append(out, c)
			continue
		}
		out[i].Work += c.Work
	}
	return out
}
