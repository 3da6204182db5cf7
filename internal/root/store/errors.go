package store

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of the store. They differ in what the caller may assume about the effect of the call.
// Responses to operators contain their texts.
var (
	// ErrNotFound is returned if the row or object does not exist.
	ErrNotFound = errors.New("absent")
	// ErrNotModified is returned if the resource still has the version that the caller knows.
	ErrNotModified = errors.New("not changed")
	// ErrUnavailable is returned if the store is unavailable. The call had no effect.
	ErrUnavailable = errors.New("store is out")
	// ErrThrottled is returned if the store rejected the call because of its rate. The call had no effect.
	ErrThrottled = errors.New("store is busy")
	// ErrUnknownOutcome is returned if no usable response was received. A write may have taken effect.
	ErrUnknownOutcome = errors.New("answer lost")
)

// ConflictError is returned for a transaction of which some conditions did not hold. Failed lists their indexes.
type ConflictError struct {
	Failed []int
}

// Error returns a message with the indexes of the failed conditions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditions %v did not hold", e.Failed)
}
