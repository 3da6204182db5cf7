package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	defaultTries = 4
	maxAnswer    = 64 << 20
	maxEvent     = 1 << 20
	// breakPause is the wait before a request whose connection broke is sent to another host.
	breakPause = 50 * time.Millisecond
)

// ErrUnreached says that no entry host took the connection, so that nothing was sent.
var ErrUnreached = errors.New("no entry host can be reached")

// ErrBroken says that the connection to an entry host broke before the whole answer came.
var ErrBroken = errors.New("connection broke before the whole answer came")

// Call is one request to a pipeline.
type Call struct {
	Pipeline string
	Request  wire.Request
	// Key is the idempotency key; the client makes one where it is empty.
	Key string
	// Urgency is from 0 (most urgent) to 7, as in RFC 9218.
	Urgency int
	// Timeout is the time given to the request; 0 takes the pipeline's own.
	Timeout time.Duration
	// OnToken, where set, asks for a stream and takes its tokens in order, each once.
	OnToken func(wire.Token)
}

// WithKey returns a copy with the idempotency key.
func (c Call) WithKey(key string) Call {
	c.Key = key
	return c
}

// Client sends calls to any of the entry hosts.
type Client struct {
	hosts []string
	token string
	http  *http.Client
	tries int
	next  atomic.Uint32
}

// Option changes a Client under construction.
type Option func(*Client)

// WithTries sets how often one call may be sent.
func WithTries(n int) Option {
	return func(c *Client) {
		c.tries = n
	}
}

// WithHTTP sets the HTTP client.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) {
		c.http = h
	}
}

// New returns a client of the account whose token is given; hosts are base URLs, for instance http://127.0.0.1:8080.
func New(hosts []string, token string, opts ...Option) *Client {
	c := &Client{
		hosts: hosts,
		token: token,
		http:  http.DefaultClient,
		tries: defaultTries,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends the call until it has an outcome; the error is a wire.Problem, ErrUnreached or ErrBroken.
func (c *Client) Do(ctx context.Context, call Call) (wire.Answer, error) {
	if call.Key == "" {
		call.Key = newKey()
	}
	if call.OnToken != nil {
		call.OnToken = onlyNew(call.OnToken)
	}
	key, closed := call.Key, 0
	var last error
	for i := range c.tries {
		a, err := c.sendAny(ctx, call, i)
		if err == nil {
			return a, nil
		}
		last = worse(last, err)
		wait, again := comeBack(err)
		if !again || !fits(ctx, wait) || !pause(ctx, wait) {
			break
		}
		var p wire.Problem
		if errors.As(err, &p) && p.RetryWith == wire.RetryNewKey {
			// The next key follows from the closed ones alone, so that all who send the call under one key go on under one key.
			closed++
			call = call.WithKey(fmt.Sprintf("%s.%d", key, closed))
		}
	}
	return wire.Answer{}, last
}

// sendAny sends the call to the next entry host that takes the connection.
func (c *Client) sendAny(ctx context.Context, call Call, before int) (wire.Answer, error) {
	for range len(c.hosts) - 1 {
		a, err := c.Send(ctx, call, before)
		if !errors.Is(err, ErrUnreached) {
			return a, err
		}
	}
	return c.Send(ctx, call, before)
}

// worse keeps what an earlier try is known to have run from being forgotten by a later one that ran nothing.
func worse(before, now error) error {
	if before != nil && errors.Is(now, ErrUnreached) {
		return before
	}
	var p wire.Problem
	if before == nil || !errors.As(now, &p) || p.Outcome != wire.NotRun {
		return now
	}
	var old wire.Problem
	if !errors.As(before, &old) {
		return p.WithOutcome(wire.Unknown)
	}
	return p.WithOutcome(old.Outcome)
}

// onlyNew drops the tokens that an earlier try has passed on.
func onlyNew(f func(wire.Token)) func(wire.Token) {
	next := 0
	return func(t wire.Token) {
		if t.Index == next {
			next++
			f(t)
		}
	}
}

// comeBack says whether and when sending again may help.
func comeBack(err error) (time.Duration, bool) {
	var p wire.Problem
	if !errors.As(err, &p) {
		return breakPause, true
	}
	if p.RetryAfterMS == 0 || (p.Outcome == wire.Unknown && p.RetryWith != wire.RetrySameKey) {
		return 0, false
	}
	return time.Duration(p.RetryAfterMS) * time.Millisecond, true
}

func fits(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// Send sends the call once, and tells the host how often it was sent before.
func (c *Client) Send(ctx context.Context, call Call, before int) (wire.Answer, error) {
	call.Request.Stream = call.OnToken != nil
	body, err := json.Marshal(call.Request)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("encode request: %w", err)
	}
	url := c.host() + "/v1/pipelines/" + call.Pipeline + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return wire.Answer{}, fmt.Errorf("make request: %w", err)
	}
	// Whether to send again is decided here and not by the transport.
	req.GetBody = nil
	c.setHeaders(req.Header, call, before)
	resp, err := c.http.Do(req)
	if err != nil {
		// What lost one connection may have lost them all, so the next try begins with a new one.
		c.http.CloseIdleConnections()
		if unreached(err) {
			return wire.Answer{}, fmt.Errorf("send request: %v: %w", err, ErrUnreached)
		}
		return wire.Answer{}, fmt.Errorf("send request: %v: %w", err, ErrBroken)
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") == wire.TypeStream {
		return readStream(resp.Body, call.OnToken)
	}
	return readWhole(resp)
}

// unreached reports whether a connection was refused, before anything was sent.
func unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) setHeaders(h http.Header, call Call, before int) {
	h.Set("Authorization", "Bearer "+c.token)
	h.Set("Content-Type", wire.TypeJSON)
	h.Set(wire.HeaderKey, call.Key)
	h.Set(wire.HeaderPriority, "u="+strconv.Itoa(call.Urgency))
	if call.Timeout > 0 {
		h.Set(wire.HeaderTimeout, strconv.FormatInt(call.Timeout.Milliseconds(), 10)+"m")
	}
	if before > 0 {
		h.Set(wire.HeaderAttempts, strconv.Itoa(before))
	}
}

