package hosts

import (
	"context"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	// refuteInterval is the time between two checks whether upstreams that were thought to have crashed run on.
	refuteInterval = 500 * time.Millisecond
	// refutable is how long after a crash it can turn out that there was none.
	refutable = 2 * time.Minute
)

// RunningAt returns a time at which a start of an upstream was running, or false if that is not known.
type RunningAt func(upstream string, startedAtMS int64) (at time.Time, ok bool)

// Refuter withdraws crashes of upstreams that turn out to have run on: all hosts may have lost their links to an upstream at once. Each host does so by itself, from what it knows of the upstreams.
type Refuter struct {
	common.Deps
	crashes   *Crashes
	runningAt RunningAt
}

// NewRefuter returns a part that checks the crashes that the host knows of.
func NewRefuter(deps common.Deps, crashes *Crashes, runningAt RunningAt) *Refuter {
	return &Refuter{
		Deps:      deps.WithPart("refute"),
		crashes:   crashes,
		runningAt: runningAt,
	}
}

// Name returns the part's name in the supervision tree.
func (r *Refuter) Name() string {
	return "refute"
}

// Run checks the crashes until ctx is done.
func (r *Refuter) Run(ctx context.Context, up func()) error {
	up()
	for common.Sleep(ctx, refuteInterval) {
		r.check()
	}
	return nil
}

// check withdraws the crashes of upstreams that have run on.
func (r *Refuter) check() {
	withdrawn := 0
	for _, c := range r.crashes.ledger.Unrefuted(r.Now().Add(-refutable)) {
		name, startedAtMS, ok := parseStart(c.Upstream)
		if !ok {
			continue
		}
		at, ok := r.runningAt(name, startedAtMS)
		if ok && r.crashes.ledger.AddAlive(c.Upstream, at) {
			withdrawn++
			r.Log.WithField("upstream", c.Upstream).WithField("later_ms", at.Sub(c.At).Milliseconds()).Info("Upstream was running after the crash that was reported. The crash does not count.")
		}
	}
	if withdrawn > 0 {
		r.crashes.updateVerdict()
	}
}
