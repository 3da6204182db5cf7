package wire

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Outcome is the closed set of ends that a request can come to.
type Outcome string

// The outcomes: a whole answer, a promise that no stage ran, a known failure, and an end that cannot be known.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Failed   Outcome = "failed"
	Unknown  Outcome = "unknown"
)

// ErrOutcome reports an outcome outside of the closed set.
var ErrOutcome = errors.New("unknown outcome")

// UnmarshalJSON decodes an outcome and refuses one outside of the set.
func (o *Outcome) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("decode outcome: %w", err)
	}
	switch v := Outcome(s); v {
	case Answered, NotRun, Failed, Unknown:
		*o = v
		return nil
	default:
		return fmt.Errorf("decode outcome %q: %w", s, ErrOutcome)
	}
}
