package fanout

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrConfirmation reports a confirmation that cannot be true.
var ErrConfirmation = errors.New("confirmation is not possible")

// Confirmation tells how old the knowledge of a host is, without comparing clocks.
type Confirmation struct {
	// Held is the time from the arrival of the question to the answer.
	Held time.Duration
	// Age is the time from the call by which the store confirmed the knowledge to the answer.
	Age time.Duration
}

// At returns a time by which the store had confirmed the knowledge, on the clock of the host that asked: not later than the true time, as the question was on its way for a while. It returns ErrConfirmation if the figures are negative, or do not fit in the time from the question to the answer.
func (c Confirmation) At(askedAt, answeredAt time.Duration) (time.Duration, error) {
	if c.Held < 0 || c.Age < 0 || askedAt+c.Held > answeredAt {
		return 0, fmt.Errorf("check confirmation: %w", ErrConfirmation)
	}
	return askedAt + c.Held - c.Age, nil
}
