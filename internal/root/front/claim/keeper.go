package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// resolvePause is the wait between two tries to settle a lost answer.
	resolvePause = 25 * time.Millisecond
	// settleTimeout bounds one try to write an outcome.
	settleTimeout = 2 * time.Second
	maxSettle     = 2 * time.Second
	// lastSettle is how long a stopping host goes on writing outcomes.
	lastSettle = 5 * time.Second
	// fresh is the version of a row that was written once.
	fresh = 1
)

// ErrClosed says that another host has closed the key, so that nothing may be sent for it.
var ErrClosed = errors.New("key was closed")

// Keeper claims keys and closes them.
type Keeper struct {
	common.Deps
	table   store.Table
	batch   *batcher
	pending sync.WaitGroup
	stop    context.Context
	halt    context.CancelFunc
}

// Option changes a Keeper under construction.
type Option func(*Keeper)

// WithForwarder lets the keeper hand its writes to another host.
func WithForwarder(f Forwarder) Option {
	return func(k *Keeper) {
		k.batch.forward = f
	}
}

// New returns a keeper that writes to the table; hosts gives the number of live hosts that share its budget.
func New(deps common.Deps, table store.Table, hosts func() int, opts ...Option) *Keeper {
	stop, halt := context.WithCancel(context.Background())
	k := &Keeper{
		Deps:  deps.WithPart("claim"),
		table: table,
		batch: newBatcher(table, alone{hosts: hosts}),
		stop:  stop,
		halt:  halt,
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Name is the part's name in the supervision tree.
func (k *Keeper) Name() string {
	return "claim"
}

// Run commits batches until ctx ends and every outcome is written, or the time for that is over.
func (k *Keeper) Run(ctx context.Context, up func()) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go k.batch.run(work)
	up()
	<-ctx.Done()
	done := make(chan struct{})
	go func() {
		k.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(lastSettle):
		k.Log.Warn("Stopped with outcomes unwritten. Their keys stay unknown.")
	}
	k.halt()
	return nil
}

// Begin claims the record's key in the state that it is in, and returns an error only where the store gives no certain word before ctx ends.
func (k *Keeper) Begin(ctx context.Context, r Record) (Verdict, error) {
	v, err := k.insert(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("claim key: %w", err)
	}
	return v, nil
}

// Mark records that what must run once is about to be sent; it returns ErrClosed if another host has closed the key.
// Without a certain word before ctx ends nothing may be sent.
func (k *Keeper) Mark(ctx context.Context, r Record) (Record, error) {
	next := r.WithState(Sending)
	for {
		err := k.write(ctx, next, r.version)
		if err == nil {
			next.version = r.version + 1
			return next, nil
		}
		if tellsByReading(err) {
			old, readErr := k.Lookup(ctx, r.Account, r.Key)
			switch {
			case readErr == nil && old.State == Sending && old.Token == r.Token:
				return old, nil
			case readErr == nil && old.State == Closed:
				return r, fmt.Errorf("mark key: %w", ErrClosed)
			}
		}
		if !common.Sleep(ctx, resolvePause) {
			return r, fmt.Errorf("mark key: %w", err)
		}
	}
}

// tellsByReading reports whether reading the row may tell what became of a write.
func tellsByReading(err error) bool {
	return errors.Is(err, errTaken) || errors.Is(err, store.ErrLost)
}

// Expire closes a claim whose holder let its deadline pass without sending what must run once.
func (k *Keeper) Expire(ctx context.Context, r Record, p wire.Problem) (Record, error) {
	closed := r.WithProblem(p)
	if err := k.write(ctx, closed, r.version); err != nil {
		return r, fmt.Errorf("close expired key: %w", err)
	}
	return closed, nil
}

// Refuse closes the key as not run, unless another send of it came first.
func (k *Keeper) Refuse(ctx context.Context, r Record, p wire.Problem) (Verdict, error) {
	v, err := k.insert(ctx, r.WithProblem(p))
	if err != nil {
		return nil, fmt.Errorf("close key: %w", err)
	}
	return v, nil
}

// insert writes the record where the row is absent, and settles a lost answer by trying again and reading.
func (k *Keeper) insert(ctx context.Context, r Record) (Verdict, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	lost := false
	for {
		err := k.batch.put(ctx, writeOf(r, 0, value), anywhere)
		switch {
		case err == nil:
			r.version = fresh
			return Mine{Record: r}, nil
		case tellsByReading(err):
			lost = lost || errors.Is(err, store.ErrLost)
			v, readErr := k.judge(ctx, r)
			if readErr == nil {
				return v, nil
			}
			err = readErr
		}
		if !lost || !common.Sleep(ctx, resolvePause) {
			k.abandon(r, lost)
			return nil, fmt.Errorf("write claim: %w", err)
		}
	}
}

// abandon closes a key whose claim may still take effect, since nothing of it will run.
func (k *Keeper) abandon(r Record, lost bool) {
	if !lost || r.State == Closed {
		return
	}
	closed := r.WithProblem(wire.NewProblem(wire.KindStoreOut, wire.NotRun, "the claim's write was not confirmed in time"))
	k.background(func(ctx context.Context) bool { return k.tryAbandon(ctx, closed) })
}

// tryAbandon reports whether the key no longer depends on the claim that was given up.
func (k *Keeper) tryAbandon(ctx context.Context, closed Record) bool {
	old, err := k.Lookup(ctx, closed.Account, closed.Key)
	switch {
	case errors.Is(err, store.ErrAbsent):
		old.version = 0
	case err != nil:
		return false
	case old.Token != closed.Token || old.State == Closed:
		return true
	}
	return k.write(ctx, closed, old.version) == nil
}

// judge reads the row that stands in the way.
func (k *Keeper) judge(ctx context.Context, r Record) (Verdict, error) {
	old, err := k.Lookup(ctx, r.Account, r.Key)
	if err != nil {
		return nil, fmt.Errorf("read claim: %w", err)
	}
	switch {
	case old.Token == r.Token && old.State == r.State:
		return Mine{Record: old}, nil
	case old.BodyHash != r.BodyHash:
		return Reused{}, nil
	case old.State == Closed:
		return Ended{Record: old}, nil
	default:
		return Running{Record: old}, nil
	}
}

// Lookup returns the record of a key.
func (k *Keeper) Lookup(ctx context.Context, account, key string) (Record, error) {
	row, err := k.table.Get(ctx, TableName, RowKey(account, key))
	if err != nil {
		return Record{}, fmt.Errorf("look up key: %w", err)
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, fmt.Errorf("look up key: %w", err)
	}
	r.version = row.Version
	return r, nil
}

// Settle writes the outcome of a claim that this host holds; the channel closes once it is written.
func (k *Keeper) Settle(r Record) <-chan struct{} {
	return k.background(func(ctx context.Context) bool { return k.trySettle(ctx, r) })
}

// trySettle reports whether the outcome stands in the table.
func (k *Keeper) trySettle(ctx context.Context, r Record) bool {
	err := k.write(ctx, r, r.version)
	if err == nil {
		return true
	}
	if !tellsByReading(err) {
		return false
	}
	old, err := k.Lookup(ctx, r.Account, r.Key)
	if err != nil {
		return false
	}
	if old.Token != r.Token {
		panic(fmt.Sprintf("invariant broken: claim %s passed from %s to %s", r.RowKey(), r.Token, old.Token))
	}
	if old.State == Closed {
		return true
	}
	// A mark whose answer was lost has taken effect after all.
	return k.write(ctx, r, old.version) == nil
}

func (k *Keeper) write(ctx context.Context, r Record, version int64) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	if err := k.batch.put(ctx, writeOf(r, version, value), anywhere); err != nil {
		return fmt.Errorf("write claim: %w", err)
	}
	return nil
}

// background calls try until it holds; a stopping host waits for it for a while.
func (k *Keeper) background(try func(ctx context.Context) bool) <-chan struct{} {
	done := make(chan struct{})
	k.pending.Add(1)
	go func() {
		defer k.pending.Done()
		wait := resolvePause
		for {
			ctx, cancel := context.WithTimeout(k.stop, settleTimeout)
			ok := try(ctx)
			cancel()
			if ok {
				close(done)
				return
			}
			if !common.Sleep(k.stop, wait) {
				return
			}
			wait = min(wait*2, maxSettle)
		}
	}()
	return done
}

// writeOf returns the write of a record's row at a version; the first one also names it for its deletion.
func writeOf(r Record, version int64, value []byte) Write {
	w := Write{
		Cond: plat.Cond{
			Table:   TableName,
			Key:     r.RowKey(),
			Version: version,
		},
		Put: plat.Put{
			Table: TableName,
			Key:   r.RowKey(),
			Value: value,
		},
	}
	if version == 0 {
		w.Also = []plat.Put{expiryPut(r)}
	}
	return w
}
