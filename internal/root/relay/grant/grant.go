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

// Confirm extends the lease to one term after requestedAt, the time before the confirmation was requested. It never shortens the lease.
func (l *Lease) Confirm(requestedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt = max(l.expiresAt, requestedAt+l.term)
	l.confirmed = true
}

// Valid reports whether the lease is valid now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed && l.clock() < l.expiresAt
}

// Age returns the time since the request of the last confirmation, or false if there was no confirmation.
func (l *Lease) Age() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock() - l.expiresAt + l.term, l.confirmed
}
