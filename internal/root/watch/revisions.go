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
	tableName = "config"
	headKey   = "head"
	revPrefix = "rev-"
	// deltaPrefix is that of the rows that hold the difference to the revision before.
	deltaPrefix = "delta-"
	// applyTries bounds how often a lost answer is settled by trying again.
	applyTries = 8
	applyPause = 100 * time.Millisecond
)

// ErrNone says that no configuration was ever accepted.
var ErrNone = errors.New("no configuration was accepted yet")

// RaceError says that another operator's change came first.
type RaceError struct {
	// Base is the revision that the change was made from, and Winner the one now in force.
	Base   int64
	Winner config.Revision
}

// Error names the winner and its author.
func (e *RaceError) Error() string {
	return fmt.Sprintf("the change was made from revision %d, but %s has since made revision %d", e.Base, e.Winner.Author, e.Winner.Number)
}

// Change is a document that an operator wants in force.
type Change struct {
	// ID is unique to the change; sending it again settles a lost answer.
	ID       string
	Author   string
	Base     int64
	Document config.Document
}

// Revisions keeps the revisions in the table service: immutable rows and a head row.
type Revisions struct {
	common.Deps
	table store.Table
}

// NewRevisions returns the revisions in the table.
func NewRevisions(deps common.Deps, table store.Table) *Revisions {
	return &Revisions{
		Deps:  deps.WithPart("watch"),
		table: table,
	}
}

type head struct {
	Number   int64  `json:"number"`
	ChangeID string `json:"change_id"`
}

// Head returns the number of the newest revision, 0 where there is none, and the version of the head row.
func (l *Revisions) Head(ctx context.Context) (number, version int64, err error) {
	row, err := l.table.Get(ctx, tableName, headKey)
	if errors.Is(err, store.ErrAbsent) {
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

// Revision returns one revision.
func (l *Revisions) Revision(ctx context.Context, number int64) (config.Revision, error) {
	row, err := l.table.Get(ctx, tableName, revKey(number))
	if err != nil {
		return config.Revision{}, fmt.Errorf("read revision %d: %w", number, err)
	}
	var r config.Revision
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return config.Revision{}, fmt.Errorf("read revision %d: %w", number, err)
	}
	return r, nil
}

// Newest returns the newest revision, or ErrNone.
func (l *Revisions) Newest(ctx context.Context) (config.Revision, error) {
	number, _, err := l.Head(ctx)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read newest: %w", err)
	}
	if number == 0 {
		return config.Revision{}, ErrNone
	}
	return l.Revision(ctx, number)
}

// History returns at most limit revisions, the newest first.
func (l *Revisions) History(ctx context.Context, limit int) ([]config.Revision, error) {
	newest, _, err := l.Head(ctx)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	var out []config.Revision
	for n := newest; n > 0 && len(out) < limit; n-- {
		r, err := l.Revision(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("read history: %w", err)
		}
		out = append(out, r)
	}
	return out, nil
}

// Apply accepts the change by compare-and-set on its base; it returns the new revision, a *RaceError or a store error.
func (l *Revisions) Apply(ctx context.Context, c Change) (config.Revision, error) {
	var last error
	for range applyTries {
		r, err := l.tryApply(ctx, c)
		if err == nil {
			return r, nil
		}
		var race *RaceError
		if errors.As(err, &race) {
			return config.Revision{}, err
		}
		last = err
		if !common.Sleep(ctx, applyPause) {
			break
		}
	}
	return config.Revision{}, fmt.Errorf("apply change: %w", last)
}

func (l *Revisions) tryApply(ctx context.Context, c Change) (config.Revision, error) {
	number, version, err := l.Head(ctx)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read head: %w", err)
	}
	if number != c.Base {
		return l.settle(ctx, c, number)
	}
	r := config.Revision{
		Number:   c.Base + 1,
		ChangeID: c.ID,
		Author:   c.Author,
		At:       l.Now().UTC(),
		Document: c.Document,
	}
	txn, err := applyTxn(r, version)
	if err != nil {
		return config.Revision{}, fmt.Errorf("make transaction: %w", err)
	}
	if err := l.addDelta(ctx, &txn, r); err != nil {
		return config.Revision{}, fmt.Errorf("make delta: %w", err)
	}
	if err := l.table.Commit(ctx, txn); err != nil {
		return config.Revision{}, fmt.Errorf("commit change: %w", err)
	}
	return r, nil
}

// addDelta writes the difference to the revision before along with the whole one.
func (l *Revisions) addDelta(ctx context.Context, txn *plat.Txn, r config.Revision) error {
	if r.Number == 1 {
		return nil
	}
	old, err := l.Revision(ctx, r.Number-1)
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
		Table: tableName,
		Key:   deltaKey(r.Number),
		Value: value,
	})
	return nil
}

// Deltas returns what leads from a revision to a later one, or an error where a step is missing.
func (l *Revisions) Deltas(ctx context.Context, from, to int64) ([]config.Delta, error) {
	var out []config.Delta
	for n := from + 1; n <= to; n++ {
		row, err := l.table.Get(ctx, tableName, deltaKey(n))
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

// settle tells a change that was accepted, its answer lost, from one that lost a race.
func (l *Revisions) settle(ctx context.Context, c Change, newest int64) (config.Revision, error) {
	if newest > c.Base {
		mine, err := l.Revision(ctx, c.Base+1)
		if err != nil {
			return config.Revision{}, fmt.Errorf("settle change: %w", err)
		}
		if mine.ChangeID == c.ID {
			return mine, nil
		}
	}
	if newest == 0 {
		return config.Revision{}, fmt.Errorf("base %d: %w", c.Base, ErrNone)
	}
	winner, err := l.Revision(ctx, newest)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read winner: %w", err)
	}
	return config.Revision{}, &RaceError{
		Base:   c.Base,
		Winner: winner,
	}
}

func applyTxn(r config.Revision, version int64) (plat.Txn, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return plat.Txn{}, fmt.Errorf("encode revision: %w", err)
	}
	top, err := json.Marshal(head{
		Number:   r.Number,
		ChangeID: r.ChangeID,
	})
	if err != nil {
		return plat.Txn{}, fmt.Errorf("encode head: %w", err)
	}
	return plat.Txn{
		Conds: []plat.Cond{
			{
				Table:   tableName,
				Key:     headKey,
				Version: version,
			},
			{
				Table: tableName,
				Key:   revKey(r.Number),
			},
		},
		Puts: []plat.Put{
			{
				Table: tableName,
				Key:   headKey,
				Value: top,
			},
			{
				Table: tableName,
				Key:   revKey(r.Number),
				Value: value,
			},
		},
	}, nil
}

func deltaKey(n int64) string {
	return fmt.Sprintf("%s%012d", deltaPrefix, n)
}

func revKey(n int64) string {
	return fmt.Sprintf("%s%012d", revPrefix, n)
}
