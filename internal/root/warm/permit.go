package warm

import (
	"sync/atomic"
	"time"
)

// Permit allows one request to a cold upstream, once its tokens have been given. It is safe for concurrent use.
type Permit struct {
	clock func() time.Duration
	// askedAt is the time before the tokens were asked for.
	askedAt time.Duration
	spent   atomic.Bool
}

// NewPermit returns a permit for which tokens are asked from now on. The clock must go on while the host is suspended.
func NewPermit(clock func() time.Duration) *Permit {
	return &Permit{
		clock:   clock,
		askedAt: clock(),
	}
}

// Spend reports whether the request may be sent now: once, and not later than PermitLife after the permit was asked for. The host may have been frozen meanwhile, and others may have got the next tokens.
func (p *Permit) Spend() bool {
	if p.clock()-p.askedAt > PermitLife {
		return false
	}
	return p.spent.CompareAndSwap(false, true)
}
