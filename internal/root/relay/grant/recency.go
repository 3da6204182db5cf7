package grant

import (
	"context"
	"sync"
	"time"
)

const (
	// maxHold is how long requests wait together for a confirmation.
	maxHold = 500 * time.Millisecond
	// maxHeld is how many requests wait at a time.
	maxHeld = 64
)

// Recency tells whether the local configuration was confirmed recently enough to refuse requests because it lacks something, and lets some of them wait for a confirmation. It is safe for concurrent use.
type Recency struct {
	lease *Lease
	// within is the time within which a change must be in force.
	within time.Duration
	// ask has the store asked at once, if that is possible.
	ask func(ctx context.Context)

	mu    sync.Mutex
	round round
	held  int
	// askedAt is when the store was last asked, if asked is set.
	askedAt time.Duration
	asked   bool
	stats   RecencyStats
}

// confirmation is the last confirmation, if there was one.
type confirmation struct {
	at       time.Duration
	happened bool
}

// round is the time in which requests wait for the confirmation after one.
type round struct {
	begun bool
	after confirmation
	until time.Duration
}

// RecencyStats counts the requests whose route or key the local configuration lacks.
type RecencyStats struct {
	// Refused counts those that were refused for that, and Unconfirmed those that were told to come back, as a change which must be in force could be missing.
	Refused     int64 `json:"refused"`
	Unconfirmed int64 `json:"unconfirmed"`
	// OldestMS is the highest age that the confirmation of the configuration had when a request was refused, in milliseconds.
	OldestMS int64 `json:"oldest_ms"`
	// Held counts the requests that waited for a confirmation, and Asked how often the store was asked for one.
	Held  int64 `json:"held"`
	Asked int64 `json:"asked"`
}

// RecencyOption configures a Recency under construction.
type RecencyOption func(*Recency)

// WithAsk sets a function that asks the store at once whether the configuration is the newest one, and confirms the lease if so.
func WithAsk(ask func(ctx context.Context)) RecencyOption {
	return func(r *Recency) {
		r.ask = ask
	}
}

// NewRecency returns the recency of the configuration that the lease is for. A change of it must be in force within the given time.
func NewRecency(lease *Lease, within time.Duration, opts ...RecencyOption) *Recency {
	r := &Recency{
		lease:  lease,
		within: within,
		ask:    func(context.Context) {},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// ArrivalTime returns the current time. Call it when a request arrives and pass the result to Await.
func (r *Recency) ArrivalTime() time.Duration {
	return r.lease.RequestTime()
}

// Age returns the time since the last confirmation, or false if there was none.
func (r *Recency) Age() (time.Duration, bool) {
	return r.lease.Age()
}

// Await reports whether the configuration is known to have every change that must be in force for a request that arrived at the time. If it is not, Await waits for that until the limit or a shorter time has passed, or ctx is done. It does not wait if earlier requests have waited in vain since the last confirmation, or if too many wait now.
func (r *Recency) Await(ctx context.Context, arrivedAt, limit time.Duration) bool {
	if r.covers(arrivedAt) {
		return true
	}
	hold, ok := r.join()
	if !ok {
		return r.covers(arrivedAt)
	}
	defer r.leave()
	timer := time.NewTimer(min(hold, limit))
	defer timer.Stop()
	for {
		// The channel is taken first, so that no confirmation is missed.
		confirmed := r.lease.nextConfirmation()
		if r.covers(arrivedAt) {
			return true
		}
		select {
		case <-confirmed:
		case <-timer.C:
			return r.covers(arrivedAt)
		case <-ctx.Done():
			return false
		}
	}
}

// covers reports whether a change that must be in force for a request that arrived at the time can't be missing. The request was sent before it arrived.
func (r *Recency) covers(arrivedAt time.Duration) bool {
	at, ok := r.lease.ConfirmedAt()
	return ok && at >= arrivedAt-r.within
}

// join has the caller wait with others, and returns for how long. It returns false if the caller must not wait.
func (r *Recency) join() (time.Duration, bool) {
	now := r.lease.RequestTime()
	var last confirmation
	last.at, last.happened = r.lease.ConfirmedAt()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.round.begun || r.round.after != last {
		r.round = round{
			begun: true,
			after: last,
			until: now + maxHold,
		}
		r.askOnce(now)
	}
	if now >= r.round.until || r.held >= maxHeld {
		return 0, false
	}
	r.held++
	r.stats.Held++
	return r.round.until - now, true
}

// askOnce has the store asked, unless that was done so recently that the answer would do. The caller holds the lock.
func (r *Recency) askOnce(now time.Duration) {
	if r.asked && now < r.askedAt+r.within {
		return
	}
	r.asked = true
	r.askedAt = now
	r.stats.Asked++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxHold)
		defer cancel()
		r.ask(ctx)
	}()
}

func (r *Recency) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held--
}

// NoteRefusal records that a request was refused because the configuration lacks its route or key.
func (r *Recency) NoteRefusal() {
	age, ok := r.lease.Age()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Refused++
	if ok {
		r.stats.OldestMS = max(r.stats.OldestMS, age.Milliseconds())
	}
}

// NoteUnconfirmed records that such a request was told to come back.
func (r *Recency) NoteUnconfirmed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Unconfirmed++
}

// Stats returns the counts so far.
func (r *Recency) Stats() RecencyStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}
