package opcli

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/opapi"
	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
)

const (
	// metricsTimeout is the time limit for reading the metrics of one host.
	metricsTimeout = 3 * time.Second
	// maxMetricsBytes is the largest size of the metrics of one host.
	maxMetricsBytes = 4 << 20
)

// runBurn prints the combined burn rate of the hosts whose metrics can be read, and one line for each host whose metrics cannot be read. If there is such a host, runBurn returns the last read error.
func runBurn(ctx context.Context, c *invocation) error {
	if len(c.positional) == 0 {
		return &UsageError{
			Reason: "the metrics of at least one host are needed",
		}
	}
	var (
		reports []burn.Report
		lastErr error
	)
	for _, url := range c.positional {
		r, err := readBurn(ctx, url)
		if err != nil {
			fmt.Fprintf(c.out, "missing: %s: %v\n", url, err)
			lastErr = err
			continue
		}
		reports = append(reports, r)
	}
	if len(reports) > 0 {
		combined := burn.MergeReports(reports)
		if err := c.printResult(combined, func(t *tabwriter.Writer) { printBurn(t, combined) }); err != nil {
			return fmt.Errorf("print burn report: %w", err)
		}
	}
	if lastErr != nil {
		return fmt.Errorf("burn report covers only %d of %d hosts: %w", len(reports), len(c.positional), lastErr)
	}
	return nil
}

// readBurn reads the burn report from the metrics of one host. Every failure wraps opapi.ErrUnreachable, so that the exit code is that of an unreachable daemon.
func readBurn(ctx context.Context, url string) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	resp, err := jhttp.Do(ctx, http.DefaultTransport, jhttp.Call{
		Method: http.MethodGet,
		URL:    url,
		Limit:  maxMetricsBytes,
	})
	if err != nil {
		return burn.Report{}, fmt.Errorf("read metrics: %w: %w", opapi.ErrUnreachable, err)
	}
	if resp.Status != http.StatusOK {
		return burn.Report{}, fmt.Errorf("read metrics: status %d: %w", resp.Status, opapi.ErrUnreachable)
	}
	var m struct {
		Burn *burn.Report `json:"burn"`
	}
	if err := jhttp.Decode(resp.Body, &m); err != nil {
		return burn.Report{}, fmt.Errorf("read metrics: %w: %w", opapi.ErrUnreachable, err)
	}
	if m.Burn == nil {
		return burn.Report{}, fmt.Errorf("metrics contain no burn report: %w", opapi.ErrUnreachable)
	}
	return *m.Burn, nil
}
