package wire

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Outcome is the result of a request as reported to the caller. No values other than the constants below are valid.
type Outcome string

// The outcomes of a request.
const (
	// Answered is a complete answer.
	Answered Outcome = "answered"
	// NotRun guarantees that no stage ran.
	NotRun Outcome = "not_run"
	// Failed is a definite failure.
	Failed Outcome = "failed"
	// Unknown means that the request may have run and that its result cannot be determined.
	Unknown Outcome = "unknown"
)

// ErrOutcome reports a value that is none of the outcomes.
var ErrOutcome = errors.New("unknown outcome")

// UnmarshalJSON decodes an outcome and returns ErrOutcome for any other value.
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
