package reach

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cornelwing/cornelwing/internal/intact"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// OrderTimeout bounds the request that sends one order. It must be shorter than the time that a lease reserves for an order.
const OrderTimeout = time.Second

// State reads the state that an engine reports.
func (c *Client) State(ctx context.Context, addr string) (stage.EngineState, error) {
	var s stage.EngineState
	if err := c.readJSON(ctx, c.pooledTransport(addr), addr, stage.PathState, &s); err != nil {
		return stage.EngineState{}, fmt.Errorf("read state: %w", err)
	}
	return s, nil
}

// Order sends an order to an engine over a new connection.
func (c *Client) Order(ctx context.Context, addr string, o stage.Order) error {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+stage.PathOrders, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create order request: %w", err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", wire.TypeJSON)
	resp, err := c.oneShot.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	defer resp.Body.Close()
	if err := intact.CheckResponse(resp); err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("order refused with status %d: %w", resp.StatusCode, ErrStatus)
	}
	return nil
}

// readJSON reads a JSON document from an upstream and decodes it into the given value. It reads at most maxEventSize bytes.
func (c *Client) readJSON(ctx context.Context, via *http.Transport, addr, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	defer resp.Body.Close()
	if err := intact.CheckResponse(resp); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read %s: status %d: %w", path, resp.StatusCode, ErrStatus)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventSize)).Decode(into); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
