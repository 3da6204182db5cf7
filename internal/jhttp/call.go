package jhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// ContentType is the media type of request and response bodies.
const ContentType = "application/json"

// Call describes one HTTP request.
type Call struct {
	Method string
	URL    string
	Header http.Header
	// Body is encoded as JSON. If it is nil, the request has no body.
	Body any
	// Limit is the maximum number of bytes that are read from the response body. A longer body is truncated.
	Limit int64
}

// Do sends the request once, without retries or redirects, and returns the status and body of the response.
func Do(ctx context.Context, transport http.RoundTripper, c Call) (status int, body []byte, err error) {
	req, err := newRequest(ctx, c)
	if err != nil {
		return 0, nil, err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, fmt.Errorf("send call: %w", err)
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, c.Limit))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, body, nil
}

func newRequest(ctx context.Context, c Call) (*http.Request, error) {
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
		req.Header.Set("Content-Type", ContentType)
	}
	return req, nil
}

// Decode decodes a response body into target. A nil target ignores the body.
func Decode(body []byte, target any) error {
	if target == nil {
		return nil
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
