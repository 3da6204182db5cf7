package table

import (
	"slices"
	"strings"
	"sync"

	"github.com/cornelwing/cornelwing/internal/plat"
)

// Rows is a transactional in-memory table store. It is safe for concurrent use.
type Rows struct {
	mu      sync.Mutex
	rows    map[rowKey]plat.Row
	keys    map[string][]string
	commits int64
	reads   int64
}

type rowKey struct {
	table string
	key   string
}

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{
		rows: map[rowKey]plat.Row{},
		keys: map[string][]string{},
	}
}

// Get returns a row and whether it exists.
func (r *Rows) Get(table, key string) (plat.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	row, ok := r.rows[rowKey{table: table, key: key}]
	return row, ok
}

// List returns up to limit rows in key order whose keys have the prefix and are greater than after.
func (r *Rows) List(table, prefix, after string, limit int) []plat.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	keys := r.keys[table]
	i, found := slices.BinarySearch(keys, max(prefix, after))
	if found && after != "" && keys[i] == after {
		i++
	}
	var out []plat.Row
	for ; i < len(keys) && len(out) < limit && strings.HasPrefix(keys[i], prefix); i++ {
		out = append(out, r.rows[rowKey{table: table, key: keys[i]}])
	}
	return out
}

// Commit applies the transaction and returns nil. If conditions don't hold, it applies nothing and returns their indexes.
func (r *Rows) Commit(txn plat.Txn) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commits++
	var failed []int
	for i, c := range txn.Conds {
		if r.rows[rowKey{table: c.Table, key: c.Key}].Version != c.Version {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	for _, p := range txn.Puts {
		r.put(p)
	}
	return nil
}

// put writes a row and increments its version. An empty value deletes the row. The caller holds mu.
func (r *Rows) put(p plat.Put) {
	rk := rowKey{table: p.Table, key: p.Key}
	old, exists := r.rows[rk]
	keys := r.keys[p.Table]
	i, _ := slices.BinarySearch(keys, p.Key)
	if len(p.Value) == 0 {
		if exists {
			delete(r.rows, rk)
			r.keys[p.Table] = slices.Delete(keys, i, i+1)
		}
		return
	}
	if !exists {
		r.keys[p.Table] = slices.Insert(keys, i, p.Key)
	}
	r.rows[rk] = plat.Row{
		Table:   p.Table,
		Key:     p.Key,
		Version: old.Version + 1,
		Value:   p.Value,
	}
}

// Counts returns the number of commits and of reads since the store was created. Failed commits are included.
func (r *Rows) Counts() (commits, reads int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.commits, r.reads
}
