package opcli

import (
	"context"
	"fmt"
	"os"

	"github.com/cornelwing/cornelwing/internal/trace"
)

func traceFlags(c *invocation) {
	c.StringVar(&c.opts.request, "request", "", "`id` of the request")
}

// runTrace prints the log lines of one request from all given logs, sorted by time.
func runTrace(_ context.Context, c *invocation) error {
	if c.opts.request == "" {
		return &UsageError{
			Reason: "-request ID is needed",
		}
	}
	var logs [][]trace.Line
	for _, name := range c.positional {
		lines, err := traceFile(name, c.opts.request)
		if err != nil {
			return err
		}
		logs = append(logs, lines)
	}
	if len(c.positional) == 0 {
		lines, err := trace.Read("-", os.Stdin, c.opts.request)
		if err != nil {
			return fmt.Errorf("read log lines of the request: %w", err)
		}
		logs = append(logs, lines)
	}
	for _, l := range trace.Merge(logs...) {
		fmt.Fprintf(c.out, "%s: %s\n", l.Source, l.Text)
	}
	return nil
}

func traceFile(name, request string) ([]trace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	lines, err := trace.Read(name, f, request)
	if err != nil {
		return nil, fmt.Errorf("read log lines of the request: %w", err)
	}
	return lines, nil
}
