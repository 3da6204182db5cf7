package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// MaxTokens is the largest max_tokens of a request.
const MaxTokens = 32_768

// Errors in the body of a request. Their texts are sent to callers.
var (
	ErrNoInput   = errors.New("input must not be empty")
	ErrMaxTokens = errors.New("max_tokens must be from 0 to 32768")
)

// Request is the JSON body that a caller posts to a pipeline.
type Request struct {
	// Input is the input of the first stage.
	Input string `json:"input"`
	// Stream requests server-sent events instead of one JSON answer.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens limits the generated answer in tokens; 0 uses the limit of the pipeline.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Idempotent false means that the request must run at most once; nil uses the setting of the pipeline.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// UnmarshalJSON decodes a request. It returns an error for unknown fields, ErrNoInput or ErrMaxTokens.
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
