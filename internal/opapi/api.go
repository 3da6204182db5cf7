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
	apiTimeout       = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrUnreachable reports that no complete response arrived from the daemon; the daemon may still have executed the request.
var ErrUnreachable = errors.New("the daemon cannot be reached")

// StatusError is a response with an HTTP status other than 200.
type StatusError struct {
	Status  int
	Refusal admin.Refusal
}

// Error returns the reason that the daemon gave, or the status and the body if it gave none.
func (e *StatusError) Error() string {
	return e.Refusal.Reason
}

// API is a client of the operators' interface of one daemon.
type API struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the daemon at the base URL; each request carries the operator's token.
func New(base, token string) *API {
	return &API{
		base:  base,
		token: token,
		http: &http.Client{
			Timeout: apiTimeout,
		},
	}
}

// Config returns the newest revision. If the daemon cannot read it, Config returns the revision in force on the daemon's host.
func (a *API) Config(ctx context.Context) (config.Revision, error) {
	var r config.Revision
	err := a.call(ctx, http.MethodGet, admin.PathConfig, nil, &r)
	return r, err
}

// Apply sends a change of the document; a lost race is a *StatusError whose Refusal names the winner.
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

// Status returns the state of the hosts as known to the daemon.
func (a *API) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	err := a.call(ctx, http.MethodGet, admin.PathStatus, nil, &s)
	return s, err
}

// Upstreams returns the upstreams known to the daemon.
func (a *API) Upstreams(ctx context.Context) (admin.Upstreams, error) {
	var u admin.Upstreams
	err := a.call(ctx, http.MethodGet, admin.PathUpstreams, nil, &u)
	return u, err
}

// Report returns the outcomes and costs that the daemon has counted since it started.
func (a *API) Report(ctx context.Context) (admin.Report, error) {
	var r admin.Report
	err := a.call(ctx, http.MethodGet, admin.PathReport, nil, &r)
	return r, err
}

// Summary returns the sum of the reports of all hosts over the period that ends now; account "" selects all client accounts.
func (a *API) Summary(ctx context.Context, period time.Duration, account string) (report.Summary, error) {
	var s report.Summary
	q := url.Values{
		"for":     []string{period.String()},
		"account": []string{account},
	}
	err := a.call(ctx, http.MethodGet, admin.PathSummary+"?"+q.Encode(), nil, &s)
	return s, err
}

// Orders returns the progress of the pools towards their desired state; it lists pools only if the daemon holds the lease for orders.
func (a *API) Orders(ctx context.Context) (admin.Orders, error) {
	var o admin.Orders
	err := a.call(ctx, http.MethodGet, admin.PathOrders, nil, &o)
	return o, err
}

// call sends the body as JSON, unless it is nil, and decodes the response into result.
func (a *API) call(ctx context.Context, method, path string, body, result any) error {
	var reqBody io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request body: %w", err)
		}
		reqBody = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, a.base+path, reqBody)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+a.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %v: %w", method, path, err, ErrUnreachable)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response: %v: %w", err, ErrUnreachable)
	}
	if resp.StatusCode != http.StatusOK {
		statusErr := &StatusError{
			Status: resp.StatusCode,
		}
		if json.Unmarshal(data, &statusErr.Refusal) != nil || statusErr.Refusal.Reason == "" {
			statusErr.Refusal.Reason = fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
		}
		return fmt.Errorf("%s %s: %w", method, path, statusErr)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
