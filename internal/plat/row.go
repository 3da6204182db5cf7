package plat

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ErrRow reports a row, condition or write without a table or a key.
var ErrRow = errors.New("table and key must not be empty")

// Row is one row of a table; its version grows by one with each write.
type Row struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// UnmarshalJSON decodes a row and checks that it is named.
func (r *Row) UnmarshalJSON(b []byte) error {
	type plain Row
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode row: %w", err)
	}
	if p.Table == "" || p.Key == "" {
		return fmt.Errorf("check row: %w", ErrRow)
	}
	*r = Row(p)
	return nil
}

// Cond requires a row to have the version; version 0 requires that the row is absent.
type Cond struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row; an empty value deletes it.
type Put struct {
	Table string          `json:"table"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Txn is a transaction: all writes take effect if every condition holds, and none otherwise.
type Txn struct {
	Conds []Cond `json:"conds"`
	Puts  []Put  `json:"puts"`
}

// UnmarshalJSON decodes a transaction and checks that every part of it names a row.
func (t *Txn) UnmarshalJSON(b []byte) error {
	type plain Txn
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode transaction: %w", err)
	}
	for _, c := range p.Conds {
		if c.Table == "" || c.Key == "" {
			return fmt.Errorf("check condition: %w", ErrRow)
		}
	}
	for _, w := range p.Puts {
		if w.Table == "" || w.Key == "" {
			return fmt.Errorf("check write: %w", ErrRow)
		}
	}
	*t = Txn(p)
	return nil
}

// Conflict names the conditions, by their index, that did not hold.
type Conflict struct {
	Failed []int `json:"failed"`
}

// Rows is the answer to a listing.
type Rows struct {
	Rows []Row `json:"rows"`
}
