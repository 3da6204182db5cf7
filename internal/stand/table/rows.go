package table

import (
	"slices"
	"strings"
	"sync"

	"github.com/cornelwing/cornelwing/internal/plat"
)

// Rows is a transactional table store in memory.
type Rows struct {
	mu      sync.Mutex
	rows    map[id]plat.Row
	keys    map[string][]string
	commits int64
	reads   int64
}

type id struct {
	table string
	key   string
}

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{
		rows: map[id]plat.Row{},
		keys: map[string][]string{},
	}
}

// Get returns a row.
func (r *Rows) Get(table, key string) (plat.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	row, ok := r.rows[id{table: table, key: key}]
	return row, ok
}

// List returns rows in the order of their keys.
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
		out = append(out, r.rows[id{table: table, key: keys[i]}])
	}
	return out
}

// Commit applies the transaction, or returns the indexes of the conditions that do not hold.
func (r *Rows) Commit(txn plat.Txn) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commits++
	var failed []int
	for i, c := range txn.Conds {
		if r.rows[id{table: c.Table, key: c.Key}].Version != c.Version {
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

func (r *Rows) put(p plat.Put) {
	at := id{table: p.Table, key: p.Key}
	old, had := r.rows[at]
	keys := r.keys[p.Table]
	i, _ := slices.BinarySearch(keys, p.Key)
	if len(p.Value) == 0 {
		if had {
			delete(r.rows, at)
			r.keys[p.Table] = slices.Delete(keys, i, i+1)
		}
		return
	}
	if !had {
		r.keys[p.Table] = slices.Insert(keys, i, p.Key)
	}
	r.rows[at] = plat.Row{
		Table:   p.Table,
		Key:     p.Key,
		Version: old.Version + 1,
		Value:   p.Value,
	}
}

// Counts returns the commits and reads since the start.
func (r *Rows) Counts() (commits, reads int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.commits, r.reads
}
