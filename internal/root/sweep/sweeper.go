package sweep

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/internal/super"
)

const (
	// every is the time between two rounds.
	every = 30 * time.Second
	// pageSize is how many claims one transaction deletes.
	pageSize = 100
	// pages bounds one round, so that the store is left to others.
	pages = 120
	// pagePause is the least time between two pages.
	pagePause = 200 * time.Millisecond
)

// Sweeper deletes closed claims once their time is over; a claim without an outcome is kept, as it may have run.
type Sweeper struct {
	common.Deps
	table store.Table
	// leads says whether this host holds the lease.
	leads func() bool
}

// New returns a sweeper; leads says whether this host holds the lease.
func New(deps common.Deps, table store.Table, leads func() bool) *Sweeper {
	return &Sweeper{
		Deps:  deps.WithPart("sweep"),
		table: table,
		leads: leads,
	}
}

// Part returns the sweeper as a supervised part.
func (s *Sweeper) Part() super.Part {
	return super.Every("sweep", func() time.Duration { return every }, s.Round)
}

// Round deletes what is due, page by page.
func (s *Sweeper) Round(ctx context.Context) {
	after := ""
	for range pages {
		if !s.leads() {
			return
		}
		last, more, err := s.page(ctx, after)
		if err != nil {
			s.Log.WithError(err).Debug("Claims cannot be swept now.")
			return
		}
		if !more || !common.Sleep(ctx, pagePause) {
			return
		}
		after = last
	}
}

// page deletes the due claims of one page after a key, and returns the key that the next page begins after.
func (s *Sweeper) page(ctx context.Context, after string) (last string, more bool, err error) {
	rows, err := s.table.List(ctx, claim.ExpiryTable, "", after, pageSize)
	if err != nil {
		return "", false, fmt.Errorf("list due claims: %w", err)
	}
	var txn plat.Txn
	for _, row := range rows {
		if !claim.Due(row.Key, s.Now()) {
			rows = nil
			break
		}
		last = row.Key
		if err := s.add(ctx, &txn, row); err != nil {
			return "", false, fmt.Errorf("look at claim: %w", err)
		}
	}
	if len(txn.Puts) > 0 {
		if err := s.table.Commit(ctx, txn); err != nil {
			return "", false, fmt.Errorf("delete claims: %w", err)
		}
	}
	return last, len(rows) == pageSize, nil
}

// add puts the deletion of a closed claim into the transaction, on the condition that it is still as it was read.
func (s *Sweeper) add(ctx context.Context, txn *plat.Txn, expiry plat.Row) error {
	key := claim.ExpiryClaim(expiry.Key)
	row, err := s.table.Get(ctx, claim.TableName, key)
	if errors.Is(err, store.ErrAbsent) {
		txn.Puts = append(txn.Puts, deletion(claim.ExpiryTable, expiry.Key))
		return nil
	}
	if err != nil {
		return fmt.Errorf("read claim: %w", err)
	}
	var r claim.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("decode claim: %w", err)
	}
	if r.State != claim.Closed {
		return nil
	}
	txn.Conds = append(txn.Conds, plat.Cond{
		Table:   claim.TableName,
		Key:     key,
		Version: row.Version,
	})
	txn.Puts = append(txn.Puts, deletion(claim.TableName, key), deletion(claim.ExpiryTable, expiry.Key))
	return nil
}

func deletion(table, key string) plat.Put {
	return plat.Put{
		Table: table,
		Key:   key,
	}
}
