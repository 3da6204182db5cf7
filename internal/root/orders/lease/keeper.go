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

// lostPause is the wait after the store gave no certain word.
const lostPause = 500 * time.Millisecond

// Keeper holds or seeks one lease in the table service.
type Keeper struct {
	common.Deps
	table store.Table
	key   string

	mu    sync.Mutex
	lease *Lease
}

// NewKeeper returns a keeper of the lease with the key.
func NewKeeper(deps common.Deps, table store.Table, key string, l *Lease) *Keeper {
	return &Keeper{
		Deps:  deps.WithPart("lease"),
		table: table,
		key:   key,
		lease: l,
	}
}

// Name is the part's name in the supervision tree.
func (k *Keeper) Name() string {
	return "lease"
}

// Run seeks and renews the lease until ctx ends.
func (k *Keeper) Run(ctx context.Context, up func()) error {
	up()
	for ctx.Err() == nil {
		k.step(ctx)
	}
	return nil
}

// MayOrder returns the fencing number if an order sent now would end while the lease is held.
func (k *Keeper) MayOrder() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.MayOrder(k.Now())
}

func (k *Keeper) step(ctx context.Context) {
	switch a := k.next().(type) {
	case Read:
		k.take(k.read(ctx))
	case Write:
		k.take(k.write(ctx, a))
	case Rest:
		common.Sleep(ctx, a.For)
		return
	}
	k.mu.Lock()
	unsure := !k.lease.known
	k.mu.Unlock()
	if unsure {
		common.Sleep(ctx, lostPause)
	}
}

func (k *Keeper) next() Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Next(k.Now())
}

func (k *Keeper) take(ev Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, had := k.lease.Held(k.Now())
	k.lease.Take(k.Now(), ev)
	after, has := k.lease.Held(k.Now())
	if has && (!had || before != after) {
		k.Log.Infof("Lease %s is held with fencing number %d.", k.key, after)
	}
	if had && !has {
		k.Log.Warnf("Lease %s is lost.", k.key)
	}
}

func (k *Keeper) read(ctx context.Context) Event {
	row, err := k.table.Get(ctx, TableName, k.key)
	if errors.Is(err, store.ErrAbsent) {
		return Absent{}
	}
	if err != nil {
		return Lost{}
	}
	var r Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		k.Log.WithError(err).Error("Lease row cannot be read.")
		return Lost{}
	}
	return Saw{
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
		return Wrote{}
	case errors.As(err, &conflict):
		return k.read(ctx)
	default:
		return Lost{}
	}
}
