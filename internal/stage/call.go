package stage

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Paths of an upstream's interface.
const (
	PathRun      = "/v1/run"
	PathGenerate = "/v1/generate"
	PathCancel   = "/v1/cancel"
	PathLoad     = "/v1/load"
)

// Names of an engine's server-sent events.
const (
	EventToken = "token"
	EventDone  = "done"
)

// ErrAttempt reports a message without the identity of an attempt.
var ErrAttempt = errors.New("attempt_id must not be empty")

// Call asks an upstream to run one attempt of a stage.
type Call struct {
	// AttemptID is unique over requests, stages and attempts; every answer repeats it.
	AttemptID string `json:"attempt_id"`
	Stage     string `json:"stage"`
	Input     string `json:"input"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// Urgency is from 0 (most urgent) to 7, as in RFC 9218.
	Urgency int `json:"urgency"`
	// ResumeFrom is the index of the first token wanted.
	ResumeFrom int `json:"resume_from,omitempty"`
	// DeadlineMS is the time left, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// UnmarshalJSON decodes a call and checks its identity.
func (c *Call) UnmarshalJSON(b []byte) error {
	type plain Call
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode call: %w", err)
	}
	if p.AttemptID == "" {
		return fmt.Errorf("check call: %w", ErrAttempt)
	}
	*c = Call(p)
	return nil
}

// Result is the whole result of one attempt, and the end mark of a stream.
type Result struct {
	AttemptID string `json:"attempt_id"`
	Output    string `json:"output"`
	// Tokens is the number of tokens of the whole stream, counted from 0.
	Tokens int `json:"tokens,omitempty"`
	// BusyMS is the time that the attempt held a slot, in milliseconds.
	BusyMS float64 `json:"busy_ms"`
	// Error is set where the stage ran and came to a failure of its own.
	Error string `json:"error,omitempty"`
}

// UnmarshalJSON decodes a result and checks its identity.
func (r *Result) UnmarshalJSON(b []byte) error {
	type plain Result
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode result: %w", err)
	}
	if p.AttemptID == "" {
		return fmt.Errorf("check result: %w", ErrAttempt)
	}
	*r = Result(p)
	return nil
}

// Token is one token of an attempt's stream.
type Token struct {
	AttemptID string `json:"attempt_id"`
	Index     int    `json:"index"`
	Text      string `json:"text"`
}

// Refusal is an upstream's word that it ran nothing of the attempt.
type Refusal struct {
	AttemptID    string `json:"attempt_id"`
	Ran          bool   `json:"ran"`
	Leaving      bool   `json:"leaving,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Reason       string `json:"reason"`
}

// Load is an upstream's report of its own load.
type Load struct {
	Busy    int  `json:"busy"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
	// AgeMS is how old the report was when it was given, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}
