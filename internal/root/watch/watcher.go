package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/internal/super"
)

const (
	// minPollInterval is the minimum time between two reads of the head row.
	minPollInterval = time.Second
	// readBudget is the maximum rate at which all hosts together read the head row, in reads per second.
	readBudget = 100
)

// Watcher polls the head row and puts new revisions in force.
type Watcher struct {
	*Revisions
	active *Active
	hosts  func() int
}

// NewWatcher returns a Watcher that updates h to the newest revision. The function hosts returns the number of live hosts that share the read budget.
func NewWatcher(r *Revisions, a *Active, hosts func() int) *Watcher {
	return &Watcher{
		Revisions: r,
		active:    a,
		hosts:     hosts,
	}
}

// Part returns the polling of the head row as a part for the supervision tree.
func (w *Watcher) Part() super.Part {
	return super.Every("watch", w.interval, w.tick)
}

func (w *Watcher) interval() time.Duration {
	return max(minPollInterval, time.Second*time.Duration(w.hosts())/readBudget)
}

func (w *Watcher) tick(ctx context.Context) {
	number, _, err := w.Head(ctx)
	if err != nil {
		if !errors.Is(err, store.ErrUnavailable) {
			w.Log.WithError(err).Debug("Head row of the configuration cannot be read.")
		}
		return
	}
	if number <= w.active.Number() {
		return
	}
	if w.applyDeltas(ctx, number) {
		return
	}
	r, err := w.Revision(ctx, number)
	if err != nil {
		w.Log.WithError(err).Warnf("Revision %d cannot be read.", number)
		return
	}
	if w.active.PutIfNewer(r) {
		w.Log.Infof("Revision %d by %s is in force.", r.Number, r.Author)
	}
}

// applyDeltas applies the stored deltas from the revision in force up to the given one, and reports whether the result is in force.
// It reports false if there are more than maxDeltas deltas or one is missing.
func (w *Watcher) applyDeltas(ctx context.Context, number int64) bool {
	current := w.active.Number()
	if current == 0 || number-current > maxDeltas {
		return false
	}
	deltas, err := w.Deltas(ctx, current, number)
	if err != nil || !w.active.PutDeltasIfNewer(deltas) {
		return false
	}
	w.Log.Infof("Revision %d is in force. It was built from %d deltas.", number, len(deltas))
	return true
}
