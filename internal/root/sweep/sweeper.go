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
	// roundInterval is the time between two rounds.
	roundInterval = 30 * time.Second
	// pageSize is the maximum number of claims that one transaction deletes.
	pageSize = 100
	// maxPages bounds the pages of one round, to limit the load on the store.
	maxPages = 120
	// pagePause is the minimum time between two pages.
	pagePause = 200 * time.Millisecond
)

// Sweeper deletes closed claims after their retention period. It retains claims without an outcome, because their requests may have run.
type Sweeper struct {
	common.Deps
	table store.Table
	// isLeader reports whether this host holds the lease for orders.
	isLeader func() bool
}

// New returns a sweeper of the claims in table. The function isLeader reports whether this host holds the lease for orders.
func New(deps common.Deps, table store.Table, isLeader func() bool) *Sweeper {
	return &Sweeper{
		Deps:     deps.WithPart("sweep"),
		table:    table,
		isLeader: isLeader,
	}
}

// Part returns the periodic deletion of due claims as a part for the supervision tree.
func (s *Sweeper) Part() super.Part {
	return super.Every("sweep", func() time.Duration { return roundInterval }, s.Round)
}

// Round deletes the due claims page by page. It stops early if this host loses the lease, a page fails or ctx ends.
func (s *Sweeper) Round(ctx context.Context) {
	after := ""
	for range maxPages {
		if !s.isLeader() {
			return
		}
		last, more, err := s.sweepPage(ctx, after)
		if err != nil {
			s.Log.WithError(err).Debug("Due claims could not be deleted. The next round tries again.")
			return
		}
		if !more || !common.Sleep(ctx, pagePause) {
			return
		}
		after = last
	}
}

// sweepPage deletes the due claims of one page of expiry rows, which starts after the given key.
// It returns the key after which the next page starts, and whether there may be a next page.
func (s *Sweeper) sweepPage(ctx context.Context, after string) (last string, more bool, err error) {
	rows, err := s.table.List(ctx, claim.ExpiryTable, "", after, pageSize)
	if err != nil {
		return "", false, fmt.Errorf("list due claims: %w", err)
	}
	var txn plat.Txn
	for _, row := range rows {
		if !claim.ExpiryDue(row.Key, s.Now()) {
			rows = nil
			break
		}
		last = row.Key
		if err := s.addDeletion(ctx, &txn, row); err != nil {
			return "", false, fmt.Errorf("prepare deletion of claim: %w", err)
		}
	}
	if len(txn.Puts) > 0 {
		if err := s.table.Commit(ctx, txn); err != nil {
			return "", false, fmt.Errorf("delete claims: %w", err)
		}
	}
	return last, len(rows) == pageSize, nil
}

// addDeletion adds the deletion of a closed claim and of its expiry row to the transaction, on the condition that the claim is unchanged since it was read.
// If the claim no longer exists, it adds the deletion of the expiry row alone.
func (s *Sweeper) addDeletion(ctx context.Context, txn *plat.Txn, expiry plat.Row) error {
	key := claim.RowKeyFromExpiry(expiry.Key)
	row, err := s.table.Get(ctx, claim.TableName, key)
	if errors.Is(err, store.ErrNotFound) {
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
