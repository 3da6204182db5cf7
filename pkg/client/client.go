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

	"github.com/cornelwing/cornelwing/internal/intact"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	defaultMaxSends  = 4
	maxResponseBytes = 64 << 20
	maxEventBytes    = 1 << 20
	// noResponseDelay is the wait before a retry on another host when no complete response was received.
	noResponseDelay = 50 * time.Millisecond
)

// ErrUnreachable reports that no connection to an entry host could be opened, so that nothing was sent.
var ErrUnreachable = errors.New("no entry host is reachable")

// ErrIncompleteResponse reports that the connection was lost before a complete response was read, or that the response
// could not be decoded or lacks a token of its stream. The request may have run.
var ErrIncompleteResponse = errors.New("no complete response from the entry host")

// Call is one request to a pipeline.
type Call struct {
	Pipeline string
	Request  wire.Request
	// Key is the idempotency key; if empty, Do generates one.
	Key string
	// Urgency is from 0 (most urgent) to 7, as in RFC 9218.
	Urgency int
	// Timeout is the maximum duration of the request. The host limits it to the deadline of the pipeline; 0 selects
	// the pipeline's deadline.
	Timeout time.Duration
	// OnToken, if set, requests a stream and is called with each token. Do passes every token once and in order, even
	// if it sends the call several times. The answer of an earlier send that a host has recorded comes without tokens.
	OnToken func(wire.Token)
}

// WithKey returns a copy with the idempotency key set.
func (c Call) WithKey(key string) Call {
	c.Key = key
	return c
}

// Client sends calls to the entry hosts in turn. It is safe for concurrent use.
type Client struct {
	hosts    []string
	token    string
	http     *http.Client
	maxSends int
	nextHost atomic.Uint32
}

// Option configures a Client.
type Option func(*Client)

// WithMaxSends sets how many times Do sends a call at most. Connection attempts to several hosts count as one send.
func WithMaxSends(n int) Option {
	return func(c *Client) {
		c.maxSends = n
	}
}

// WithHTTP sets the HTTP client; the default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) {
		c.http = h
	}
}

// New returns a client for the account with the token. hosts are base URLs, for instance http://127.0.0.1:8080.
func New(hosts []string, token string, opts ...Option) *Client {
	c := &Client{
		hosts:    hosts,
		token:    token,
		http:     http.DefaultClient,
		maxSends: defaultMaxSends,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends the call, and sends it again after lost responses and temporary refusals, until it is answered, a retry
// cannot help or the maximum number of sends is reached. The error is or wraps a wire.Problem, ErrUnreachable or ErrIncompleteResponse.
func (c *Client) Do(ctx context.Context, call Call) (wire.Answer, error) {
	if call.Key == "" {
		call.Key = newIdempotencyKey()
	}
	if call.OnToken != nil {
		call.OnToken = skipDelivered(call.OnToken)
	}
	key, closed := call.Key, 0
	var lastErr error
	for i := range c.maxSends {
		a, err := c.sendToReachable(ctx, call, i)
		if err == nil {
			return a, nil
		}
		lastErr = mergeErrors(lastErr, err)
		wait, retry := retryDelay(err)
		if !retry || !fitsDeadline(ctx, wait) || !sleep(ctx, wait) {
			break
		}
		var p wire.Problem
		if errors.As(err, &p) && p.RetryWith == wire.RetryNewKey {
			// The new key depends only on the original key and the number of closed keys, so that all clients that send this
			// call under the same original key also agree on the new key.
			closed++
			call = call.WithKey(fmt.Sprintf("%s.%d", key, closed))
		}
	}
	return wire.Answer{}, lastErr
}

// sendToReachable sends the call to the next entry host that accepts the connection, after at most one attempt per
// configured host.
func (c *Client) sendToReachable(ctx context.Context, call Call, earlierSends int) (wire.Answer, error) {
	for range len(c.hosts) - 1 {
		a, err := c.Send(ctx, call, earlierSends)
		if !errors.Is(err, ErrUnreachable) {
			return a, err
		}
	}
	return c.Send(ctx, call, earlierSends)
}

// mergeErrors returns the error to report for a call that was sent more than once. If no stage ran for the latest
// send, the outcome of the earlier send still applies, because stages may have run for the earlier send. If the
// latest send had no response, the host's explanation for the earlier one is kept, with an unknown outcome.
func mergeErrors(earlier, now error) error {
	if earlier == nil {
		return now
	}
	if errors.Is(now, ErrUnreachable) {
		return earlier
	}
	var earlierProblem, problem wire.Problem
	hasEarlierProblem := errors.As(earlier, &earlierProblem)
	switch {
	case !errors.As(now, &problem):
		if hasEarlierProblem {
			return earlierProblem.WithOutcome(wire.Unknown)
		}
		return now
	case problem.Outcome != wire.NotRun:
		return now
	case hasEarlierProblem:
		return problem.WithOutcome(earlierProblem.Outcome)
	default:
		return problem.WithOutcome(wire.Unknown)
	}
}

// skipDelivered returns a callback that passes each token index to onToken once and in order. It drops the tokens that
// an earlier send of the same call has delivered.
func skipDelivered(onToken func(wire.Token)) func(wire.Token) {
	next := 0
	return func(t wire.Token) {
		if t.Index == next {
			next++
			onToken(t)
		}
	}
}

// retryDelay returns how long to wait before a retry, and false if a retry cannot help.
func retryDelay(err error) (time.Duration, bool) {
	var p wire.Problem
	if !errors.As(err, &p) {
		return noResponseDelay, true
	}
	if p.RetryAfterMS == 0 || (p.Outcome == wire.Unknown && p.RetryWith != wire.RetrySameKey) {
		return 0, false
	}
	return time.Duration(p.RetryAfterMS) * time.Millisecond, true
}

// fitsDeadline reports whether the wait ends before the deadline of ctx.
func fitsDeadline(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// Send sends the call once. earlierSends is the number of earlier sends of the call, which the host receives in a header.
func (c *Client) Send(ctx context.Context, call Call, earlierSends int) (wire.Answer, error) {
	call.Request.Stream = call.OnToken != nil
	body, err := json.Marshal(call.Request)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("encode request: %w", err)
	}
	url := c.pickHost() + "/v1/pipelines/" + call.Pipeline + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return wire.Answer{}, fmt.Errorf("create request: %w", err)
	}
	// Without GetBody the transport cannot resend the request; Do alone decides about retries.
	req.GetBody = nil
	c.setHeaders(req.Header, call, earlierSends)
	resp, err := c.http.Do(req)
	if err != nil {
		// The fault may have broken other idle connections as well, so the next send opens a new one.
		c.http.CloseIdleConnections()
		if dialFailed(err) {
			return wire.Answer{}, fmt.Errorf("send request: %v: %w", err, ErrUnreachable)
		}
		return wire.Answer{}, fmt.Errorf("send request: %v: %w", err, ErrIncompleteResponse)
	}
	defer resp.Body.Close()
	if err := intact.CheckResponse(resp); err != nil {
		return wire.Answer{}, fmt.Errorf("read head of response: %v: %w", err, ErrIncompleteResponse)
	}
	if resp.Header.Get("Content-Type") == wire.TypeStream {
		return readStream(resp.Body, call.OnToken)
	}
	return readResponse(resp)
}

// dialFailed reports whether opening the connection failed, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) setHeaders(h http.Header, call Call, earlierSends int) {
	h.Set("Authorization", "Bearer "+c.token)
	h.Set("Content-Type", wire.TypeJSON)
	h.Set(wire.HeaderKey, call.Key)
	h.Set(wire.HeaderPriority, "u="+strconv.Itoa(call.Urgency))
	if call.Timeout > 0 {
		h.Set(wire.HeaderTimeout, strconv.FormatInt(call.Timeout.Milliseconds(), 10)+"m")
	}
	if earlierSends > 0 {
		h.Set(wire.HeaderAttempts, strconv.Itoa(earlierSends))
	}
}

