package store

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of the store, by what the caller may conclude.
var (
	// ErrAbsent says that there is no such row or object.
	ErrAbsent = errors.New("absent")
	// ErrSame says that nothing has changed since the version that is known.
	ErrSame = errors.New("not changed")
	// ErrOut says that the store could not be reached and that nothing took effect.
	ErrOut = errors.New("store is out")
	// ErrBusy says that the store refused a call for its rate and that nothing took effect.
	ErrBusy = errors.New("store is busy")
	// ErrLost says that the answer was lost, and that a write may have taken effect.
	ErrLost = errors.New("answer lost")
)

// ConflictError names the conditions of a transaction, by index, that did not hold.
type ConflictError struct {
	Failed []int
}

// Error renders the indexes.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditions %v did not hold", e.Failed)
}
