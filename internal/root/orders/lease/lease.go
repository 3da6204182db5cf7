package lease

import (
	"time"
)

// Terms are the times of a lease.
type Terms struct {
	// Term is how long a holder may act after the write that gave or renewed it the lease was sent.
	Term time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Order is the longest time that one order may take.
	Order time.Duration
}

// DefaultTerms returns the times of a daemon.
func DefaultTerms() Terms {
	return Terms{
		Term:  6 * time.Second,
		Renew: 2 * time.Second,
		Order: 2 * time.Second,
	}
}

// Event is what happened: Saw, Absent, Wrote or Lost.
type Event interface {
	event()
}

// Saw is a row that was read, or that stood in the way of a write.
type Saw struct {
	Row     Row
	Version int64
}

// Absent says that there is no row.
type Absent struct{}

// Wrote says that the last write took effect.
type Wrote struct{}

// Lost says that nobody knows whether the last write took effect, or that the store is out.
type Lost struct{}

func (Saw) event()    {}
func (Absent) event() {}
func (Wrote) event()  {}
func (Lost) event()   {}

// Action is what to do next: Read, Write or Rest.
type Action interface {
	action()
}

// Read reads the row.
type Read struct{}

// Write writes the row where it still has the version.
type Write struct {
	Row     Row
	Version int64
}

// Rest waits.
type Rest struct {
	For time.Duration
}

func (Read) action()  {}
func (Write) action() {}
func (Rest) action()  {}

// write is a write whose end is not known yet.
type write struct {
	row     Row
	version int64
	sentAt  time.Time
}

// Lease is the state of one candidate; times are of its monotonic clock.
type Lease struct {
	terms Terms
	self  string
	nonce func() string

	known   bool
	row     Row
	version int64
	// since is when this version of the row was first seen.
	since time.Time

	pending *write
	// sentAt is when the write was sent that gave or renewed the lease.
	sentAt time.Time
	held   bool
}

// New returns a candidate that holds nothing; nonce gives a new mark for each write.
func New(self string, terms Terms, nonce func() string) *Lease {
	return &Lease{
		terms: terms,
		self:  self,
		nonce: nonce,
	}
}

// Held returns the fencing number if the candidate holds the lease at now.
func (l *Lease) Held(now time.Time) (int64, bool) {
	if !l.held || now.Sub(l.sentAt) >= l.terms.Term {
		return 0, false
	}
	return l.row.Fence, true
}

// MayOrder returns the fencing number if an order sent at now would end while the lease is held.
func (l *Lease) MayOrder(now time.Time) (int64, bool) {
	fence, ok := l.Held(now)
	if !ok || now.Add(l.terms.Order).Sub(l.sentAt) > l.terms.Term {
		return 0, false
	}
	return fence, true
}

// Next returns what to do at now.
func (l *Lease) Next(now time.Time) Action {
	if l.pending != nil || !l.known {
		return Read{}
	}
	if _, ok := l.Held(now); ok {
		return l.nextHolder(now)
	}
	l.held = false
	return l.nextCandidate(now)
}

func (l *Lease) nextHolder(now time.Time) Action {
	wait := l.terms.Renew - now.Sub(l.sentAt)
	if wait > 0 {
		return Rest{For: wait}
	}
	return l.write(now, Row{
		Holder: l.self,
		Fence:  l.row.Fence,
		Nonce:  l.nonce(),
	})
}

// nextCandidate takes the lease once its row has stood still for a whole term and the longest order.
func (l *Lease) nextCandidate(now time.Time) Action {
	if l.version == 0 {
		return l.write(now, Row{
			Holder: l.self,
			Fence:  1,
			Nonce:  l.nonce(),
		})
	}
	if now.Sub(l.since) >= l.terms.Term+l.terms.Order {
		return l.write(now, Row{
			Holder: l.self,
			Fence:  l.row.Fence + 1,
			Nonce:  l.nonce(),
		})
	}
	// The row has to be read again to see whether it stands still.
	l.known = false
	return Rest{For: l.terms.Renew}
}

func (l *Lease) write(now time.Time, r Row) Action {
	l.pending = &write{
		row:     r,
		version: l.version,
		sentAt:  now,
	}
	return Write{
		Row:     r,
		Version: l.version,
	}
}

// Take takes in what happened until now.
func (l *Lease) Take(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Wrote:
		l.settle(now, l.pending.version+1)
	case Saw:
		l.saw(now, ev)
	case Absent:
		l.known = true
		l.version = 0
		l.row = Row{}
		l.held = false
		l.pending = nil
	case Lost:
		// The next read tells whether a pending write took effect.
		l.known = false
	}
}

// settle makes a pending write the row that is known.
func (l *Lease) settle(now time.Time, version int64) {
	l.known = true
	l.row = l.pending.row
	l.version = version
	l.since = now
	l.sentAt = l.pending.sentAt
	l.held = true
	l.pending = nil
}

func (l *Lease) saw(now time.Time, ev Saw) {
	if l.pending != nil && ev.Row.Nonce == l.pending.row.Nonce {
		l.settle(now, ev.Version)
		return
	}
	l.pending = nil
	l.known = true
	if ev.Version == l.version && ev.Row == l.row {
		return
	}
	l.row = ev.Row
	l.version = ev.Version
	l.since = now
	l.held = false
}
