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
	// resolvePause is the pause between two attempts to complete a write or to find out whether it took effect.
	// Background retries start with this pause and double it up to maxResolvePause.
	resolvePause = 25 * time.Millisecond
	// recordTimeout limits one attempt to write an outcome.
	recordTimeout   = 2 * time.Second
	maxResolvePause = 2 * time.Second
	// shutdownTimeout is how long a stopping host continues to write outcomes.
	shutdownTimeout = 5 * time.Second
	// firstVersion is the version of a row after the first write.
	firstVersion = 1
)

// ErrClosed is returned if another host has closed the key. The host that gets it must not send any call for the key.
var ErrClosed = errors.New("key closed by another host")

// Manager claims idempotency keys and records their outcomes. It is safe for concurrent use.
type Manager struct {
	common.Deps
	table         store.Table
	batch         *batcher
	retries       sync.WaitGroup
	retryCtx      context.Context
	cancelRetries context.CancelFunc
}

// Option configures a Manager.
type Option func(*Manager)

// WithForwarder sets the Forwarder through which the manager forwards its writes to another host.
func WithForwarder(f Forwarder) Option {
	return func(m *Manager) {
		m.batch.forwarder = f
	}
}

// New returns a manager that writes to the table. hosts returns the number of live hosts, which divide the write budget.
func New(deps common.Deps, table store.Table, hosts func() int, opts ...Option) *Manager {
	retryCtx, cancelRetries := context.WithCancel(context.Background())
	m := &Manager{
		Deps:          deps.WithPart("claim"),
		table:         table,
		batch:         newBatcher(table, noForwarding{hosts: hosts}),
		retryCtx:      retryCtx,
		cancelRetries: cancelRetries,
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Name returns the name of the part in the supervision tree.
func (m *Manager) Name() string {
	return "claim"
}

// Run commits batches until ctx ends. It then waits up to shutdownTimeout for outcomes that are not written yet.
func (m *Manager) Run(ctx context.Context, up func()) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go m.batch.run(work)
	up()
	<-ctx.Done()
	done := make(chan struct{})
	go func() {
		m.retries.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
		m.Log.Warn("Shutdown timed out before all outcomes were written. Their keys stay unknown.")
	}
	m.cancelRetries()
	return nil
}

// Acquire claims the key of the record and stores the record in its current state.
// It returns an error if the store is unavailable, or if ctx ends before it is known whether the claim was written.
func (m *Manager) Acquire(ctx context.Context, r Record) (Verdict, error) {
	v, err := m.insert(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("claim key: %w", err)
	}
	return v, nil
}

// MarkSending records that a call which must run at most once is about to be sent. It returns ErrClosed if another host has closed the key.
// If it returns any error, for instance because the result is unknown when ctx ends, the call must not be sent.
func (m *Manager) MarkSending(ctx context.Context, r Record) (Record, error) {
	next := r.WithState(Sending)
	for {
		err := m.write(ctx, next, r.version)
		if err == nil {
			next.version = r.version + 1
			return next, nil
		}
		if resolvableByRead(err) {
			old, readErr := m.Lookup(ctx, r.Account, r.Key)
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

// resolvableByRead reports whether reading the row can show if a failed write took effect.
func resolvableByRead(err error) bool {
	return errors.Is(err, errConflict) || errors.Is(err, store.ErrUnknownOutcome)
}

// Expire closes a claim with the problem. The caller has checked that the claim was still in state Started after its deadline,
// so that its holder sent no call that must run at most once. It fails if the holder has marked the claim since r was read.
func (m *Manager) Expire(ctx context.Context, r Record, p wire.Problem) (Record, error) {
	closed := r.WithProblem(p)
	if err := m.write(ctx, closed, r.version); err != nil {
		return r, fmt.Errorf("close expired key: %w", err)
	}
	return closed, nil
}

// Reject closes the key as not run, with the given problem, unless another attempt claimed the key first.
func (m *Manager) Reject(ctx context.Context, r Record, p wire.Problem) (Verdict, error) {
	v, err := m.insert(ctx, r.WithProblem(p))
	if err != nil {
		return nil, fmt.Errorf("close key: %w", err)
	}
	return v, nil
}

// insert writes the record if the row is absent. If the response is lost, it reads the row and retries until the result is known or ctx ends.
func (m *Manager) insert(ctx context.Context, r Record) (Verdict, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	uncertain := false
	for {
		err := m.batch.put(ctx, writeOf(r, 0, value), forwardable)
		switch {
		case err == nil:
			r.version = firstVersion
			return Acquired{Record: r}, nil
		case resolvableByRead(err):
			uncertain = uncertain || errors.Is(err, store.ErrUnknownOutcome)
			v, readErr := m.existingVerdict(ctx, r)
			if readErr == nil {
				return v, nil
			}
			err = readErr
		}
		if !uncertain || !common.Sleep(ctx, resolvePause) {
			m.abandon(r, uncertain)
			return nil, fmt.Errorf("write claim: %w", err)
		}
	}
}

// abandon closes the key of a request that will not run. It does so in the background, and only if the write of the claim may still take effect.
func (m *Manager) abandon(r Record, uncertain bool) {
	if !uncertain || r.State == Closed {
		return
	}
	closed := r.WithProblem(wire.NewProblem(wire.KindStoreUnavailable, wire.NotRun, "the claim's write was not confirmed in time"))
	m.retryInBackground(func(ctx context.Context) bool { return m.tryAbandon(ctx, closed) })
}

// tryAbandon writes the closed record, unless the key is already closed or belongs to another attempt.
// It reports whether the abandoned claim can no longer block the key.
func (m *Manager) tryAbandon(ctx context.Context, closed Record) bool {
	old, err := m.Lookup(ctx, closed.Account, closed.Key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		old.version = 0
	case err != nil:
		return false
	case old.Token != closed.Token || old.State == Closed:
		return true
	}
	return m.write(ctx, closed, old.version) == nil
}

// existingVerdict returns the verdict for r from the stored row of the key. It is called if the row already existed or the result of the write is unknown.
func (m *Manager) existingVerdict(ctx context.Context, r Record) (Verdict, error) {
	old, err := m.Lookup(ctx, r.Account, r.Key)
	if err != nil {
		return nil, fmt.Errorf("read claim: %w", err)
	}
	switch {
	case old.Token == r.Token && old.State == r.State:
		return Acquired{Record: old}, nil
	case old.BodyHash != r.BodyHash:
		return KeyReused{}, nil
	case old.State == Closed:
		return Completed{Record: old}, nil
	default:
		return Running{Record: old}, nil
	}
}

// Lookup returns the record of an idempotency key. The error wraps store.ErrNotFound if there is none.
func (m *Manager) Lookup(ctx context.Context, account, key string) (Record, error) {
	row, err := m.table.Get(ctx, TableName, RowKey(account, key))
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

// RecordOutcome writes the outcome of a claim that this host holds, with retries in the background. The channel is closed once the outcome is written.
func (m *Manager) RecordOutcome(r Record) <-chan struct{} {
	return m.retryInBackground(func(ctx context.Context) bool { return m.tryRecordOutcome(ctx, r) })
}

// tryRecordOutcome makes one attempt to write the outcome, and reports whether the table holds it.
func (m *Manager) tryRecordOutcome(ctx context.Context, r Record) bool {
	err := m.write(ctx, r, r.version)
	if err == nil {
		return true
	}
	if !resolvableByRead(err) {
		return false
	}
	old, err := m.Lookup(ctx, r.Account, r.Key)
	if err != nil {
		return false
	}
	if old.Token != r.Token {
		panic(fmt.Sprintf("invariant broken: claim %s passed from %s to %s", r.RowKey(), r.Token, old.Token))
	}
	if old.State == Closed {
		return true
	}
	// A MarkSending whose response was lost took effect after all, so the row has a newer version.
	return m.write(ctx, r, old.version) == nil
}

// write writes the record if its row has the given version, where 0 means that the row is absent.
func (m *Manager) write(ctx context.Context, r Record, version int64) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	if err := m.batch.put(ctx, writeOf(r, version, value), forwardable); err != nil {
		return fmt.Errorf("write claim: %w", err)
	}
	return nil
}

// retryInBackground calls try until it returns true, and then closes the channel. Run waits for it on shutdown, up to shutdownTimeout.
func (m *Manager) retryInBackground(try func(ctx context.Context) bool) <-chan struct{} {
	done := make(chan struct{})
	m.retries.Add(1)
	go func() {
		defer m.retries.Done()
		wait := resolvePause
		for {
			ctx, cancel := context.WithTimeout(m.retryCtx, recordTimeout)
			ok := try(ctx)
			cancel()
			if ok {
				close(done)
				return
			}
			if !common.Sleep(m.retryCtx, wait) {
				return
			}
			wait = min(wait*2, maxResolvePause)
		}
	}()
	return done
}

// writeOf returns the write of the record's row on condition of the given version. The first write of a row also adds its expiry row.
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
		w.Also = []plat.Put{newExpiryRow(r)}
	}
	return w
}
