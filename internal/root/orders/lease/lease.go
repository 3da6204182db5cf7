package lease

import (
	"time"
)

// Timing holds the durations that govern a lease.
type Timing struct {
	// Term is how long a holder may act, counted from the sending of the write that acquired or renewed the lease.
	Term time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// MaxOrderTime is the longest time from sending an order until it has taken effect.
	MaxOrderTime time.Duration
}

// DefaultTiming returns the lease durations that the daemon uses.
func DefaultTiming() Timing {
	return Timing{
		Term:          6 * time.Second,
		RenewInterval: 2 * time.Second,
		MaxOrderTime:  2 * time.Second,
	}
}

// Event is the result of an Action: RowRead, RowAbsent, WriteSucceeded or ResultUnknown.
type Event interface {
	event()
}

// RowRead holds the current row, returned by a read or after a write failed because the row had another version.
type RowRead struct {
	Row     Row
	Version int64
}

// RowAbsent reports that the lease row does not exist.
type RowAbsent struct{}

// WriteSucceeded reports that the last write took effect.
type WriteSucceeded struct{}

// ResultUnknown reports that the store is unavailable or that the last write may or may not have taken effect.
type ResultUnknown struct{}

func (RowRead) event()        {}
func (RowAbsent) event()      {}
func (WriteSucceeded) event() {}
func (ResultUnknown) event()  {}

// Action is the next operation of a candidate: Read, Write or Wait.
type Action interface {
	action()
}

// Read requests a read of the lease row.
type Read struct{}

// Write requests a write of the row on condition that the stored version equals Version; 0 requires that no row exists.
type Write struct {
	Row     Row
	Version int64
}

// Wait requests a pause before the next action.
type Wait struct {
	Delay time.Duration
}

func (Read) action()  {}
func (Write) action() {}
func (Wait) action()  {}

// write is a write whose result is unknown.
type write struct {
	row     Row
	version int64
	sentAt  time.Time
}

// Lease is the view that one candidate host has of the lease. All times come from its monotonic clock. It is not safe for
// concurrent use.
type Lease struct {
	timing Timing
	self   string
	nonce  func() string

	known   bool
	row     Row
	version int64
	// firstSeen is when this candidate first saw the stored version of the row.
	firstSeen time.Time

	pending *write
	// sentAt is when the last write that acquired or renewed the lease was sent.
	sentAt time.Time
	held   bool
}

// New returns the state of a candidate that does not hold the lease. nonce must return a new value on each call.
func New(self string, timing Timing, nonce func() string) *Lease {
	return &Lease{
		timing: timing,
		self:   self,
		nonce:  nonce,
	}
}

// Held returns the fencing number and true if the candidate holds the lease at now.
func (l *Lease) Held(now time.Time) (int64, bool) {
	if !l.held || now.Sub(l.sentAt) >= l.timing.Term {
		return 0, false
	}
	return l.row.Fence, true
}

// MayOrder returns the fencing number and true if an order sent at now would complete before the lease expires.
func (l *Lease) MayOrder(now time.Time) (int64, bool) {
	fence, ok := l.Held(now)
	if !ok || now.Add(l.timing.MaxOrderTime).Sub(l.sentAt) > l.timing.Term {
		return 0, false
	}
	return fence, true
}

// Next returns the action to perform at now.
func (l *Lease) Next(now time.Time) Action {
	if l.pending != nil || !l.known {
		return Read{}
	}
	if _, ok := l.Held(now); ok {
		return l.holderAction(now)
	}
	l.held = false
	return l.candidateAction(now)
}

func (l *Lease) holderAction(now time.Time) Action {
	wait := l.timing.RenewInterval - now.Sub(l.sentAt)
	if wait > 0 {
		return Wait{Delay: wait}
	}
	return l.write(now, Row{
		Holder: l.self,
		Fence:  l.row.Fence,
		Nonce:  l.nonce(),
	})
}

// candidateAction returns the next action of a candidate that does not hold the lease. The candidate writes the row if
// it is absent, or if it has not changed for a whole term plus the maximum order time, so that the last order of the
// previous holder has ended.
func (l *Lease) candidateAction(now time.Time) Action {
	if l.version == 0 {
		return l.write(now, Row{
			Holder: l.self,
			Fence:  1,
			Nonce:  l.nonce(),
		})
	}
	if now.Sub(l.firstSeen) >= l.timing.Term+l.timing.MaxOrderTime {
		return l.write(now, Row{
			Holder: l.self,
			Fence:  l.row.Fence + 1,
			Nonce:  l.nonce(),
		})
	}
	// The candidate rereads the row to see whether the holder has renewed it.
	l.known = false
	return Wait{Delay: l.timing.RenewInterval}
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

// Apply updates the state with the result of an action, received at now.
func (l *Lease) Apply(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case WriteSucceeded:
		l.confirmWrite(now, l.pending.version+1)
	case RowRead:
		l.observeRow(now, ev)
	case RowAbsent:
		l.known = true
		l.version = 0
		l.row = Row{}
		l.held = false
		l.pending = nil
	case ResultUnknown:
		// The next read shows whether a pending write took effect.
		l.known = false
	}
}

// confirmWrite records that the pending write is stored under the version and that the candidate holds the lease.
func (l *Lease) confirmWrite(now time.Time, version int64) {
	l.known = true
	l.row = l.pending.row
	l.version = version
	l.firstSeen = now
	l.sentAt = l.pending.sentAt
	l.held = true
	l.pending = nil
}

func (l *Lease) observeRow(now time.Time, ev RowRead) {
	if l.pending != nil && ev.Row.Nonce == l.pending.row.Nonce {
		l.confirmWrite(now, ev.Version)
		return
	}
	l.pending = nil
	l.known = true
	if ev.Version == l.version && ev.Row == l.row {
		return
	}
	l.row = ev.Row
	l.version = ev.Version
	l.firstSeen = now
	l.held = false
}
