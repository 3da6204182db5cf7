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

	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	dialTimeout  = 500 * time.Millisecond
	idleConns    = 256
	idleTimeout  = 30 * time.Second
	maxResult    = 16 << 20
	maxEventSize = 1 << 20
	// loadTimeout bounds the reading of a load report.
	loadTimeout = 800 * time.Millisecond
)

// Strays counts the results that were dropped because they belong to another attempt, come twice or come late.
type Strays struct {
	Results atomic.Int64
	Tokens  atomic.Int64
}

// Client sends attempts; it keeps the connections of each upstream apart, so that silent ones can be given up together.
type Client struct {
	Strays Strays

	mu    sync.Mutex
	conns map[string]*http.Transport
	fresh *http.Transport
}

// New returns a client without connections.
func New() *Client {
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{
		conns: map[string]*http.Transport{},
		fresh: fresh,
	}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dialConn(ctx, dialer, network, addr)
		},
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Attempt is what to send and within which limits.
type Attempt struct {
	Addr   string
	Call   stage.Call
	Stream bool
	// Once asks for a connection of its own, since an attempt that must not run twice cannot afford a silent one.
	Once bool
	// Silence is how long the attempt may stay without progress.
	Silence time.Duration
	// OnSilence, where set, is asked whether an attempt that stayed silent for that long may go on waiting.
	OnSilence func(ctx context.Context) bool
	// OnToken takes the tokens of a stream in order; an error ends the attempt.
	OnToken func(stage.Token) error
}

// Do sends the attempt and waits for its end.
func (c *Client) Do(ctx context.Context, a Attempt) Result {
	body, err := json.Marshal(a.Call)
	if err != nil {
		return Unsent{Err: fmt.Errorf("encode call: %w", err)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := NewWatch(ctx, a, func() { cancel(ErrSilent) })
	defer watch.Stop()
	var sent sending
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: sent.begin,
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Addr+pathOf(a), bytes.NewReader(body))
	if err != nil {
		return Unsent{Err: fmt.Errorf("make request: %w", err)}
	}
	// Without GetBody the transport never sends the body a second time on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", wire.TypeJSON)
	req.Header.Set(wire.HeaderRequestID, a.Call.AttemptID)
	resp, err := c.transport(a).RoundTrip(req)
	if err != nil {
		return c.ended(ctx, a, !sent.nothing(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.refused(resp, a)
	}
	if a.Stream {
		return c.stream(ctx, resp.Body, a, watch.Progress)
	}
	return c.whole(ctx, resp.Body, a)
}

func pathOf(a Attempt) string {
	if a.Stream {
		return stage.PathGenerate
	}
	return stage.PathRun
}

func (c *Client) transport(a Attempt) *http.Transport {
	if a.Once {
		return c.fresh
	}
	return c.kept(a.Addr)
}

func (c *Client) kept(addr string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.conns[addr]
	if !ok {
		t = newTransport()
		c.conns[addr] = t
	}
	return t
}

// ended tells an attempt that never left from one that may have run.
func (c *Client) ended(ctx context.Context, a Attempt, sent bool, err error) Result {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = err
	}
	if !sent {
		return Unsent{Err: fmt.Errorf("dial %s: %w", a.Addr, cause)}
	}
	return c.broken(a, fmt.Errorf("call %s: %w", a.Addr, cause))
}

// broken gives up the idle connections of an upstream that fell silent: what lost one may have lost them all.
func (c *Client) broken(a Attempt, err error) Result {
	if errors.Is(err, ErrSilent) && !a.Once {
		c.kept(a.Addr).CloseIdleConnections()
	}
	return Broken{Err: err}
}

func (c *Client) refused(resp *http.Response, a Attempt) Result {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxEventSize))
	if err != nil {
		return c.broken(a, fmt.Errorf("read refusal: %w", err))
	}
	var r stage.Refusal
	known := json.Unmarshal(data, &r) == nil && r.AttemptID == a.Call.AttemptID
	if known && !r.Ran {
		return Refused{Refusal: r}
	}
	return c.broken(a, fmt.Errorf("status %d: %w", resp.StatusCode, ErrStatus))
}

func (c *Client) whole(ctx context.Context, body io.Reader, a Attempt) Result {
	data, err := io.ReadAll(io.LimitReader(body, maxResult))
	if err != nil {
		return c.ended(ctx, a, true, err)
	}
	var r stage.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return c.broken(a, fmt.Errorf("decode result: %v: %w", err, ErrCut))
	}
	return c.own(a, r)
}

// own checks that a result belongs to the attempt.
func (c *Client) own(a Attempt, r stage.Result) Result {
	if r.AttemptID != a.Call.AttemptID {
		c.Strays.Results.Add(1)
		return c.broken(a, fmt.Errorf("result of %s: %w", r.AttemptID, ErrStray))
	}
	return Done{Result: r}
}

// Load reads an upstream's load report.
func (c *Client) Load(ctx context.Context, addr string) (stage.Load, error) {
	return c.load(ctx, c.kept(addr), addr)
}

// Probe reads an upstream's load report over a connection of its own.
func (c *Client) Probe(ctx context.Context, addr string) (stage.Load, error) {
	return c.load(ctx, c.fresh, addr)
}

func (c *Client) load(ctx context.Context, via *http.Transport, addr string) (stage.Load, error) {
	var l stage.Load
	if err := c.read(ctx, via, addr, stage.PathLoad, &l); err != nil {
		return stage.Load{}, fmt.Errorf("read load: %w", err)
	}
	return l, nil
}

// Forget closes the idle connections of upstreams that are no longer members.
func (c *Client) Forget(member func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, t := range c.conns {
		if !member(addr) {
			t.CloseIdleConnections()
			delete(c.conns, addr)
		}
	}
}