// Outcome asks any host what became of a key; the error is as for Do.
func (c *Client) Outcome(ctx context.Context, key string) (wire.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.host()+"/v1/outcomes/"+key, nil)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("ask for outcome: %v: %w", err, ErrBroken)
	}
	defer resp.Body.Close()
	return readWhole(resp)
}

// host goes round the entry hosts.
func (c *Client) host() string {
	return c.hosts[int(c.next.Add(1)-1)%len(c.hosts)]
}

func readWhole(resp *http.Response) (wire.Answer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return wire.Answer{}, fmt.Errorf("read answer: %v: %w", err, ErrBroken)
	}
	if resp.StatusCode != http.StatusOK {
		var p wire.Problem
		if err := json.Unmarshal(data, &p); err != nil {
			return wire.Answer{}, fmt.Errorf("status %d: %w", resp.StatusCode, ErrBroken)
		}
		return wire.Answer{}, p
	}
	var a wire.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return wire.Answer{}, fmt.Errorf("decode answer: %v: %w", err, ErrBroken)
	}
	return a, nil
}

func readStream(body io.Reader, onToken func(wire.Token)) (wire.Answer, error) {
	for ev, err := range sse.Read(body, &sse.ReadConfig{
		MaxEventSize: maxEvent,
	}) {
		if err != nil {
			return wire.Answer{}, fmt.Errorf("read stream: %v: %w", err, ErrBroken)
		}
		switch ev.Type {
		case wire.EventToken:
			var t wire.Token
			if err := json.Unmarshal([]byte(ev.Data), &t); err != nil {
				return wire.Answer{}, fmt.Errorf("decode token: %v: %w", err, ErrBroken)
			}
			onToken(t)
		case wire.EventProblem:
			var p wire.Problem
			if err := json.Unmarshal([]byte(ev.Data), &p); err != nil {
				return wire.Answer{}, fmt.Errorf("decode problem: %v: %w", err, ErrBroken)
			}
			return wire.Answer{}, p
		case wire.EventDone:
			var a wire.Answer
			if err := json.Unmarshal([]byte(ev.Data), &a); err != nil {
				return wire.Answer{}, fmt.Errorf("decode answer: %v: %w", err, ErrBroken)
			}
			return a, nil
		}
	}
	return wire.Answer{}, fmt.Errorf("stream without an end: %w", ErrBroken)
}

func newKey() string {
	var b [16]byte
	// The source of the standard library never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
