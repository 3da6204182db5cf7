package reach

import (
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Result describes how one attempt ended: Done, Unsent, Refused or Broken.
type Result interface {
	result()
}

// Done holds the complete result of the attempt.
type Done struct {
	Result stage.Result
}

// Unsent means that this host sent no byte of the attempt.
type Unsent struct {
	Err error
}

// Refused means that the upstream reported that it ran nothing of the attempt.
type Refused struct {
	Refusal stage.Refusal
}

// Broken means that the attempt returned no usable result and may have run.
type Broken struct {
	Err error
}

func (Done) result()    {}
func (Unsent) result()  {}
func (Refused) result() {}
func (Broken) result()  {}

// Errors of broken attempts.
var (
	ErrSilent    = errors.New("no progress within the time limit")
	ErrStray     = errors.New("result belongs to another attempt")
	ErrTruncated = errors.New("result is truncated")
	ErrGap       = errors.New("tokens are missing from the stream")
	ErrVersion   = errors.New("token is of another version of the model")
	ErrStatus    = errors.New("unexpected status")
)
