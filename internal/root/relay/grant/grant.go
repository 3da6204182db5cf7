package grant

import (
	"sync"
	"time"
)

// Clock returns the time since boot, which continues to increase while the host is suspended.
type Clock func() time.Duration

// Lease tracks until when the local configuration is known to be recent enough. It is safe for concurrent use.
type Lease struct {
	clock Clock
	term  time.Duration

	mu        sync.Mutex
	expiresAt time.Duration
	confirmed bool
	// pauses counts the calls of Pause, and paused reports that the last one is in effect.
	pauses int
	paused bool
	// pendingAt is the request time of the newest confirmation since the lease was paused, if hasPending is set.
	pendingAt  time.Duration
	hasPending bool
	// extended is closed when the next confirmation takes effect, or nil if nobody waits for it.
	extended chan struct{}
}

// New returns a lease that is not valid yet. Each confirmation is valid for term.
func New(clock Clock, term time.Duration) *Lease {
	return &Lease{
		clock: clock,
		term:  term,
	}
}

// RequestTime returns the current time. Call it before requesting a confirmation and pass the result to Confirm.
func (l *Lease) RequestTime() time.Duration {
	return l.clock()
}

// Confirm extends the lease to one term after requestedAt, the time before the confirmation was requested. It never shortens the lease. While the lease is paused, the confirmation takes effect at the next Resume.
func (l *Lease) Confirm(requestedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		l.pendingAt = max(l.pendingAt, requestedAt)
		l.hasPending = true
		return
	}
	l.extend(requestedAt)
}

// Pause holds back further confirmations until Resume is called, and drops those held back before. The lease remains valid until it expires.
func (l *Lease) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses++
	l.paused = true
	l.hasPending = false
	l.pendingAt = 0
}

// Pauses returns how often Pause has been called.
func (l *Lease) Pauses() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pauses
}

// Resume lets confirmations extend the lease again, including those that were held back. It does nothing if Pause has been called again since Pauses returned the given count.
func (l *Lease) Resume(pauses int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pauses != l.pauses {
		return
	}
	l.paused = false
	if l.hasPending {
		l.extend(l.pendingAt)
	}
	l.hasPending = false
}

func (l *Lease) extend(requestedAt time.Duration) {
	l.expiresAt = max(l.expiresAt, requestedAt+l.term)
	l.confirmed = true
	if l.extended != nil {
		close(l.extended)
		l.extended = nil
	}
}

// nextConfirmation returns a channel that is closed when the next confirmation takes effect.
func (l *Lease) nextConfirmation() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.extended == nil {
		l.extended = make(chan struct{})
	}
	return l.extended
}

// Valid reports whether the lease is valid now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed && l.clock() < l.expiresAt
}

// ConfirmedAt returns the time of the request of the last confirmation, or false if there was no confirmation.
func (l *Lease) ConfirmedAt() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expiresAt - l.term, l.confirmed
}

// Age returns the time since the request of the last confirmation, or false if there was no confirmation.
func (l *Lease) Age() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock() - l.expiresAt + l.term, l.confirmed
}
