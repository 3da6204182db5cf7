package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	configTable = "config"
	headKey     = "head"
	revPrefix   = "rev-"
	// deltaPrefix is the key prefix of the rows that contain the delta from the previous revision.
	deltaPrefix = "delta-"
	// applyAttempts is the maximum number of attempts of Apply. A repeated attempt determines whether a commit whose response was lost took effect.
	applyAttempts   = 8
	applyRetryDelay = 100 * time.Millisecond
)

// ErrNoRevision is returned if no configuration was committed yet.
var ErrNoRevision = errors.New("no configuration was accepted yet")

// StaleBaseError is returned for a change whose base revision was superseded by another operator's change.
type StaleBaseError struct {
	// Base is the revision from which the change was made, and Winner the newest revision.
	Base   int64
	Winner config.Revision
}

// Error returns a message with the base, and with the newest revision and its author.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("the change was made from revision %d, but %s has since made revision %d", e.Base, e.Winner.Author, e.Winner.Number)
}

// Change is an operator's request to put a document in force.
type Change struct {
	// ID is unique to the change. A retry with the same ID returns the outcome of a commit whose response was lost.
	ID     string
	Author string
	// Base is the number of the revision from which the operator made the change.
	Base     int64
	Document config.Document
}

// Revisions stores configuration revisions in the table service: one immutable row for each revision and a head row for the newest number.
type Revisions struct {
	common.Deps
	table store.Table
}

// NewRevisions returns the Revisions stored in table.
func NewRevisions(deps common.Deps, table store.Table) *Revisions {
	return &Revisions{
		Deps:  deps.WithPart("watch"),
		table: table,
	}
}

// head is the value of the head row.
type head struct {
	Number   int64  `json:"number"`
	ChangeID string `json:"change_id"`
}

// Head returns the number of the newest revision and the version of the head row. Both are 0 if there is no revision.
func (rs *Revisions) Head(ctx context.Context) (number, version int64, err error) {
	row, err := rs.table.Get(ctx, configTable, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("read head: %w", err)
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return 0, 0, fmt.Errorf("decode head: %w", err)
	}
	return h.Number, row.Version, nil
}

// Revision returns the revision with the number, or a store error.
func (rs *Revisions) Revision(ctx context.Context, number int64) (config.Revision, error) {
	row, err := rs.table.Get(ctx, configTable, revisionKey(number))
	if err != nil {
		return config.Revision{}, fmt.Errorf("read revision %d: %w", number, err)
	}
	var r config.Revision
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return config.Revision{}, fmt.Errorf("read revision %d: %w", number, err)
	}
	return r, nil
}

// Newest returns the newest revision, ErrNoRevision or a store error.
func (rs *Revisions) Newest(ctx context.Context) (config.Revision, error) {
	number, _, err := rs.Head(ctx)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read newest: %w", err)
	}
	if number == 0 {
		return config.Revision{}, ErrNoRevision
	}
	return rs.Revision(ctx, number)
}

// History returns at most limit revisions, newest first.
func (rs *Revisions) History(ctx context.Context, limit int) ([]config.Revision, error) {
	newest, _, err := rs.Head(ctx)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	var out []config.Revision
	for n := newest; n > 0 && len(out) < limit; n-- {
		r, err := rs.Revision(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("read history: %w", err)
		}
		out = append(out, r)
	}
	return out, nil
}

// Apply commits the change with a compare-and-set on its base revision. It returns the new revision, a *StaleBaseError or a store error.
func (rs *Revisions) Apply(ctx context.Context, c Change) (config.Revision, error) {
	var last error
	for range applyAttempts {
		r, err := rs.tryApply(ctx, c)
		if err == nil {
			return r, nil
		}
		var race *StaleBaseError
		if errors.As(err, &race) {
			return config.Revision{}, err
		}
		last = err
		if !common.Sleep(ctx, applyRetryDelay) {
			break
		}
	}
	return config.Revision{}, fmt.Errorf("apply change: %w", last)
}

