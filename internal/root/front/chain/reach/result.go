package reach

import (
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Result is the end of one attempt.
type Result interface {
	result()
}

// Done is a whole result that belongs to the attempt.
type Done struct {
	Result stage.Result
}

// Unsent says that not a byte of the attempt left this host.
type Unsent struct {
	Err error
}

// Refused says that the upstream ran nothing of the attempt.
type Refused struct {
	Refusal stage.Refusal
}

// Broken says that the attempt brought no usable result and may have run.
type Broken struct {
	Err error
}

func (Done) result()    {}
func (Unsent) result()  {}
func (Refused) result() {}
func (Broken) result()  {}

// Reasons for which an attempt counts as broken.
var (
	ErrSilent = errors.New("no progress within the limit")
	ErrStray  = errors.New("result of another attempt")
	ErrCut    = errors.New("result was cut")
	ErrGap    = errors.New("stream has a gap")
	ErrStatus = errors.New("unexpected status")
)