// Outcome returns the recorded outcome of a key from any host. Its errors are those of Do, except ErrUnreachable.
func (c *Client) Outcome(ctx context.Context, key string) (wire.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.pickHost()+"/v1/outcomes/"+key, nil)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("request outcome: %v: %w", err, ErrIncompleteResponse)
	}
	defer resp.Body.Close()
	if err := intact.CheckResponse(resp); err != nil {
		return wire.Answer{}, fmt.Errorf("read head of outcome: %v: %w", err, ErrIncompleteResponse)
	}
	return readResponse(resp)
}

// pickHost returns the entry hosts in round-robin order.
func (c *Client) pickHost() string {
	return c.hosts[int(c.nextHost.Add(1)-1)%len(c.hosts)]
}

func readResponse(resp *http.Response) (wire.Answer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return wire.Answer{}, fmt.Errorf("read response: %v: %w", err, ErrIncompleteResponse)
	}
	if resp.StatusCode != http.StatusOK {
		var p wire.Problem
		if err := json.Unmarshal(data, &p); err != nil {
			return wire.Answer{}, fmt.Errorf("status %d: %w", resp.StatusCode, ErrIncompleteResponse)
		}
		return wire.Answer{}, p
	}
	var a wire.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return wire.Answer{}, fmt.Errorf("decode answer: %v: %w", err, ErrIncompleteResponse)
	}
	return a, nil
}

// readStream passes the tokens of a stream to onToken and returns its answer. A stream that lacks a token is incomplete.
func readStream(body io.Reader, onToken func(wire.Token)) (wire.Answer, error) {
	next := 0
	for ev, err := range sse.Read(body, &sse.ReadConfig{
		MaxEventSize: maxEventBytes,
	}) {
		if err != nil {
			return wire.Answer{}, fmt.Errorf("read stream: %v: %w", err, ErrIncompleteResponse)
		}
		switch ev.Type {
		case wire.EventToken:
			var t wire.Token
			if err := json.Unmarshal([]byte(ev.Data), &t); err != nil {
				return wire.Answer{}, fmt.Errorf("decode token: %v: %w", err, ErrIncompleteResponse)
			}
			if t.Index > next {
				return wire.Answer{}, fmt.Errorf("got token %d instead of %d: %w", t.Index, next, ErrIncompleteResponse)
			}
			next = max(next, t.Index+1)
			onToken(t)
		case wire.EventProblem:
			var p wire.Problem
			if err := json.Unmarshal([]byte(ev.Data), &p); err != nil {
				return wire.Answer{}, fmt.Errorf("decode problem: %v: %w", err, ErrIncompleteResponse)
			}
			return wire.Answer{}, p
		case wire.EventDone:
			var a wire.Answer
			if err := json.Unmarshal([]byte(ev.Data), &a); err != nil {
				return wire.Answer{}, fmt.Errorf("decode answer: %v: %w", err, ErrIncompleteResponse)
			}
			return a, nil
		}
	}
	return wire.Answer{}, fmt.Errorf("stream ended without a done or problem event: %w", ErrIncompleteResponse)
}

func newIdempotencyKey() string {
	var b [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
