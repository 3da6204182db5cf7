package wire

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ErrIncomplete reports an answer without a request ID or with an outcome other than Answered.
var ErrIncomplete = errors.New("answer is incomplete")

// StageReport holds the duration and cost of one stage of a request.
type StageReport struct {
	Stage    string  `json:"stage"`
	Upstream string  `json:"upstream"`
	Attempts int     `json:"attempts"`
	TookMS   float64 `json:"took_ms"`
	// Cost is in the unit of the stage's pool, summed over all attempts.
	Cost float64 `json:"cost"`
	// Wasted is the part of Cost spent on attempts whose result was not used.
	Wasted float64 `json:"wasted"`
}

// Answer is the complete answer to one request.
type Answer struct {
	RequestID string        `json:"request_id"`
	Outcome   Outcome       `json:"outcome"`
	Output    string        `json:"output"`
	Stages    []StageReport `json:"stages"`
	// FirstTokenMS is the time from arrival of the request to the first token, in milliseconds; 0 if nothing was streamed.
	FirstTokenMS float64 `json:"first_token_ms,omitempty"`
}

// UnmarshalJSON decodes an answer and returns ErrIncomplete if it is not complete.
func (a *Answer) UnmarshalJSON(b []byte) error {
	type plain Answer
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	if p.RequestID == "" || p.Outcome != Answered {
		return fmt.Errorf("check answer: %w", ErrIncomplete)
	}
	*a = Answer(p)
	return nil
}

// Token is one streamed piece of an answer.
type Token struct {
	// Index numbers the tokens of the answer from 0 without gaps.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Names of the server-sent events of a streamed answer. A stream that ends without EventDone or EventProblem was cut off.
const (
	EventToken   = "token"
	EventDone    = "done"
	EventProblem = "problem"
)
