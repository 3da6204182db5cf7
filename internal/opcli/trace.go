package opcli

import (
	"context"
	"fmt"
	"os"

	"github.com/cornelwing/cornelwing/internal/trace"
)

func traceFlags(c *call) {
	c.StringVar(&c.opts.request, "request", "", "`id` of the request")
}

// runTrace prints what the logs say of one request, over all hosts in the order of time.
func runTrace(_ context.Context, c *call) error {
	if c.opts.request == "" {
		return &UsageError{
			Reason: "-request ID is needed",
		}
	}
	var logs [][]trace.Line
	for _, name := range c.words {
		lines, err := traceFile(name, c.opts.request)
		if err != nil {
			return err
		}
		logs = append(logs, lines)
	}
	if len(c.words) == 0 {
		lines, err := trace.Read("-", os.Stdin, c.opts.request)
		if err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		logs = append(logs, lines)
	}
	for _, l := range trace.Join(logs...) {
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
		return nil, fmt.Errorf("trace: %w", err)
	}
	return lines, nil
}
