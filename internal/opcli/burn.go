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
	// metricsTimeout bounds the wait for one host's metrics.
	metricsTimeout = 3 * time.Second
	// maxMetrics bounds the metrics of one host, in bytes.
	maxMetrics = 4 << 20
)

// runBurn prints the burn over the hosts whose metrics can be read, and fails with the names of the others.
func runBurn(ctx context.Context, c *call) error {
	if len(c.words) == 0 {
		return &UsageError{
			Reason: "the metrics of at least one host are needed",
		}
	}
	var (
		hosts []burn.Report
		last  error
	)
	for _, url := range c.words {
		r, err := readBurn(ctx, url)
		if err != nil {
			fmt.Fprintf(c.out, "missing: %s: %v\n", url, err)
			last = err
			continue
		}
		hosts = append(hosts, r)
	}
	if len(hosts) > 0 {
		joined := burn.Joined(hosts)
		if err := c.show(joined, func(t *tabwriter.Writer) { printBurn(t, joined) }); err != nil {
			return fmt.Errorf("burn: %w", err)
		}
	}
	if last != nil {
		return fmt.Errorf("burn over %d of %d hosts: %w", len(hosts), len(c.words), last)
	}
	return nil
}

func readBurn(ctx context.Context, url string) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	status, answer, err := jhttp.Do(ctx, http.DefaultTransport, jhttp.Call{
		Method: http.MethodGet,
		URL:    url,
		Limit:  maxMetrics,
	})
	if err != nil {
		return burn.Report{}, fmt.Errorf("read metrics: %w: %w", opapi.ErrNotSent, err)
	}
	if status != http.StatusOK {
		return burn.Report{}, fmt.Errorf("read metrics: status %d: %w", status, opapi.ErrNotSent)
	}
	var m struct {
		Burn *burn.Report `json:"burn"`
	}
	if err := jhttp.Decode(answer, &m); err != nil {
		return burn.Report{}, fmt.Errorf("read metrics: %w: %w", opapi.ErrNotSent, err)
	}
	if m.Burn == nil {
		return burn.Report{}, fmt.Errorf("metrics tell no burn: %w", opapi.ErrNotSent)
	}
	return *m.Burn, nil
}
