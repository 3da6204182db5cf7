package plat

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ErrInvalidRow reports a row, condition or write without a table or a key.
var ErrInvalidRow = errors.New("table and key must not be empty")

// Row is one row of a table. Its version grows by one with each write.
type Row struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// UnmarshalJSON decodes a row and returns ErrInvalidRow if its table or key is empty.
func (r *Row) UnmarshalJSON(b []byte) error {
	type plain Row
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode row: %w", err)
	}
	if p.Table == "" || p.Key == "" {
		return fmt.Errorf("check row: %w", ErrInvalidRow)
	}
	*r = Row(p)
	return nil
}

// Cond requires that a row has the given version; version 0 requires that the row does not exist.
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

// Txn is an atomic transaction: if every condition holds, all writes take effect; otherwise no write does.
type Txn struct {
	Conds []Cond `json:"conds"`
	Puts  []Put  `json:"puts"`
}

// UnmarshalJSON decodes a transaction and returns ErrInvalidRow if a condition or write has an empty table or key.
func (t *Txn) UnmarshalJSON(b []byte) error {
	type plain Txn
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode transaction: %w", err)
	}
	for _, c := range p.Conds {
		if c.Table == "" || c.Key == "" {
			return fmt.Errorf("check condition: %w", ErrInvalidRow)
		}
	}
	for _, w := range p.Puts {
		if w.Table == "" || w.Key == "" {
			return fmt.Errorf("check write: %w", ErrInvalidRow)
		}
	}
	*t = Txn(p)
	return nil
}

// Conflict lists the indexes of the conditions that did not hold, in reply to a refused transaction.
type Conflict struct {
	Failed []int `json:"failed"`
}

// Rows is the response to a list request.
type Rows struct {
	Rows []Row `json:"rows"`
}
