package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrRevision reports a revision whose document does not stand up to its checks.
var ErrRevision = errors.New("revision is not valid")

// Revision is an accepted, immutable document with its number and its origin.
type Revision struct {
	Number int64 `json:"number"`
	// ChangeID is the identity that the operator's client gave the change; it settles a lost answer.
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Document Document  `json:"document"`
}

// UnmarshalJSON decodes a revision and checks its document.
func (r *Revision) UnmarshalJSON(b []byte) error {
	type plain Revision
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode revision: %w", err)
	}
	if p.Number <= 0 || p.ChangeID == "" {
		return fmt.Errorf("check revision %d: %w", p.Number, ErrRevision)
	}
	if faults := p.Document.Faults(); len(faults) > 0 {
		return fmt.Errorf("check revision %d: %s: %w", p.Number, faults[0], ErrRevision)
	}
	*r = Revision(p)
	return nil
}

// Newer reports whether r is to replace other.
func (r Revision) Newer(other Revision) bool {
	return r.Number > other.Number
}
