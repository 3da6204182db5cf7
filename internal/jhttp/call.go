package jhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Type is the media type of the bodies.
const Type = "application/json"

// Call is one call.
type Call struct {
	Method string
	URL    string
	Header http.Header
	// Body is encoded as JSON, or nil where there is none.
	Body any
	// Limit bounds the answer, in bytes; what is beyond it is not read.
	Limit int64
}

// Do sends the call once and returns the status and the body of the answer.
func Do(ctx context.Context, via http.RoundTripper, c Call) (status int, answer []byte, err error) {
	req, err := request(ctx, c)
	if err != nil {
		return 0, nil, err
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		return 0, nil, fmt.Errorf("send call: %w", err)
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, c.Limit))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, answer, nil
}

func request(ctx context.Context, c Call) (*http.Request, error) {
	var body io.Reader
	if c.Body != nil {
		data, err := json.Marshal(c.Body)
		if err != nil {
			return nil, fmt.Errorf("encode call: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, body)
	if err != nil {
		return nil, fmt.Errorf("make call: %w", err)
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	if c.Body != nil {
		req.Header.Set("Content-Type", Type)
	}
	return req, nil
}

// Decode reads an answer into a value, which may be nil where only the status counts.
func Decode(answer []byte, into any) error {
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
