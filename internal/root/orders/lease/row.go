package lease

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// TableName is the table that holds the leases.
const TableName = "leases"

// ErrRow reports a lease row without a holder or a fencing number.
var ErrRow = errors.New("lease row is not valid")

// Row is the lease as the table service keeps it.
type Row struct {
	Holder string `json:"holder"`
	// Fence grows by one each time that the lease passes to another holder.
	Fence int64 `json:"fence"`
	// Nonce is new with each write, by which a writer tells whether its write took effect.
	Nonce string `json:"nonce"`
}

// UnmarshalJSON decodes a row and checks it.
func (r *Row) UnmarshalJSON(b []byte) error {
	type plain Row
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode lease: %w", err)
	}
	if p.Holder == "" || p.Fence <= 0 || p.Nonce == "" {
		return fmt.Errorf("check lease: %w", ErrRow)
	}
	*r = Row(p)
	return nil
}
