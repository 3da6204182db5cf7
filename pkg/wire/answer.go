package wire

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ErrIncomplete reports an answer that lacks its identity or its end.
var ErrIncomplete = errors.New("answer is incomplete")

// StageReport tells what one stage of a request took.
type StageReport struct {
	Stage    string  `json:"stage"`
	Upstream string  `json:"upstream"`
	Attempts int     `json:"attempts"`
	TookMS   float64 `json:"took_ms"`
	// Cost is in the unit of the stage's pool, summed over all attempts.
	Cost float64 `json:"cost"`
	// Wasted is the part of Cost that went to attempts whose result was not used.
	Wasted float64 `json:"wasted"`
}

// Answer is the whole answer to one request.
type Answer struct {
	RequestID string        `json:"request_id"`
	Outcome   Outcome       `json:"outcome"`
	Output    string        `json:"output"`
	Stages    []StageReport `json:"stages"`
	// FirstTokenMS is the time from arrival to the first token, in milliseconds; 0 where nothing was streamed.
	FirstTokenMS float64 `json:"first_token_ms,omitempty"`
}

// UnmarshalJSON decodes an answer and refuses one that is not whole.
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
	// Index counts the pieces of the answer from 0 without gaps.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Names of the server-sent events of a streamed answer; a stream without EventDone or EventProblem was cut.
const (
	EventToken   = "token"
	EventDone    = "done"
	EventProblem = "problem"
)
