package reach

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// OrderTimeout bounds one order; it has to be shorter than what a lease allows for one.
const OrderTimeout = time.Second

// State reads what an engine reports of itself.
func (c *Client) State(ctx context.Context, addr string) (stage.EngineState, error) {
	var s stage.EngineState
	if err := c.read(ctx, c.kept(addr), addr, stage.PathState, &s); err != nil {
		return stage.EngineState{}, fmt.Errorf("read state: %w", err)
	}
	return s, nil
}

// Order gives an engine an order over a connection of its own.
func (c *Client) Order(ctx context.Context, addr string, o stage.Order) error {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+stage.PathOrders, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make order: %w", err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", wire.TypeJSON)
	resp, err := c.fresh.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("order refused with status %d: %w", resp.StatusCode, ErrStatus)
	}
	return nil
}

// read gets a small JSON document from an upstream.
func (c *Client) read(ctx context.Context, via *http.Transport, addr, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read %s: status %d: %w", path, resp.StatusCode, ErrStatus)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventSize)).Decode(into); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
