package lease

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
)

// unknownResultPause is the wait before the next read when the state of the row is unknown.
const unknownResultPause = 500 * time.Millisecond

// Keeper acquires and renews one lease in the table service.
type Keeper struct {
	common.Deps
	table store.Table
	key   string

	mu    sync.Mutex
	lease *Lease
}

// NewKeeper returns a keeper for the lease that is stored under key.
func NewKeeper(deps common.Deps, table store.Table, key string, l *Lease) *Keeper {
	return &Keeper{
		Deps:  deps.WithPart("lease"),
		table: table,
		key:   key,
		lease: l,
	}
}

// Name returns the name in the supervision tree.
func (k *Keeper) Name() string {
	return "lease"
}

// Run tries to acquire the lease, and renews it while it is held, until ctx ends. It always returns nil.
func (k *Keeper) Run(ctx context.Context, up func()) error {
	up()
	for ctx.Err() == nil {
		k.step(ctx)
	}
	return nil
}

// MayOrder returns the fencing number and true if an order sent now would complete before the lease expires.
func (k *Keeper) MayOrder() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.MayOrder(k.Now())
}

func (k *Keeper) step(ctx context.Context) {
	switch a := k.next().(type) {
	case Read:
		k.apply(k.read(ctx))
	case Write:
		k.apply(k.write(ctx, a))
	case Wait:
		common.Sleep(ctx, a.Delay)
		return
	}
	k.mu.Lock()
	unknown := !k.lease.known
	k.mu.Unlock()
	if unknown {
		common.Sleep(ctx, unknownResultPause)
	}
}

func (k *Keeper) next() Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Next(k.Now())
}

func (k *Keeper) apply(ev Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, had := k.lease.Held(k.Now())
	k.lease.Apply(k.Now(), ev)
	after, has := k.lease.Held(k.Now())
	if has && (!had || before != after) {
		k.Log.Infof("Acquired lease %s with fencing number %d.", k.key, after)
	}
	if had && !has {
		k.Log.Warnf("Lost lease %s.", k.key)
	}
}

func (k *Keeper) read(ctx context.Context) Event {
	row, err := k.table.Get(ctx, TableName, k.key)
	if errors.Is(err, store.ErrAbsent) {
		return RowAbsent{}
	}
	if err != nil {
		return ResultUnknown{}
	}
	var r Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		k.Log.WithError(err).Error("Failed to decode lease row.")
		return ResultUnknown{}
	}
	return RowRead{
		Row:     r,
		Version: row.Version,
	}
}

func (k *Keeper) write(ctx context.Context, w Write) Event {
	value, err := json.Marshal(w.Row)
	if err != nil {
		panic(fmt.Sprintf("lease row cannot be encoded: %v", err))
	}
	err = k.table.Commit(ctx, plat.Txn{
		Conds: []plat.Cond{
			{
				Table:   TableName,
				Key:     k.key,
				Version: w.Version,
			},
		},
		Puts: []plat.Put{
			{
				Table: TableName,
				Key:   k.key,
				Value: value,
			},
		},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return WriteSucceeded{}
	case errors.As(err, &conflict):
		return k.read(ctx)
	default:
		return ResultUnknown{}
	}
}
