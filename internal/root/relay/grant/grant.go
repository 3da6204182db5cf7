package grant

import (
	"sync"
	"time"
)

// Clock reads the time since boot, which goes on while the host is suspended.
type Clock func() time.Duration

// Lease says until when the configuration held here is known to be recent enough.
type Lease struct {
	clock Clock
	term  time.Duration

	mu    sync.Mutex
	until time.Duration
	held  bool
}

// New returns a lease that is not held; term is how long one confirmation counts.
func New(clock Clock, term time.Duration) *Lease {
	return &Lease{
		clock: clock,
		term:  term,
	}
}

// Start returns the time from which a confirmation counts that is asked for now.
func (l *Lease) Start() time.Duration {
	return l.clock()
}

// Confirm extends the lease by its term from the time at which the confirmation was asked for.
func (l *Lease) Confirm(asked time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = max(l.until, asked+l.term)
	l.held = true
}

// Valid reports whether the lease holds now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock() < l.until
}

// Age returns how long ago the last confirmation was asked for; false says that there was none.
func (l *Lease) Age() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock() - l.until + l.term, l.held
}
