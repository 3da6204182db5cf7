package reach

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/tmaxmax/go-sse"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// stream reads the events of an engine until the end mark; without it the stream was cut.
func (c *Client) stream(ctx context.Context, body io.Reader, a Attempt, progress func()) Result {
	next := a.Call.ResumeFrom
	events := sse.Read(body, &sse.ReadConfig{
		MaxEventSize: maxEventSize,
	})
	for ev, err := range events {
		if err != nil {
			return c.ended(ctx, a, true, err)
		}
		progress()
		switch ev.Type {
		case stage.EventToken:
			if err := c.token(a, ev.Data, &next); err != nil {
				return c.broken(a, err)
			}
		case stage.EventDone:
			return c.end(a, ev.Data, next)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return c.broken(a, fmt.Errorf("stream of %s: %w", a.Addr, cause))
	}
	return c.broken(a, fmt.Errorf("stream of %s: %w", a.Addr, ErrCut))
}

// token passes on the next token; one that came before or is another attempt's is dropped.
func (c *Client) token(a Attempt, data string, next *int) error {
	var t stage.Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return fmt.Errorf("decode token: %v: %w", err, ErrCut)
	}
	if t.AttemptID != a.Call.AttemptID || t.Index < *next {
		c.Strays.Tokens.Add(1)
		return nil
	}
	if t.Index > *next {
		return fmt.Errorf("token %d where %d is due: %w", t.Index, *next, ErrGap)
	}
	if err := a.OnToken(t); err != nil {
		return fmt.Errorf("pass token on: %w", err)
	}
	*next++
	return nil
}

func (c *Client) end(a Attempt, data string, next int) Result {
	var r stage.Result
	if err := json.Unmarshal([]byte(data), &r); err != nil {
		return c.broken(a, fmt.Errorf("decode end mark: %v: %w", err, ErrCut))
	}
	if r.AttemptID == a.Call.AttemptID && r.Tokens != next {
		return c.broken(a, fmt.Errorf("%d tokens of %d: %w", next, r.Tokens, ErrGap))
	}
	return c.own(a, r)
}
