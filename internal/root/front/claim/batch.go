package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/store"
)

const (
	// maxBatch is the maximum number of conditional writes in one transaction.
	maxBatch = 256
	// queueSize is how many writes may be queued for a transaction.
	queueSize = 4096
	// writeBudget is the rate limit for claim transactions over all hosts, in transactions per second.
	writeBudget = 300
	// writeBurst is how many transactions a host may commit without a pause, enough for the three transactions of one request.
	writeBurst = 6
	// busyPause is how long the batcher pauses after the table service rejected a transaction because of its rate limit.
	busyPause = 20 * time.Millisecond
)

// errConflict is returned if the row does not have the version that the condition of the write requires.
var errConflict = errors.New("row version conflict")

// commitSite determines which host may commit a write.
type commitSite int

// forwardable marks a write that originates on this host and may be forwarded to the claim writer.
// localOnly marks a write that another host forwarded to this one, which must commit it.
const (
	forwardable commitSite = iota
	localOnly
)

// write is a queued conditional write. Its result is sent on done.
type write struct {
	ctx  context.Context
	cond plat.Cond
	put  plat.Put
	// also holds further rows that are written in the same transaction, without a condition of their own.
	also       []plat.Put
	commitSite commitSite
	done       chan error
}

// batcher combines queued writes into transactions and commits one transaction at a time.
type batcher struct {
	table     store.Table
	forwarder Forwarder
	queue     chan write
	limiter   *rate.Limiter
	// deferred holds the writes that were left out of the previous batch because it already wrote their rows. They are the first writes of the next batch.
	deferred []write
}

func newBatcher(table store.Table, forwarder Forwarder) *batcher {
	return &batcher{
		table:     table,
		forwarder: forwarder,
		queue:     make(chan write, queueSize),
		limiter:   rate.NewLimiter(writeBudget, writeBurst),
	}
}

// put queues a write and waits for its result: nil, errConflict, store.ErrUnavailable or store.ErrUnknownOutcome.
func (b *batcher) put(ctx context.Context, x Write, at commitSite) error {
	w := write{
		ctx:        ctx,
		cond:       x.Cond,
		put:        x.Put,
		also:       x.Also,
		commitSite: at,
		done:       make(chan error, 1),
	}
	select {
	case b.queue <- w:
	default:
		return fmt.Errorf("queue write: %w", store.ErrUnavailable)
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("wait for write: %w", store.ErrUnknownOutcome)
	}
}

// run processes batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	for {
		first, ok := b.next(ctx)
		if !ok {
			return
		}
		batch := b.forwardWrites(ctx, b.gather(first))
		if len(batch) == 0 {
			continue
		}
		b.throttle(ctx)
		b.commit(b.deferDuplicates(b.gather(batch)))
	}
}

// next returns the deferred writes, or waits for a queued write. It returns false when ctx ends.
func (b *batcher) next(ctx context.Context) ([]write, bool) {
	if len(b.deferred) > 0 {
		deferred := b.deferred
		b.deferred = nil
		return deferred, true
	}
	select {
	case <-ctx.Done():
		return nil, false
	case first := <-b.queue:
		return []write{first}, true
	}
}

// gather adds queued writes to the given ones, up to maxBatch.
// A write whose context has ended is dropped; it has not been sent to the table service.
func (b *batcher) gather(first []write) []write {
	var batch []write
	add := func(w write) {
		if w.ctx.Err() == nil {
			batch = append(batch, w)
		}
	}
	for _, w := range first {
		add(w)
	}
	for len(batch) < maxBatch {
		select {
		case w := <-b.queue:
			add(w)
		default:
			return batch
		}
	}
	return batch
}

// forwardWrites forwards this host's own writes to the claim writer, and returns the writes that this host has to commit.
func (b *batcher) forwardWrites(ctx context.Context, batch []write) []write {
	var own, rest []write
	for _, w := range batch {
		if w.commitSite == forwardable {
			own = append(own, w)
			continue
		}
		rest = append(rest, w)
	}
	if len(own) == 0 {
		return rest
	}
	writes := make([]Write, 0, len(own))
	for _, w := range own {
		writes = append(writes, Write{
			Cond: w.cond,
			Put:  w.put,
			Also: w.also,
		})
	}
	results, ok := b.forwarder.Forward(ctx, writes)
	if !ok {
		return batch
	}
	for i, w := range own {
		w.done <- resultOrUnknown(results, i).err()
	}
	return rest
}

// resultOrUnknown returns the result at index i, or Unknown if the response has no result for this write.
func resultOrUnknown(results []Result, i int) Result {
	if i >= len(results) {
		return Unknown
	}
	return results[i]
}

// throttle waits until this host may commit a transaction under its share of writeBudget. Up to writeBurst transactions need not wait.
func (b *batcher) throttle(ctx context.Context) {
	b.limiter.SetLimit(rate.Limit(float64(writeBudget) / float64(max(1, b.forwarder.Writers()))))
	// Wait fails only if ctx ends, which the run loop checks next.
	_ = b.limiter.Wait(ctx)
}

// commit commits the batch. Writes whose condition does not hold get errConflict, and the rest is retried.
// A batch that the table service rejects because of its rate limit is retried too.
func (b *batcher) commit(batch []write) {
	for len(batch) > 0 {
		// The context of one write must not cancel the others; the store limits the duration of the call.
		err := b.table.Commit(context.Background(), txnOf(batch))
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &conflict) && len(conflict.Failed) > 0:
			batch = failConflicts(batch, conflict.Failed)
			continue
		case errors.Is(err, store.ErrThrottled):
			batch = b.pauseWhileBusy(batch)
			continue
		}
		for _, w := range batch {
			w.done <- err
		}
		return
	}
}

// deferDuplicates defers writes to a row that the batch already writes, since a transaction can contain only one write per row.
func (b *batcher) deferDuplicates(batch []write) []write {
	seen := make(map[string]bool, len(batch))
	first := batch[:0]
	for _, w := range batch {
		if seen[w.put.Key] {
			b.deferred = append(b.deferred, w)
			continue
		}
		seen[w.put.Key] = true
		first = append(first, w)
	}
	return first
}

// pauseWhileBusy waits for busyPause. It fails the writes whose context has ended in the meantime, and returns the rest.
func (b *batcher) pauseWhileBusy(batch []write) []write {
	time.Sleep(busyPause)
	var live []write
	for _, w := range batch {
		if w.ctx.Err() == nil {
			live = append(live, w)
			continue
		}
		w.done <- store.ErrUnavailable
	}
	return live
}

// failConflicts fails the writes at the given indices with errConflict, and returns the rest.
func failConflicts(batch []write, failed []int) []write {
	conflicting := make(map[int]bool, len(failed))
	for _, i := range failed {
		conflicting[i] = true
	}
	var rest []write
	for i, w := range batch {
		if conflicting[i] {
			w.done <- errConflict
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

// txnOf combines the writes into one transaction.
func txnOf(batch []write) plat.Txn {
	var txn plat.Txn
	for _, w := range batch {
		txn.Conds = append(txn.Conds, w.cond)
		txn.Puts = append(txn.Puts, w.put)
		txn.Puts = append(txn.Puts, w.also...)
	}
	return txn
}
