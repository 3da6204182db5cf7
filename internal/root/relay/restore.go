package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

const (
	// restoreSettleTime is how long the key lease is not extended after the store was restored, unless other hosts have told what they know. The operator and the upstreams have written again by then.
	restoreSettleTime = 2 * time.Second
	// catchUpRetry is the pause after the first attempt to learn from other hosts. It doubles with each further one.
	catchUpRetry = 100 * time.Millisecond
	// settlePoll is the time between two looks whether another host wrote that the era is settled.
	settlePoll = 20 * time.Millisecond
	// restoreCallRate is the rate at which all hosts together read and write the store again after it was restored, in calls per second.
	restoreCallRate = 1200
	// callsPerRestore is how many calls a host makes then: it reads three tables and writes its row.
	callsPerRestore = 4
)

// knowledge is what the hosts tell each other after the store was restored.
type knowledge struct {
	*follow.PlanSink
	*follow.Upstreams
	*follow.Evacuations
	*settlement
}

// settlement knows whether the configuration in the store can be taken for the newest one since the store was last restored. It is safe for concurrent use.
type settlement struct {
	mu sync.Mutex
	// outlived reports that this host had a configuration when the current era began.
	outlived bool
	// settled is the era that this host knows to be settled, by its own wait, and written the one that the store states, or "".
	settled, written string
}

// enter records that an era begins, and whether this host has had a configuration in an earlier one.
func (s *settlement) enter(outlived bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outlived = outlived
	s.settled = ""
}

func (s *settlement) setSettled(era string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled = era
}

// noteWritten records the settled era that the store states.
func (s *settlement) noteWritten(era string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = era
}

// isWritten reports whether the store states that the era is settled.
func (s *settlement) isWritten(era string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written == era
}

// Informed reports whether this host knows what the store held before it was last restored, or that the operator has written again since.
func (s *settlement) Informed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outlived || s.settled != ""
}

// restorePause returns the longest pause of this host before it reads or writes the store again after it was restored.
func (r *Relay) restorePause() time.Duration {
	return time.Duration(r.roster.Count()) * callsPerRestore * time.Second / restoreCallRate
}

// followEras learns from the other hosts whenever an era of the store begins, until ctx is done. While it does so the key lease is paused: an older configuration in the store must not pass for the newest one.
func (r *Relay) followEras(ctx context.Context, up func()) error {
	up()
	for ctx.Err() == nil {
		era, entered := r.adapter.Eras.Current()
		pauses := r.lease.Pauses()
		if era.Known() {
			settledAt := r.Now().Add(restoreSettleTime)
			if r.settle(ctx, era, entered) {
				r.lease.Resume(pauses)
				r.caughtUp.Store(true)
			}
			r.recordSettled(ctx, era, entered, settledAt)
		}
		select {
		case <-entered:
		case <-ctx.Done():
		}
	}
	return nil
}

// recordSettled waits until the operator has had the time to write again in the era, and has that written to the store, so that hosts which start later need not wait.
func (r *Relay) recordSettled(ctx context.Context, era follow.Era, entered <-chan struct{}, at time.Time) {
	timer := time.NewTimer(at.Sub(r.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		r.settlement.setSettled(era.String())
		r.backup.SetSettledEra(era.String())
	case <-entered:
	case <-ctx.Done():
	}
}

// settle waits until another host has told what it knows from before the era, the store states that the era is settled, or restoreSettleTime has passed. It returns false if the next era began meanwhile.
func (r *Relay) settle(ctx context.Context, era follow.Era, entered <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, restoreSettleTime)
	defer cancel()
	pause := catchUpRetry
	for {
		if r.roster.Loaded() {
			learned := r.peers.CatchUp(ctx)
			if learned.Complete() {
				r.Log.WithField("asked", learned.Asked).WithField("answered", learned.Answered).WithField("informed", learned.Informed).Info("Learned from the other hosts what a restored store may have lost.")
				return !isClosed(entered)
			}
		}
		if r.waitWritten(ctx, era, pause) {
			r.Log.WithField("era", era).Info("The store states that the operator has had the time to write again since it was restored.")
			return !isClosed(entered)
		}
		if ctx.Err() != nil {
			r.Log.Warn("No other host told what a restored store may have lost.")
			return !isClosed(entered)
		}
		pause *= 2
	}
}

// waitWritten waits up to d, until the store states that the era is settled, and reports whether it does.
func (r *Relay) waitWritten(ctx context.Context, era follow.Era, d time.Duration) bool {
	for end := r.Now().Add(d); r.Now().Before(end); {
		if r.settlement.isWritten(era.String()) {
			return true
		}
		if !common.Sleep(ctx, settlePoll) {
			return false
		}
	}
	return r.settlement.isWritten(era.String())
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// writeAgain waits until the store has been restored, and then for a random part of the restore pause. It returns false once ctx is done.
func (r *Relay) writeAgain(ctx context.Context, writtenIn follow.Era) bool {
	for {
		era, entered := r.adapter.Eras.Current()
		if era != writtenIn && writtenIn.Known() {
			return common.Sleep(ctx, rand.N(r.restorePause()+1))
		}
		writtenIn = era
		select {
		case <-entered:
		case <-ctx.Done():
			return false
		}
	}
}
