package opcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/internal/root/front/tally"
	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const statusPollInterval = 200 * time.Millisecond

// printResult prints v in the format of the -o flag; table writes the rows of the table format, which is the default.
func (c *invocation) printResult(v any, table func(t *tabwriter.Writer)) error {
	switch c.format {
	case "json":
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return fmt.Errorf("print as JSON: %w", err)
		}
		return nil
	case "yaml":
		return c.printYAML(v)
	case "table":
		t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		table(t)
		if err := t.Flush(); err != nil {
			return fmt.Errorf("print table: %w", err)
		}
		return nil
	default:
		return &UsageError{Reason: "-o must be table, json or yaml"}
	}
}

// printYAML encodes v as JSON first, so that both formats use the same field names.
func (c *invocation) printYAML(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode as JSON: %w", err)
	}
	var plain any
	if err := json.Unmarshal(data, &plain); err != nil {
		return fmt.Errorf("decode JSON: %w", err)
	}
	out, err := yaml.Marshal(plain)
	if err != nil {
		return fmt.Errorf("print as YAML: %w", err)
	}
	if _, err := c.out.Write(out); err != nil {
		return fmt.Errorf("print as YAML: %w", err)
	}
	return nil
}

func runGet(ctx context.Context, c *invocation) error {
	rev, err := requestedRevision(ctx, c)
	if err != nil {
		return fmt.Errorf("read revision: %w", err)
	}
	text, err := rev.Document.Encode()
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	return c.printResult(rev, func(t *tabwriter.Writer) {
		fmt.Fprintf(t, "# revision %d by %s at %s\n%s", rev.Number, rev.Author, rev.At.Format(time.RFC3339), text)
	})
}

// requestedRevision returns the revision named by the argument, or the newest one without an argument.
func requestedRevision(ctx context.Context, c *invocation) (config.Revision, error) {
	if len(c.positional) == 0 {
		return c.client().Config(ctx)
	}
	n, err := strconv.ParseInt(c.positional[0], 10, 64)
	if err != nil {
		return config.Revision{}, &UsageError{Reason: "REVISION must be a number"}
	}
	h, err := c.client().History(ctx)
	if err != nil {
		return config.Revision{}, fmt.Errorf("read history: %w", err)
	}
	for _, r := range h.Revisions {
		if r.Number == n {
			return r, nil
		}
	}
	return config.Revision{}, &UsageError{Reason: fmt.Sprintf("revision %d is not among the last %d", n, len(h.Revisions))}
}

func runDiff(ctx context.Context, c *invocation) error {
	text, err := readDocument(c)
	if err != nil {
		return err
	}
	doc, err := config.Parse(c.positional[0], text)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	rev, err := c.client().Config(ctx)
	if err != nil {
		return fmt.Errorf("read newest revision: %w", err)
	}
	out, err := config.Diff(rev.Document, doc, fmt.Sprintf("revision %d", rev.Number), c.positional[0])
	if err != nil {
		return fmt.Errorf("compare documents: %w", err)
	}
	fmt.Fprint(c.out, out)
	return nil
}

func runHistory(ctx context.Context, c *invocation) error {
	h, err := c.client().History(ctx)
	if err != nil {
		return fmt.Errorf("read history: %w", err)
	}
	return c.printResult(h, func(t *tabwriter.Writer) {
		fmt.Fprintln(t, "REVISION\tAUTHOR\tAT\tPIPELINES\tACCOUNTS")
		for _, r := range h.Revisions {
			fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\n", r.Number, r.Author, r.At.Format(time.RFC3339), len(r.Document.Pipelines), len(r.Document.Accounts))
		}
	})
}

func runStatus(ctx context.Context, c *invocation) error {
	s, err := c.client().Status(ctx)
	if err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	return c.printResult(s, func(t *tabwriter.Writer) {
		fmt.Fprintf(t, "Revision %d as %s sees it. In force on every live host: %s. Platform: %s.\n\n", s.Revision, s.Host, yesNo(s.InForce), platformState(!s.StoreOut))
		fmt.Fprintln(t, "HOST\tDOMAIN\tPEER ADDRESS\tREVISION\tSTATE")
		for _, p := range s.Live {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", p.Name, p.Domain, p.Addr, p.Revision, hostState(p, s.Revision))
		}
		for _, p := range s.Lost {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\tsilent\n", p.Name, p.Domain, p.Addr, p.Revision)
		}
	})
}

