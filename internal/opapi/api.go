package opapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/internal/root/report"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	apiTimeout = 15 * time.Second
	maxReply   = 64 << 20
)

// ErrNotSent says that no daemon could be reached.
var ErrNotSent = errors.New("the daemon cannot be reached")

// StatusError is a refusal with its HTTP status.
type StatusError struct {
	Status  int
	Refusal admin.Refusal
}

// Error renders the refusal's reason.
func (e *StatusError) Error() string {
	return e.Refusal.Reason
}

// API calls the operators' interface of one daemon.
type API struct {
	base  string
	token string
	http  *http.Client
}

// New returns an API at the base URL for the operator whose token is given.
func New(base, token string) *API {
	return &API{
		base:  base,
		token: token,
		http: &http.Client{
			Timeout: apiTimeout,
		},
	}
}

// Config returns the newest revision.
func (a *API) Config(ctx context.Context) (config.Revision, error) {
	var r config.Revision
	err := a.call(ctx, http.MethodGet, admin.PathConfig, nil, &r)
	return r, err
}

// Apply sends a change.
func (a *API) Apply(ctx context.Context, c admin.Change) (admin.ChangeResult, error) {
	var r admin.ChangeResult
	err := a.call(ctx, http.MethodPut, admin.PathConfig, c, &r)
	return r, err
}

// History returns the revisions, the newest first.
func (a *API) History(ctx context.Context) (admin.History, error) {
	var h admin.History
	err := a.call(ctx, http.MethodGet, admin.PathHistory, nil, &h)
	return h, err
}

// Status returns the state of the hosts.
func (a *API) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	err := a.call(ctx, http.MethodGet, admin.PathStatus, nil, &s)
	return s, err
}

// Upstreams returns the upstreams.
func (a *API) Upstreams(ctx context.Context) (admin.Upstreams, error) {
	var u admin.Upstreams
	err := a.call(ctx, http.MethodGet, admin.PathUpstreams, nil, &u)
	return u, err
}

// Report returns what the daemon has counted.
func (a *API) Report(ctx context.Context) (admin.Report, error) {
	var r admin.Report
	err := a.call(ctx, http.MethodGet, admin.PathReport, nil, &r)
	return r, err
}

// Summary returns the reports of all hosts over the time that ends now; an account of "" means all.
func (a *API) Summary(ctx context.Context, length time.Duration, account string) (report.Summary, error) {
	var s report.Summary
	q := url.Values{
		"for":     []string{length.String()},
		"account": []string{account},
	}
	err := a.call(ctx, http.MethodGet, admin.PathSummary+"?"+q.Encode(), nil, &s)
	return s, err
}

// Orders returns how far the pools have come, as the daemon sees it.
func (a *API) Orders(ctx context.Context) (admin.Orders, error) {
	var o admin.Orders
	err := a.call(ctx, http.MethodGet, admin.PathOrders, nil, &o)
	return o, err
}

func (a *API) call(ctx context.Context, method, path string, body, into any) error {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode call: %w", err)
		}
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, a.base+path, in)
	if err != nil {
		return fmt.Errorf("make call: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+a.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %v: %w", method, path, err, ErrNotSent)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return fmt.Errorf("read answer: %v: %w", err, ErrNotSent)
	}
	if resp.StatusCode != http.StatusOK {
		refused := &StatusError{
			Status: resp.StatusCode,
		}
		if json.Unmarshal(data, &refused.Refusal) != nil || refused.Refusal.Reason == "" {
			refused.Refusal.Reason = fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
		}
		return fmt.Errorf("%s %s: %w", method, path, refused)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
