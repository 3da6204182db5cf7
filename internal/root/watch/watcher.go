package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/internal/super"
)

const (
	// minPoll is the least time between two reads of the head row.
	minPoll = time.Second
	// readBudget is what all hosts together spend on reading the head, in reads a second.
	readBudget = 100
)

// Watcher follows the head row.
type Watcher struct {
	*Revisions
	holder *Holder
	hosts  func() int
}

// NewWatcher returns a part that keeps the holder at the newest revision; hosts gives the number of live hosts that share the read budget.
func NewWatcher(l *Revisions, h *Holder, hosts func() int) *Watcher {
	return &Watcher{
		Revisions: l,
		holder:    h,
		hosts:     hosts,
	}
}

// Part returns the watcher as a supervised part.
func (w *Watcher) Part() super.Part {
	return super.Every("watch", w.interval, w.tick)
}

func (w *Watcher) interval() time.Duration {
	return max(minPoll, time.Second*time.Duration(w.hosts())/readBudget)
}

func (w *Watcher) tick(ctx context.Context) {
	number, _, err := w.Head(ctx)
	if err != nil {
		if !errors.Is(err, store.ErrOut) {
			w.Log.WithError(err).Debug("Head cannot be read.")
		}
		return
	}
	if number <= w.holder.Number() {
		return
	}
	if w.followDeltas(ctx, number) {
		return
	}
	r, err := w.Revision(ctx, number)
	if err != nil {
		w.Log.WithError(err).Warnf("Revision %d cannot be read.", number)
		return
	}
	if w.holder.Offer(r) {
		w.Log.Infof("Revision %d by %s is in force.", r.Number, r.Author)
	}
}

// followDeltas reaches the revision by small steps from the one in force, if these are few and there.
func (w *Watcher) followDeltas(ctx context.Context, number int64) bool {
	mine := w.holder.Number()
	if mine == 0 || number-mine > maxDeltas {
		return false
	}
	deltas, err := w.Deltas(ctx, mine, number)
	if err != nil || !w.holder.OfferDeltas(deltas) {
		return false
	}
	w.Log.Infof("Revision %d is in force, by %d deltas.", number, len(deltas))
	return true
}
