package reach

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/intact"
	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	dialTimeout    = 500 * time.Millisecond
	maxIdleConns   = 256
	idleTimeout    = 30 * time.Second
	maxResultBytes = 16 << 20
	// maxEventSize bounds an event of a stream, a refusal, a load report and an engine state, in bytes.
	maxEventSize = 1 << 20
	// statusTimeout bounds one request for a load report or an engine state.
	statusTimeout = 800 * time.Millisecond
)

// DiscardCounts counts the results and tokens that were dropped because they belong to another attempt, are duplicates or arrived late.
type DiscardCounts struct {
	Results atomic.Int64
	Tokens  atomic.Int64
}

// Client sends attempts. It has one connection pool for each upstream, so that it can close the idle connections of an upstream that stopped responding.
type Client struct {
	DiscardCounts DiscardCounts

	mu         sync.Mutex
	transports map[string]*http.Transport
	// oneShot opens a new connection for each request.
	oneShot *http.Transport
}

// New returns a client without connections.
func New() *Client {
	oneShot := newTransport()
	oneShot.DisableKeepAlives = true
	return &Client{
		transports: map[string]*http.Transport{},
		oneShot:    oneShot,
	}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Transport{
		MaxResponseHeaderBytes: jhttp.MaxResponseHead,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dialConn(ctx, dialer, network, addr)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Attempt describes one call to an upstream and its limits.
type Attempt struct {
	Addr   string
	Call   stage.Call
	Stream bool
	// NewConn sends the attempt over a new connection instead of a pooled one.
	// A pooled connection may have failed without the client having noticed, and an attempt that must not run twice cannot be retried once it was sent over such a connection.
	NewConn bool
	// Silence is the maximum time without progress.
	Silence time.Duration
	// OnSilence, if set, is called when the attempt has made no progress for the time Silence. If it returns true, the attempt may wait for that time again.
	OnSilence func(ctx context.Context) bool
	// OnToken receives the tokens of a stream in order; an error ends the attempt.
	OnToken func(stage.Token) error
}

// Do sends the attempt and returns its result once it has ended.
func (c *Client) Do(ctx context.Context, a Attempt) Result {
	body, err := json.Marshal(a.Call)
	if err != nil {
		return Unsent{Err: fmt.Errorf("encode call: %w", err)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := NewWatchdog(ctx, a, func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	var tracker sendTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: tracker.gotConn,
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Addr+attemptPath(a), bytes.NewReader(body))
	if err != nil {
		return Unsent{Err: fmt.Errorf("create request: %w", err)}
	}
	// Without GetBody the transport cannot resend the body by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", wire.TypeJSON)
	req.Header.Set(wire.HeaderRequestID, a.Call.AttemptID)
	resp, err := c.transportFor(a).RoundTrip(req)
	if err != nil {
		return c.classifyError(ctx, a, !tracker.sealIfUnsent(), err)
	}
	defer resp.Body.Close()
	if err := intact.CheckResponse(resp); err != nil {
		return c.brokenResult(a, fmt.Errorf("call %s: %w", a.Addr, err))
	}
	if resp.StatusCode != http.StatusOK {
		return c.readRefusal(resp, a)
	}
	if a.Stream {
		return c.readStream(ctx, resp.Body, a, watchdog.Progress)
	}
	return c.readResult(ctx, resp.Body, a)
}

func attemptPath(a Attempt) string {
	if a.Stream {
		return stage.PathGenerate
	}
	return stage.PathRun
}

func (c *Client) transportFor(a Attempt) *http.Transport {
	if a.NewConn {
		return c.oneShot
	}
	return c.pooledTransport(a.Addr)
}

func (c *Client) pooledTransport(addr string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.transports[addr]
	if !ok {
		t = newTransport()
		c.transports[addr] = t
	}
	return t
}

// classifyError returns Unsent for an attempt that was not sent, and Broken for one that may have run.
func (c *Client) classifyError(ctx context.Context, a Attempt, sent bool, err error) Result {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = err
	}
	if !sent {
		return Unsent{Err: fmt.Errorf("send to %s: %w", a.Addr, cause)}
	}
	return c.brokenResult(a, fmt.Errorf("call %s: %w", a.Addr, cause))
}

// brokenResult returns Broken. After a time-out it also closes the idle connections to the upstream: the fault that stopped the responses on one connection may affect the others too.
func (c *Client) brokenResult(a Attempt, err error) Result {
	if errors.Is(err, ErrSilent) && !a.NewConn {
		c.pooledTransport(a.Addr).CloseIdleConnections()
	}
	return Broken{Err: err}
}

// readRefusal returns Refused if the response says that the upstream ran nothing of this attempt.
// Any other response with an error status is Broken, since the attempt may have run.
func (c *Client) readRefusal(resp *http.Response, a Attempt) Result {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxEventSize))
	if err != nil {
		return c.brokenResult(a, fmt.Errorf("read refusal: %w", err))
	}
	var r stage.Refusal
	ofAttempt := json.Unmarshal(data, &r) == nil && r.AttemptID == a.Call.AttemptID
	if ofAttempt && !r.Ran {
		return Refused{Refusal: r}
	}
	return c.brokenResult(a, fmt.Errorf("status %d: %w", resp.StatusCode, ErrStatus))
}

func (c *Client) readResult(ctx context.Context, body io.Reader, a Attempt) Result {
	data, err := io.ReadAll(io.LimitReader(body, maxResultBytes))
	if err != nil {
		return c.classifyError(ctx, a, true, err)
	}
	var r stage.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return c.brokenResult(a, fmt.Errorf("decode result: %v: %w", err, ErrTruncated))
	}
	return c.checkAttemptID(a, r)
}

// checkAttemptID returns Done if the result belongs to the attempt. Otherwise it counts a stray result and returns Broken.
func (c *Client) checkAttemptID(a Attempt, r stage.Result) Result {
	if r.AttemptID != a.Call.AttemptID {
		c.DiscardCounts.Results.Add(1)
		return c.brokenResult(a, fmt.Errorf("check result of attempt %s: %w", r.AttemptID, ErrStray))
	}
	return Done{Result: r}
}

// Load reads the load report of an upstream over a pooled connection.
func (c *Client) Load(ctx context.Context, addr string) (stage.Load, error) {
	return c.readLoad(ctx, c.pooledTransport(addr), addr)
}

// Probe reads the load report of an upstream over a new connection.
func (c *Client) Probe(ctx context.Context, addr string) (stage.Load, error) {
	return c.readLoad(ctx, c.oneShot, addr)
}

func (c *Client) readLoad(ctx context.Context, via *http.Transport, addr string) (stage.Load, error) {
	var l stage.Load
	if err := c.readJSON(ctx, via, addr, stage.PathLoad, &l); err != nil {
		return stage.Load{}, fmt.Errorf("read load: %w", err)
	}
	return l, nil
}

// RemoveNonMembers removes the connection pools of the addresses for which member returns false, and closes their idle connections.
func (c *Client) RemoveNonMembers(member func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, t := range c.transports {
		if !member(addr) {
			t.CloseIdleConnections()
			delete(c.transports, addr)
		}
	}
}
