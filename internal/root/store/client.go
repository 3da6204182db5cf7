package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/intact"
	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/plat"
)

const (
	defaultTimeout = time.Second
	maxIdleConns   = 32
	maxBodyBytes   = 64 << 20
)

// Client calls the platform over HTTP through a circuit breaker. It is safe for concurrent use.
type Client struct {
	common.Deps
	base    string
	http    *http.Client
	timeout time.Duration
	breaker Breaker
}

// Option configures a Client in New.
type Option func(*Client)

// WithTimeout sets how long a call may take to get its response, and for how long no byte of the response may arrive. The default is 1 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) {
		c.timeout = d
	}
}

// New returns a client of the platform at the base URL, to which the paths are appended.
func New(deps common.Deps, base string, opts ...Option) *Client {
	c := &Client{
		Deps:    deps.WithPart("store"),
		base:    base,
		timeout: defaultTimeout,
		http: &http.Client{
			Transport: &http.Transport{
				MaxResponseHeaderBytes: jhttp.MaxResponseHead,
				MaxIdleConnsPerHost:    maxIdleConns,
				DialContext:            intact.Dial((&net.Dialer{}).DialContext),
			},
		},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Outage reports whether the circuit breaker considers the platform unavailable, and the time until the next probe call is permitted.
func (c *Client) Outage() (time.Duration, bool) {
	return c.breaker.Outage(c.Now())
}

// Get returns a row, or ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, table, key string) (plat.Row, error) {
	var row plat.Row
	path := "/v1/rows/" + url.PathEscape(table) + "/" + url.PathEscape(key)
	if err := c.read(ctx, path, &row); err != nil {
		return plat.Row{}, fmt.Errorf("get row %s/%s: %w", table, key, err)
	}
	return row, nil
}

// List returns at most limit rows whose keys start with prefix and are greater than after, sorted by key.
func (c *Client) List(ctx context.Context, table, prefix, after string, limit int) ([]plat.Row, error) {
	q := url.Values{
		"prefix": []string{prefix},
		"after":  []string{after},
		"limit":  []string{strconv.Itoa(limit)},
	}
	var rows plat.Rows
	if err := c.read(ctx, "/v1/rows/"+url.PathEscape(table)+"?"+q.Encode(), &rows); err != nil {
		return nil, fmt.Errorf("list rows of %s: %w", table, err)
	}
	return rows.Rows, nil
}

// Commit executes a transaction. It returns a *ConflictError if conditions do not hold, and ErrUnknownOutcome if the outcome is unknown.
func (c *Client) Commit(ctx context.Context, txn plat.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return fmt.Errorf("encode transaction: %w", err)
	}
	status, data, err := c.do(ctx, http.MethodPost, "/v1/commit", body)
	if err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	if status == http.StatusConflict {
		var conflict plat.Conflict
		if err := json.Unmarshal(data, &conflict); err != nil {
			return fmt.Errorf("decode conflict: %w", ErrUnknownOutcome)
		}
		return fmt.Errorf("commit: %w", &ConflictError{
			Failed: conflict.Failed,
		})
	}
	if err := statusError(status); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// PutObject creates or replaces an object.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	status, _, err := c.do(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(key), data)
	if err != nil {
		return fmt.Errorf("put object %s: %w", key, err)
	}
	if err := statusError(status); err != nil {
		return fmt.Errorf("put object %s: %w", key, err)
	}
	return nil
}

// Object returns the content of an object, or ErrNotFound if there is none. The content must mark its own end, as JSON does: if the platform sends it without a length or chunks and ends early, Object returns a part of it.
func (c *Client) Object(ctx context.Context, key string) ([]byte, error) {
	status, data, err := c.do(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil)
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", key, err)
	}
	if err := statusError(status); err != nil {
		return nil, fmt.Errorf("get object %s: %w", key, err)
	}
	return data, nil
}

// Hosts returns the host list, or ErrNotModified if its version still equals known.
func (c *Client) Hosts(ctx context.Context, known int64) (plat.HostList, error) {
	var list plat.HostList
	if err := c.readWithETag(ctx, "/v1/hosts", strconv.Quote(strconv.FormatInt(known, 10)), &list); err != nil {
		return plat.HostList{}, fmt.Errorf("get host list: %w", err)
	}
	return list, nil
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	return c.readWithETag(ctx, path, "", into)
}

// readWithETag decodes the resource into the given value. If tag is set and the resource still has this entity tag, it returns ErrNotModified.
func (c *Client) readWithETag(ctx context.Context, path, tag string, into any) error {
	status, data, err := c.doWithETag(ctx, http.MethodGet, path, tag, nil)
	if err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	if err := statusError(status); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode %s: %w", path, ErrUnknownOutcome)
	}
	return nil
}

// do performs one call. It returns ErrUnavailable if nothing was sent, and ErrUnknownOutcome if the platform may have received the request.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	return c.doWithETag(ctx, method, path, "", body)
}

func (c *Client) doWithETag(ctx context.Context, method, path, tag string, body []byte) (int, []byte, error) {
	if !c.breaker.Allow(c.Now()) {
		return 0, nil, ErrUnavailable
	}
	status, data, err := c.send(ctx, method, path, tag, body)
	c.breaker.Done(c.Now(), err == nil && status < http.StatusInternalServerError)
	return status, data, err
}

func (c *Client) send(ctx context.Context, method, path, tag string, body []byte) (int, []byte, error) {
	watchdog, ctx, stop := jhttp.NewWatchdog(ctx)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("make request: %w", err)
	}
	watchdog.Expect(c.timeout)
	if len(body) > 0 {
		req.Body = io.NopCloser(watchdog.Watch(req.Body, c.timeout))
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if isDialError(err) {
			return 0, nil, fmt.Errorf("dial platform: %w", ErrUnavailable)
		}
		// The failure may affect all connections, so the next call dials a new one.
		c.http.CloseIdleConnections()
		return 0, nil, fmt.Errorf("call platform: %w", ErrUnknownOutcome)
	}
	defer resp.Body.Close()
	if err := intact.CheckResponse(resp); err != nil {
		return 0, nil, fmt.Errorf("read head of answer: %v: %w", err, ErrUnknownOutcome)
	}
	data, err := io.ReadAll(io.LimitReader(watchdog.Watch(resp.Body, c.timeout), maxBodyBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", ErrUnknownOutcome)
	}
	return resp.StatusCode, data, nil
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError maps an HTTP status to an error. The platform guarantees that a call answered with 429 or 503 had no effect.
func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotModified:
		return ErrNotModified
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return ErrUnknownOutcome
	}
}
