package bulk

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

const (
	// MaxSize is the largest size of a block, in bytes.
	MaxSize = 16 << 20
	// idBytes is how many bytes of its hash name a block.
	idBytes = 16
)

// ErrInvalidRef is returned for a reference without a valid name or size.
var ErrInvalidRef = errors.New("reference to a block is not valid")

// Ref names a block by its content.
type Ref struct {
	// ID is the start of the SHA-256 hash of the block, in hexadecimal, and Size its size in bytes.
	ID   string `json:"id"`
	Size int    `json:"size"`
}

// RefOf returns the reference to a block with the content.
func RefOf(data []byte) Ref {
	sum := sha256.Sum256(data)
	return Ref{
		ID:   hex.EncodeToString(sum[:idBytes]),
		Size: len(data),
	}
}

// UnmarshalJSON decodes a reference and checks its name and size.
func (r *Ref) UnmarshalJSON(b []byte) error {
	type plain Ref
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode reference: %w", err)
	}
	if len(p.ID) != hex.EncodedLen(idBytes) || p.Size <= 0 || p.Size > MaxSize {
		return fmt.Errorf("check reference: %w", ErrInvalidRef)
	}
	*r = Ref(p)
	return nil
}