func hostState(p view.Peer, revision int64) string {
	switch {
	case p.Leaving:
		return "leaving"
	case p.Revision < revision:
		return "lags"
	default:
		return "live"
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func platformState(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "out"
}

// waitUntilInForce waits up to the duration of -wait until every live host has the revision in force; without -wait it returns at once.
func waitUntilInForce(ctx context.Context, c *invocation, revision int64) error {
	if c.opts.wait <= 0 {
		return nil
	}
	start := time.Now()
	var lagging []string
	for time.Since(start) < c.opts.wait {
		s, err := c.client().Status(ctx)
		if err != nil {
			return fmt.Errorf("read status: %w", err)
		}
		if lagging = laggingHosts(s, revision); len(lagging) == 0 {
			fmt.Fprintf(c.out, "It is in force on all %d live hosts after %s.\n", len(s.Live), time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(statusPollInterval)
	}
	return fmt.Errorf("after %s the revision is not in force on these live hosts: %s", c.opts.wait, strings.Join(lagging, ", "))
}

// laggingHosts returns the names of the live hosts that have an older revision in force.
func laggingHosts(s admin.Status, revision int64) []string {
	var names []string
	for _, p := range s.Live {
		if p.Revision < revision {
			names = append(names, p.Name)
		}
	}
	return names
}

func runUpstreams(ctx context.Context, c *invocation) error {
	u, err := c.client().Upstreams(ctx)
	if err != nil {
		return fmt.Errorf("read upstreams: %w", err)
	}
	return c.printResult(u, func(t *tabwriter.Writer) {
		fmt.Fprintln(t, "UPSTREAM\tPOOL\tDOMAIN\tADDRESS\tSTATE")
		for _, x := range u.Upstreams {
			state := "live"
			switch {
			case x.Drained:
				state = "drained"
			case x.Leaving:
				state = "leaving"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", x.Name, x.Pool, x.Domain, x.Addr, state)
		}
	})
}

func runReport(ctx context.Context, c *invocation) error {
	if c.opts.period > 0 {
		return runSummary(ctx, c)
	}
	r, err := c.client().Report(ctx)
	if err != nil {
		return fmt.Errorf("read report: %w", err)
	}
	return c.printResult(r, func(t *tabwriter.Writer) {
		printBurn(t, r.Burn)
		printCounts(t, r.Counts)
	})
}

// runSummary prints the summary over all hosts, with the hosts and minutes whose reports are missing.
func runSummary(ctx context.Context, c *invocation) error {
	sum, err := c.client().Summary(ctx, c.opts.period, c.opts.account)
	if err != nil {
		return fmt.Errorf("read summary: %w", err)
	}
	return c.printResult(sum, func(t *tabwriter.Writer) {
		fmt.Fprintf(t, "From %s to %s, by %d hosts. Minutes missing: %d.\n\n", sum.From.Format(time.RFC3339), sum.Until.Format(time.RFC3339), len(sum.Hosts), len(sum.Missing))
		for _, g := range sum.Missing {
			fmt.Fprintf(t, "missing: %s at %s\n", g.Host, g.Interval.Format(time.RFC3339))
		}
		printCounts(t, sum.Counts)
	})
}

func printCounts(w io.Writer, counts []tally.Count) {
	fmt.Fprintln(w, "ACCOUNT\tPIPELINE\tSENT\tATTAINMENT\tNOT RUN\tFAILED\tUNKNOWN\tP50 MS\tP95 MS\tCOST BY STAGE (WASTED)")
	for _, x := range counts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.2f %%\t%d\t%d\t%d\t%.1f\t%.1f\t%s\n", x.Account, x.Pipeline, x.Sent, 100*x.Attainment(),
			x.NotRun, x.Failed, x.Unknown, common.Millis(x.Quantile(50)), common.Millis(x.Quantile(95)), stageCosts(x.Stages))
	}
}

func stageCosts(stages []tally.Cost) string {
	parts := make([]string, 0, len(stages))
	for _, s := range stages {
		parts = append(parts, fmt.Sprintf("%s %.3f (%.3f)", s.Stage, s.Cost, s.Wasted))
	}
	return strings.Join(parts, ", ")
}

func printBurn(w io.Writer, b burn.Report) {
	fmt.Fprintf(w, "Objective %.3f %%. Alert: %s.\n\nWINDOW\tIN TIME\tMISSED\tBURN RATE\n", 100*b.Objective, b.Severity)
	for _, x := range b.Windows {
		fmt.Fprintf(w, "%d min\t%d\t%d\t%.2f\n", x.Minutes, x.Good, x.Bad, x.Rate)
	}
	fmt.Fprintln(w)
}

func runOrders(ctx context.Context, c *invocation) error {
	o, err := c.client().Orders(ctx)
	if err != nil {
		return fmt.Errorf("read progress of orders: %w", err)
	}
	return c.printResult(o, func(t *tabwriter.Writer) {
		if len(o.Pools) == 0 {
			fmt.Fprintf(t, "%s does not hold the lease for orders, or nothing is wanted.\n", o.Host)
			return
		}
		fmt.Fprintln(t, "POOL\tWANTED\tLIVE\tMATCH\tSTATE")
		for _, p := range o.Pools {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", p.Pool, p.Wanted, p.Live, p.Matches, p.Note)
		}
	})
}
