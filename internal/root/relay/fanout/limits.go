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
	// lateSlack is how much older than two waits for changes knowledge is before it counts as late, and hedgeTime the time that other hosts have to renew it before the store is asked.
	lateSlack = 50 * time.Millisecond
	hedgeTime = 200 * time.Millisecond
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

// LateAge returns the age from which knowledge counts as late: if all goes well it has been renewed by then.
func (l Limits) LateAge() time.Duration {
	return 2*l.StoreWait() + lateSlack
}

// TurnAge returns the age of knowledge by which the store must be asked, so that a change is known in time.
func (l Limits) TurnAge() time.Duration {
	return max(l.MaxAge(), l.Within-turnReserve)
}

// CallWait returns how long a call to the store waits for changes if what is known was confirmed that long ago, and a call takes so much longer than its wait.
func (l Limits) CallWait(age, overhead time.Duration) time.Duration {
	return max(minWait, min(l.StoreWait(), 2*l.StoreWait()-age-overhead))
}

// turnSpread returns the time before TurnAge over which the calls of all hosts are spread.
func (l Limits) turnSpread() time.Duration {
	return max(0, min(maxFallbackPause, l.TurnAge()-l.LateAge()-hedgeTime))
}

// slowCall returns how long a call to the store that does not wait takes if the store is slow.
func (l Limits) slowCall() time.Duration {
	return l.Within / 4
}

// memory returns how long a statement that the store fails holds.
func (l Limits) memory() time.Duration {
	return l.Within / 2
}

// retryWithin returns the longest pause before a source that failed is tried again.
func (l Limits) retryWithin() time.Duration {
	return max(minRetry, l.Within/retriesWithin)
}
