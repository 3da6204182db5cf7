package stage

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// HTTP paths of an upstream's API.
const (
	PathRun      = "/v1/run"
	PathGenerate = "/v1/generate"
	PathCancel   = "/v1/cancel"
	PathLoad     = "/v1/load"
)

// Types of the server-sent events in an engine's stream.
const (
	EventToken = "token"
	EventDone  = "done"
)

// ErrNoAttemptID is returned for a message whose attempt_id is empty, ErrNoRan for a refusal that does not state whether the attempt ran, and ErrNoSlots for a load report that does not state the slots.
var (
	ErrNoAttemptID = errors.New("attempt_id must not be empty")
	ErrNoRan       = errors.New("ran must be stated")
	ErrNoSlots     = errors.New("slots must be stated")
)

// Call is the body of a request to an upstream to run one attempt of a stage.
type Call struct {
	// AttemptID is unique across requests, stages and attempts. Every response repeats it.
	AttemptID string `json:"attempt_id"`
	Stage     string `json:"stage"`
	Input     string `json:"input"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// Urgency ranges from 0 (most urgent) to 7, as in RFC 9218.
	Urgency int `json:"urgency"`
	// ResumeFrom is the index of the first token that the engine sends.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Version is the version of the model that generated the tokens before ResumeFrom, or "" if it is not known. An engine with another one refuses the call.
	Version string `json:"version,omitempty"`
	// DeadlineMS is the time left until the deadline, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// UnmarshalJSON decodes a call and returns an error if its attempt_id is empty.
func (c *Call) UnmarshalJSON(b []byte) error {
	type plain Call
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode call: %w", err)
	}
	if p.AttemptID == "" {
		return fmt.Errorf("check call: %w", ErrNoAttemptID)
	}
	*c = Call(p)
	return nil
}

// Result is the complete result of one attempt. It is also the data of the EventDone event that ends a stream.
type Result struct {
	AttemptID string `json:"attempt_id"`
	Output    string `json:"output"`
	// Tokens is the number of tokens in the whole stream, including those before ResumeFrom.
	Tokens int `json:"tokens,omitempty"`
	// BusyMS is how long the attempt occupied a slot, in milliseconds.
	BusyMS float64 `json:"busy_ms"`
	// Error is set if the stage ran and reported a failure of its own.
	Error string `json:"error,omitempty"`
}

// UnmarshalJSON decodes a result and returns an error if its attempt_id is empty.
func (r *Result) UnmarshalJSON(b []byte) error {
	type plain Result
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode result: %w", err)
	}
	if p.AttemptID == "" {
		return fmt.Errorf("check result: %w", ErrNoAttemptID)
	}
	*r = Result(p)
	return nil
}

// Token is one token of an attempt's stream.
type Token struct {
	AttemptID string `json:"attempt_id"`
	Index     int    `json:"index"`
	Text      string `json:"text"`
	// Version is the version of the model that generated the token, or "" if the engine does not state it.
	Version string `json:"version,omitempty"`
}

// Refusal is the response of an upstream that rejected an attempt without running any part of it.
type Refusal struct {
	AttemptID    string `json:"attempt_id"`
	Ran          bool   `json:"ran"`
	Leaving      bool   `json:"leaving,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Reason       string `json:"reason"`
	// Version is the version of the engine's model if the call asked for another one.
	Version string `json:"version,omitempty"`
}

// UnmarshalJSON decodes a refusal and returns an error if its attempt_id is empty or ran is missing, since a response that says nothing of it may come after the attempt ran.
func (r *Refusal) UnmarshalJSON(b []byte) error {
	type plain Refusal
	p := struct {
		plain
		Ran *bool `json:"ran"`
	}{}
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode refusal: %w", err)
	}
	if p.AttemptID == "" {
		return fmt.Errorf("check refusal: %w", ErrNoAttemptID)
	}
	if p.Ran == nil {
		return fmt.Errorf("check refusal: %w", ErrNoRan)
	}
	*r = Refusal(p.plain)
	r.Ran = *p.Ran
	return nil
}

// Load is an upstream's report of its own load.
type Load struct {
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	Slots  int `json:"slots"`
	// Pace is how long work takes at the upstream now, as a multiple of the usual time, or 0 if it is not known.
	Pace    float64 `json:"pace,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	// AgeMS is the age of the report when the upstream sent it, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// UnmarshalJSON decodes a load report and returns an error if slots is missing, since a document that is no report would say otherwise that the upstream is idle and not leaving.
func (l *Load) UnmarshalJSON(b []byte) error {
	type plain Load
	p := struct {
		plain
		Slots *int `json:"slots"`
	}{}
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode load report: %w", err)
	}
	if p.Slots == nil {
		return fmt.Errorf("check load report: %w", ErrNoSlots)
	}
	*l = Load(p.plain)
	l.Slots = *p.Slots
	return nil
}
