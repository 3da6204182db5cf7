package lease

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// TableName is the table that contains the lease rows.
const TableName = "leases"

// ErrInvalidRow reports a lease row without a holder, a nonce or a fencing number above 0.
var ErrInvalidRow = errors.New("lease row is not valid")

// Row is the lease as stored in the table service.
type Row struct {
	Holder string `json:"holder"`
	// Fence is the fencing number. It grows by one each time another holder acquires the lease.
	Fence int64 `json:"fence"`
	// Nonce is unique to each write. After a lost response the writer recognizes its own write by it.
	Nonce string `json:"nonce"`
}

// UnmarshalJSON decodes a row and returns ErrInvalidRow if a field is missing.
func (r *Row) UnmarshalJSON(b []byte) error {
	type plain Row
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode lease: %w", err)
	}
	if p.Holder == "" || p.Fence <= 0 || p.Nonce == "" {
		return fmt.Errorf("check lease: %w", ErrInvalidRow)
	}
	*r = Row(p)
	return nil
}
