package send

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/intact"
	"github.com/cornelwing/cornelwing/internal/jhttp"
)

// Request is one request to an upstream.
type Request struct {
	Addr   string
	Method string
	Host   string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
	// Sent, if set, is called once the request has been written. It may be called on another goroutine, also after Do has returned.
	Sent func()
	// CheckSender, if set, asks processes at the address whether they are the one to which the request was sent.
	CheckSender SenderCheck
}

// Result is the result of a send: Response, Unsent, Late or Broken.
type Result interface {
	result()
}

// Response is the head of an upstream's response. Body streams the rest and must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framing is how the response marks the end of its body.
	Framing Framing
	// IsOpen reports whether the upstream has not ended the connection of the response yet, or false if that is not known.
	IsOpen func() bool
}

// Unsent reports that no connection was made, so that no byte of the request left this host.
type Unsent struct {
	Err error
}

// Late reports that the permit for the request had expired once the connection was made, so that no byte of the request left this host.
type Late struct{}

// Broken reports that no response head arrived after the connection was made. The upstream may have run the request.
type Broken struct {
	Err error
}

func (Response) result() {}
func (Unsent) result()   {}
func (Late) result()     {}
func (Broken) result()   {}

// Client sends requests to upstreams.
type Client struct {
	transport *http.Transport
	watchEnd  WatchEnd
}

// Option configures a Client.
type Option func(*Client)

// WithEndWatch sets what watches an upstream while it sends a response that ends with its connection, to confirm the end.
func WithEndWatch(watch WatchEnd) Option {
	return func(c *Client) { c.watchEnd = watch }
}

// New returns a client that opens a connection with dial for each request. The transport therefore never resends a request, and a response cannot belong to an earlier request.
func New(dial func(ctx context.Context, network, addr string) (net.Conn, error), opts ...Option) *Client {
	c := &Client{
		transport: &http.Transport{
			MaxResponseHeaderBytes: jhttp.MaxResponseHead,
			DialContext:            GuardDial(intact.DialOnce(dial)),
			DisableKeepAlives:      true,
			DisableCompression:     true,
			ReadBufferSize:         bufferSize,
			WriteBufferSize:        bufferSize,
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// bufferSize is the size of a connection's read and write buffers, in bytes.
const bufferSize = 2 << 10

// Do sends the request and waits for the head of the response.
func (c *Client) Do(ctx context.Context, r Request) Result {
	var used usedConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.set(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil && r.Sent != nil {
				r.Sent()
			}
		},
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
		return c.response(ctx, r, &used, resp)
	}
	if errors.Is(err, ErrPermitExpired) {
		return Late{}
	}
	if !used.isSet() {
		return Unsent{
			Err: fmt.Errorf("connect to %s: %w", r.Addr, err),
		}
	}
	return Broken{
		Err: fmt.Errorf("send to %s: %w", r.Addr, err),
	}
}

// response returns the response to a request with the context, which arrives on the connection.
func (c *Client) response(ctx context.Context, r Request, used *usedConn, resp *http.Response) Response {
	out := Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    resp.Body,
		Framing: framingOf(resp),
		IsOpen:  used.isOpen,
	}
	if out.Framing == FramedByClose && c.watchEnd != nil {
		watch := c.watchEnd(r.Addr, used.isOpen, r.CheckSender)
		body := &closeDelimitedBody{
			ReadCloser: resp.Body,
			used:       used,
			confirm:    func(arrived time.Time) error { return watch.Confirm(endContextOf(ctx), arrived) },
			stop:       watch.Stop,
		}
		body.recordArrival()
		out.Body = body
	}
	return out
}
