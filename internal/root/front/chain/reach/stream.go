package reach

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/tmaxmax/go-sse"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// readStream reads the events of an engine until the done event. A stream that ends without a done event is truncated.
func (c *Client) readStream(ctx context.Context, body io.Reader, a Attempt, progress func()) Result {
	next := position{
		index:   a.Call.ResumeFrom,
		version: a.Call.Version,
	}
	events := sse.Read(body, &sse.ReadConfig{
		MaxEventSize: maxEventSize,
	})
	for ev, err := range events {
		if err != nil {
			return c.classifyError(ctx, a, true, err)
		}
		progress()
		switch ev.Type {
		case stage.EventToken:
			if err := c.acceptToken(a, ev.Data, &next); err != nil {
				return c.brokenResult(a, err)
			}
		case stage.EventDone:
			return c.readDone(a, ev.Data, next.index)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return c.brokenResult(a, fmt.Errorf("read stream from %s: %w", a.Addr, cause))
	}
	return c.brokenResult(a, fmt.Errorf("read stream from %s: %w", a.Addr, ErrTruncated))
}

// position is how far a stream has been received.
type position struct {
	// index is the index of the next token.
	index int
	// version is the version of the model that generated the tokens before, or "" if it is not known.
	version string
}

// acceptToken passes the token to OnToken if it is the next one. It drops duplicates and tokens of other attempts, and returns ErrGap if tokens are missing, and ErrVersion for a token of another version of the model than those before.
func (c *Client) acceptToken(a Attempt, data string, next *position) error {
	var t stage.Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return fmt.Errorf("decode token: %v: %w", err, ErrTruncated)
	}
	if t.AttemptID != a.Call.AttemptID || t.Index < next.index {
		c.DiscardCounts.Tokens.Add(1)
		return nil
	}
	if t.Index > next.index {
		return fmt.Errorf("got token %d instead of %d: %w", t.Index, next.index, ErrGap)
	}
	if next.index > 0 && t.Version != next.version {
		return fmt.Errorf("got token %d of version %q after version %q: %w", t.Index, t.Version, next.version, ErrVersion)
	}
	if err := a.OnToken(t); err != nil {
		return fmt.Errorf("forward token: %w", err)
	}
	next.index++
	next.version = t.Version
	return nil
}

func (c *Client) readDone(a Attempt, data string, next int) Result {
	var r stage.Result
	if err := json.Unmarshal([]byte(data), &r); err != nil {
		return c.brokenResult(a, fmt.Errorf("decode done event: %v: %w", err, ErrTruncated))
	}
	if r.AttemptID == a.Call.AttemptID && r.Tokens != next {
		return c.brokenResult(a, fmt.Errorf("got %d of %d tokens: %w", next, r.Tokens, ErrGap))
	}
	return c.checkAttemptID(a, r)
}
