package jhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cornelwing/cornelwing/internal/intact"
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
	// Timeouts bound the progress of the call, and OnProgress, unless nil, is called for each part of the response body.
	Timeouts   Timeouts
	OnProgress func()
}

// Response is the response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Transfer is how long the body took to arrive after the head.
	Transfer time.Duration
}

// Do sends the request once, without retries or redirects, and returns the response. If the response breaks off, it returns the part of it that has arrived beside the error.
func Do(ctx context.Context, transport http.RoundTripper, c Call) (Response, error) {
	watchdog, ctx, stop := NewWatchdog(ctx)
	defer stop()
	req, err := newRequest(ctx, c)
	if err != nil {
		return Response{}, err
	}
	watchdog.Expect(c.Timeouts.Head)
	if req.Body != nil {
		req.Body = io.NopCloser(watchdog.Watch(req.Body, c.Timeouts.Head))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Response{}, fmt.Errorf("send call: %w", causeOf(ctx, err))
	}
	defer resp.Body.Close()
	if err := intact.CheckResponse(resp); err != nil {
		return Response{}, fmt.Errorf("read head of answer: %w", err)
	}
	watchdog.Expect(c.Timeouts.Stall)
	headAt := time.Now()
	body, err := io.ReadAll(io.LimitReader(watchedReader{
		Reader:     resp.Body,
		watchdog:   watchdog,
		timeout:    c.Timeouts.Stall,
		onProgress: c.OnProgress,
	}, c.Limit))
	answer := Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Body:     body,
		Transfer: time.Since(headAt),
	}
	if err != nil {
		return answer, fmt.Errorf("read answer after %d bytes: %w", len(body), causeOf(ctx, err))
	}
	return answer, nil
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
