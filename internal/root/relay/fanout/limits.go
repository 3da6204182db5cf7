package fanout

import "time"

const (
	// turnReserve is the part of the time for a change in which a host that cannot hear of it turns to others and to the store.
	turnReserve = 200 * time.Millisecond
	// ageSlack is how much older than two waits for changes the knowledge of a host that reads the store may be.
	ageSlack = 500 * time.Millisecond
	// retriesWithin is how often a source that failed is tried again within the time for a change.
	retriesWithin = 3
	// minWait is the shortest wait of a call to the store for changes, and minRetry the shortest pause before a source that failed is tried again.
	minWait  = 100 * time.Millisecond
	minRetry = 200 * time.Millisecond
)

// Limits bound how a table is read by the time within which every host must know a change of it.
type Limits struct {
	// Within is that time, and Wait how long a call to the store may wait for changes where all hosts read it.
	Within, Wait time.Duration
}

// StoreWait returns how long a call to the store waits for changes if other hosts hear from the caller. What a host knows is as old as two calls before the next one confirms it, and so must be what the others hear.
func (l Limits) StoreWait() time.Duration {
	return max(minWait, min(l.Wait, (l.Within-ageSlack-turnReserve)/2))
}

// MaxAge returns how old the knowledge of another host may be to be used.
func (l Limits) MaxAge() time.Duration {
	return 2*l.StoreWait() + ageSlack
}

// retryWithin returns the longest pause before a source that failed is tried again.
func (l Limits) retryWithin() time.Duration {
	return max(minRetry, l.Within/retriesWithin)
}