func (rs *Revisions) tryApply(ctx context.Context, c Change) (config.Revision, error) {
	number, version, err := rs.Head(ctx)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read head: %w", err)
	}
	if number != c.Base {
		return rs.resolveStaleBase(ctx, c, number)
	}
	r := config.Revision{
		Number:   c.Base + 1,
		ChangeID: c.ID,
		Author:   c.Author,
		At:       rs.Now().UTC(),
		Document: c.Document,
	}
	txn, err := newRevisionTxn(r, version)
	if err != nil {
		return config.Revision{}, fmt.Errorf("make transaction: %w", err)
	}
	if err := rs.addDelta(ctx, &txn, r); err != nil {
		return config.Revision{}, fmt.Errorf("make delta: %w", err)
	}
	if err := rs.table.Commit(ctx, txn); err != nil {
		return config.Revision{}, fmt.Errorf("commit change: %w", err)
	}
	return r, nil
}

// addDelta adds the row with the delta from the previous revision to the transaction. It adds none if r cannot be expressed as a delta.
func (rs *Revisions) addDelta(ctx context.Context, txn *plat.Txn, r config.Revision) error {
	if r.Number == 1 {
		return nil
	}
	old, err := rs.Revision(ctx, r.Number-1)
	if err != nil {
		return fmt.Errorf("read base: %w", err)
	}
	d, ok := config.NewDelta(old, r)
	if !ok {
		return nil
	}
	value, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode delta: %w", err)
	}
	txn.Puts = append(txn.Puts, plat.Put{
		Table: configTable,
		Key:   deltaKey(r.Number),
		Value: value,
	})
	return nil
}

// Deltas returns the deltas from one revision to a later one, or an error if one of them is missing.
func (rs *Revisions) Deltas(ctx context.Context, from, to int64) ([]config.Delta, error) {
	var out []config.Delta
	for n := from + 1; n <= to; n++ {
		row, err := rs.table.Get(ctx, configTable, deltaKey(n))
		if err != nil {
			return nil, fmt.Errorf("read delta to %d: %w", n, err)
		}
		var d config.Delta
		if err := json.Unmarshal(row.Value, &d); err != nil {
			return nil, fmt.Errorf("read delta to %d: %w", n, err)
		}
		out = append(out, d)
	}
	return out, nil
}

// resolveStaleBase determines the outcome of a change whose base is not the newest revision. It returns the revision of the change
// if an earlier attempt committed it and the response was lost, and otherwise a *StaleBaseError with the newest revision.
func (rs *Revisions) resolveStaleBase(ctx context.Context, c Change, newest int64) (config.Revision, error) {
	if newest > c.Base {
		committed, err := rs.Revision(ctx, c.Base+1)
		if err != nil {
			return config.Revision{}, fmt.Errorf("settle change: %w", err)
		}
		if committed.ChangeID == c.ID {
			return committed, nil
		}
	}
	if newest == 0 {
		return config.Revision{}, fmt.Errorf("base %d: %w", c.Base, ErrNoRevision)
	}
	winner, err := rs.Revision(ctx, newest)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read winner: %w", err)
	}
	return config.Revision{}, &StaleBaseError{
		Base:   c.Base,
		Winner: winner,
	}
}

// newRevisionTxn returns the transaction that writes the revision and the head row, on the condition that the head row
// still has the version and the revision does not exist.
func newRevisionTxn(r config.Revision, version int64) (plat.Txn, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return plat.Txn{}, fmt.Errorf("encode revision: %w", err)
	}
	headValue, err := json.Marshal(head{
		Number:   r.Number,
		ChangeID: r.ChangeID,
	})
	if err != nil {
		return plat.Txn{}, fmt.Errorf("encode head: %w", err)
	}
	return plat.Txn{
		Conds: []plat.Cond{
			{
				Table:   configTable,
				Key:     headKey,
				Version: version,
			},
			{
				Table: configTable,
				Key:   revisionKey(r.Number),
			},
		},
		Puts: []plat.Put{
			{
				Table: configTable,
				Key:   headKey,
				Value: headValue,
			},
			{
				Table: configTable,
				Key:   revisionKey(r.Number),
				Value: value,
			},
		},
	}, nil
}

func deltaKey(n int64) string {
	return fmt.Sprintf("%s%012d", deltaPrefix, n)
}

func revisionKey(n int64) string {
	return fmt.Sprintf("%s%012d", revPrefix, n)
}
