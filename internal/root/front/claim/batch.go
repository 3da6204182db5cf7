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
	// maxBatch bounds the writes of one transaction.
	maxBatch = 256
	// queued is how many writes may wait for their transaction.
	queued = 4096
	// writeBudget is what all hosts together spend on claims, in transactions a second.
	writeBudget = 300
	// writeBurst is how many transactions a host may commit at once, enough for the three of one request.
	writeBurst = 6
	// busyPause is the wait after the platform refused a write for its rate.
	busyPause = 20 * time.Millisecond
)

// errTaken says that the row is not at the version that the write needs.
var errTaken = errors.New("row has changed")

// place says where a write may be committed.
type place int

// A write of this host may be handed over; one that was handed over is committed here.
const (
	anywhere place = iota
	here
)

// write is one conditional write that shares a transaction with others.
type write struct {
	ctx  context.Context
	cond plat.Cond
	put  plat.Put
	// also is written along with put, without a condition of its own.
	also  []plat.Put
	place place
	done  chan error
}

// batcher commits many writes in one transaction, one transaction at a time.
type batcher struct {
	table   store.Table
	forward Forwarder
	in      chan write
	pace    *rate.Limiter
	// twins are writes to a row that the last batch wrote as well; they go into the next one.
	twins []write
}

func newBatcher(table store.Table, forward Forwarder) *batcher {
	return &batcher{
		table:   table,
		forward: forward,
		in:      make(chan write, queued),
		pace:    rate.NewLimiter(writeBudget, writeBurst),
	}
}

// put queues a write and waits for its end: nil, errTaken, store.ErrOut or store.ErrLost.
func (b *batcher) put(ctx context.Context, x Write, at place) error {
	w := write{
		ctx:   ctx,
		cond:  x.Cond,
		put:   x.Put,
		also:  x.Also,
		place: at,
		done:  make(chan error, 1),
	}
	select {
	case b.in <- w:
	default:
		return fmt.Errorf("queue write: %w", store.ErrOut)
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("wait for write: %w", store.ErrLost)
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		first, ok := b.next(ctx)
		if !ok {
			return
		}
		batch := b.handOver(ctx, b.gather(first))
		if len(batch) == 0 {
			continue
		}
		b.space(ctx)
		b.commit(b.splitTwins(b.gather(batch)))
	}
}

// next waits for something to write.
func (b *batcher) next(ctx context.Context) ([]write, bool) {
	if len(b.twins) > 0 {
		twins := b.twins
		b.twins = nil
		return twins, true
	}
	select {
	case <-ctx.Done():
		return nil, false
	case first := <-b.in:
		return []write{first}, true
	}
}

// gather takes what waits; a write whose caller has gone away is dropped, since it was never sent.
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
		case w := <-b.in:
			add(w)
		default:
			return batch
		}
	}
	return batch
}

// handOver hands this host's own writes to the claim writer, and returns those that are to be committed here.
func (b *batcher) handOver(ctx context.Context, batch []write) []write {
	var own, rest []write
	for _, w := range batch {
		if w.place == anywhere {
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
	results, ok := b.forward.Forward(ctx, writes)
	if !ok {
		return batch
	}
	for i, w := range own {
		w.done <- resultAt(results, i).err()
	}
	return rest
}

// resultAt returns Lost for a write that the answer leaves out.
func resultAt(results []Result, i int) Result {
	if i >= len(results) {
		return Lost
	}
	return results[i]
}

// space keeps this host to its share of the budget; a few transactions may follow each other at once.
func (b *batcher) space(ctx context.Context) {
	b.pace.SetLimit(rate.Limit(float64(writeBudget) / float64(max(1, b.forward.Writers()))))
	// It fails only where ctx ends, which the loop sees next.
	_ = b.pace.Wait(ctx)
}

// commit writes the batch, setting aside the writes whose condition fails until the rest goes through.
func (b *batcher) commit(batch []write) {
	for len(batch) > 0 {
		// A write's own context must not cut off the others'; the store bounds the call.
		err := b.table.Commit(context.Background(), txnOf(batch))
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &conflict) && len(conflict.Failed) > 0:
			batch = setAside(batch, conflict.Failed)
			continue
		case errors.Is(err, store.ErrBusy):
			batch = b.waitBusy(batch)
			continue
		}
		for _, w := range batch {
			w.done <- err
		}
		return
	}
}

// splitTwins puts off writes to a row that the batch writes already, as a transaction can hold only one.
func (b *batcher) splitTwins(batch []write) []write {
	seen := make(map[string]bool, len(batch))
	first := batch[:0]
	for _, w := range batch {
		if seen[w.put.Key] {
			b.twins = append(b.twins, w)
			continue
		}
		seen[w.put.Key] = true
		first = append(first, w)
	}
	return first
}

func (b *batcher) waitBusy(batch []write) []write {
	time.Sleep(busyPause)
	var live []write
	for _, w := range batch {
		if w.ctx.Err() == nil {
			live = append(live, w)
			continue
		}
		w.done <- store.ErrOut
	}
	return live
}

func setAside(batch []write, failed []int) []write {
	lost := make(map[int]bool, len(failed))
	for _, i := range failed {
		lost[i] = true
	}
	var rest []write
	for i, w := range batch {
		if lost[i] {
			w.done <- errTaken
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

func txnOf(batch []write) plat.Txn {
	var txn plat.Txn
	for _, w := range batch {
		txn.Conds = append(txn.Conds, w.cond)
		txn.Puts = append(txn.Puts, w.put)
		txn.Puts = append(txn.Puts, w.also...)
	}
	return txn
}
