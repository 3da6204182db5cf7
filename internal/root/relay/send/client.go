package send

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"
)

// dialTimeout bounds how long an upstream may take to accept a connection.
const dialTimeout = 250 * time.Millisecond

// Request is one request as it is sent to an upstream.
type Request struct {
	Addr   string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
}

// Result is how a send ended: Answer, Unsent or Broken.
type Result interface {
	result()
}

// Answer is the head of an upstream's answer; its body is read from Body, which has to be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or below 0 where it is not told.
	Length int64
}

// Unsent says that no byte of the request left this host.
type Unsent struct {
	Err error
}

// Broken says that the request may have run, though no head of an answer came.
type Broken struct {
	Err error
}

func (Answer) result() {}
func (Unsent) result() {}
func (Broken) result() {}

// Client sends requests to upstreams.
type Client struct {
	transport *http.Transport
}

// New returns a client that opens a connection for each request, so that a request is never sent again by itself and no answer is another request's.
func New() *Client {
	return &Client{
		transport: &http.Transport{
			DialContext:        Dialer(dialTimeout).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
			ReadBufferSize:     bufferSize,
			WriteBufferSize:    bufferSize,
		},
	}
}

// bufferSize is the size of a connection's buffers, in bytes.
const bufferSize = 2 << 10

// Do sends the request and waits for the head of the answer.
func (c *Client) Do(ctx context.Context, r Request) Result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req := (&http.Request{
		Method:        r.Method,
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
		URL: &url.URL{
			Scheme: "http",
			Host:   r.Addr,
			Opaque: r.Target,
		},
	}).WithContext(ctx)
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		return Answer{
			Status: resp.StatusCode,
			Header: resp.Header,
			Body:   resp.Body,
			Length: resp.ContentLength,
		}
	}
	if !connected.Load() {
		return Unsent{
			Err: fmt.Errorf("connect to %s: %w", r.Addr, err),
		}
	}
	return Broken{
		Err: fmt.Errorf("send to %s: %w", r.Addr, err),
	}
}
