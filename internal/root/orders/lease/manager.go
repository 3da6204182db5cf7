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

// Manager acquires and renews one lease in the table service.
type Manager struct {
	common.Deps
	table store.Table
	key   string

	mu    sync.Mutex
	lease *Lease
}

// NewManager returns a manager for the lease that is stored under key.
func NewManager(deps common.Deps, table store.Table, key string, l *Lease) *Manager {
	return &Manager{
		Deps:  deps.WithPart("lease"),
		table: table,
		key:   key,
		lease: l,
	}
}

// Name returns the name in the supervision tree.
func (m *Manager) Name() string {
	return "lease"
}

// Run tries to acquire the lease, and renews it while it is held, until ctx ends. It always returns nil.
func (m *Manager) Run(ctx context.Context, up func()) error {
	up()
	for ctx.Err() == nil {
		m.step(ctx)
	}
	return nil
}

// MayOrder returns the fencing number and true if an order sent now would complete before the lease expires.
func (m *Manager) MayOrder() (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.MayOrder(m.Now())
}

func (m *Manager) step(ctx context.Context) {
	switch a := m.next().(type) {
	case Read:
		m.apply(m.read(ctx))
	case Write:
		m.apply(m.write(ctx, a))
	case Wait:
		common.Sleep(ctx, a.Delay)
		return
	}
	m.mu.Lock()
	unknown := !m.lease.known
	m.mu.Unlock()
	if unknown {
		common.Sleep(ctx, unknownResultPause)
	}
}

func (m *Manager) next() Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Next(m.Now())
}

func (m *Manager) apply(ev Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, had := m.lease.Held(m.Now())
	m.lease.Apply(m.Now(), ev)
	after, has := m.lease.Held(m.Now())
	if has && (!had || before != after) {
		m.Log.Infof("Acquired lease %s with fencing number %d.", m.key, after)
	}
	if had && !has {
		m.Log.Warnf("Lost lease %s.", m.key)
	}
}

func (m *Manager) read(ctx context.Context) Event {
	row, err := m.table.Get(ctx, TableName, m.key)
	if errors.Is(err, store.ErrNotFound) {
		return RowAbsent{}
	}
	if err != nil {
		return ResultUnknown{}
	}
	var r Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		m.Log.WithError(err).Error("Failed to decode lease row.")
		return ResultUnknown{}
	}
	return RowRead{
		Row:     r,
		Version: row.Version,
	}
}

func (m *Manager) write(ctx context.Context, w Write) Event {
	value, err := json.Marshal(w.Row)
	if err != nil {
		panic(fmt.Sprintf("lease row cannot be encoded: %v", err))
	}
	err = m.table.Commit(ctx, plat.Txn{
		Conds: []plat.Cond{
			{
				Table:   TableName,
				Key:     m.key,
				Version: w.Version,
			},
		},
		Puts: []plat.Put{
			{
				Table: TableName,
				Key:   m.key,
				Value: value,
			},
		},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return WriteSucceeded{}
	case errors.As(err, &conflict):
		return m.read(ctx)
	default:
		return ResultUnknown{}
	}
}
