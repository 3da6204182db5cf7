package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// MaxTokens bounds the length, in tokens, that one request may ask for.
const MaxTokens = 32_768

// Errors of a request's body.
var (
	ErrNoInput   = errors.New("input must not be empty")
	ErrMaxTokens = errors.New("max_tokens must be from 0 to 32768")
)

// Request is the body that a caller posts to a pipeline.
type Request struct {
	// Input is the text given to the first stage.
	Input string `json:"input"`
	// Stream asks for server-sent events instead of one JSON answer.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens bounds the generated answer, in tokens; 0 takes the pipeline's own bound.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Idempotent false marks a request that may run at most once; nil takes the pipeline's own mark.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// UnmarshalJSON decodes a request, refuses unknown fields and checks the bounds.
func (r *Request) UnmarshalJSON(b []byte) error {
	type plain Request
	var p plain
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	if p.Input == "" {
		return fmt.Errorf("check request: %w", ErrNoInput)
	}
	if p.MaxTokens < 0 || p.MaxTokens > MaxTokens {
		return fmt.Errorf("check request: %w", ErrMaxTokens)
	}
	*r = Request(p)
	return nil
}
