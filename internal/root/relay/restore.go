package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

const (
	// restoreSettleTime is how long the key lease is not extended after the store was restored, unless other hosts have told what they know. The operator and the upstreams have written again by then.
	restoreSettleTime = 2 * time.Second
	// catchUpRetry is the pause between two attempts to learn from other hosts.
	catchUpRetry = 100 * time.Millisecond
	// restoreCallRate is the rate at which all hosts together read and write the store again after it was restored, in calls per second.
	restoreCallRate = 1200
	// callsPerRestore is how many calls a host makes then: it reads three tables and writes its row.
	callsPerRestore = 4
)

// knowledge is what the hosts tell each other after the store was restored.
type knowledge struct {
	*follow.PlanSink
	*follow.Upstreams
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
		if era.Known() && r.settle(ctx, entered) {
			r.lease.Resume(pauses)
		}
		select {
		case <-entered:
		case <-ctx.Done():
		}
	}
	return nil
}

// settle waits until other hosts have told what they know, or restoreSettleTime has passed. It returns false if the next era began meanwhile.
func (r *Relay) settle(ctx context.Context, entered <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, restoreSettleTime)
	defer cancel()
	for {
		if r.roster.Loaded() {
			learned := r.peers.CatchUp(ctx)
			if learned.Complete() {
				r.Log.WithField("asked", learned.Asked).WithField("answered", learned.Answered).Info("Learned from the other hosts what a restored store may have lost.")
				return !isClosed(entered)
			}
		}
		if !common.Sleep(ctx, catchUpRetry) {
			r.Log.Warn("No other host told what a restored store may have lost.")
			return !isClosed(entered)
		}
	}
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
