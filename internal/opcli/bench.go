package opcli

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cornelwing/cornelwing/internal/bench"
)

const (
	// benchRate is the rate of the load measurement, in requests per second.
	benchRate     = 1000
	benchDuration = 5 * time.Second
)

// benchOptions holds the values of the flags of the bench command.
type benchOptions struct {
	target   bench.Target
	requests int
}

// benchResult is the result that the bench command prints as JSON.
type benchResult struct {
	PathCost   bench.PathCost     `json:"path"`
	RateCost   bench.RateCost     `json:"rate"`
	StreamCost []bench.StreamCost `json:"streams"`
}

func benchFlags(c *invocation) {
	o := &c.opts.bench
	c.StringVar(&o.target.Direct, "direct", "127.0.0.1:23100", "`address` of the upstream that is called directly")
	c.StringVar(&o.target.Callers, "callers", "http://127.0.0.1:23010", "base `URL` of the daemon's callers' address")
	c.StringVar(&o.target.Account, "account", "bench", "`token` of the client account")
	c.StringVar(&o.target.Pipeline, "pipeline", "echo", "`pipeline` of one stage on the upstream")
	c.StringVar(&o.target.Streams, "streams", "stream", "`pipeline` of one stage on an engine")
	c.IntVar(&o.requests, "n", 5000, "`number` of pairs of calls")
}

func runBench(ctx context.Context, c *invocation) error {
	t := c.opts.bench.target
	t.Operators = c.addr
	t.Operator = c.token
	path, err := bench.RunPath(ctx, t, max(10, c.opts.bench.requests))
	if err != nil {
		return fmt.Errorf("measure cost of the path through the daemon: %w", err)
	}
	rate, err := bench.RunRate(ctx, t, benchRate, benchDuration)
	if err != nil {
		return fmt.Errorf("measure latency at a fixed request rate: %w", err)
	}
	r := benchResult{
		PathCost: path,
		RateCost: rate,
	}
	for _, open := range []int{64, 1000} {
		s, err := bench.RunStreams(ctx, t, open)
		if err != nil {
			return fmt.Errorf("measure open streams: %w", err)
		}
		r.StreamCost = append(r.StreamCost, s)
	}
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}
