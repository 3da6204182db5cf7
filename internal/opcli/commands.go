package opcli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/certs"
	"github.com/cornelwing/cornelwing/internal/demo"
	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// options holds the values of flags that only some commands define.
type options struct {
	base   int64
	dryRun bool
	wait   time.Duration
	dir    string
	// period is the length of the time that a report covers, and account is the client account that it covers.
	period  time.Duration
	account string
	// request is the ID of the request to trace.
	request string
	demo    demo.Options
	bench   benchOptions
	stages  stagesOptions
}

// Commands returns the client's commands in the order of the help text.
func Commands() []Command {
	return []Command{
		{
			Name:  "demo",
			Short: "run stand-ins and three daemons under a mixed load, and check every promise",
			Long:  "Runs stand-ins and three daemons over loopback sockets in one process, sends a mixed workload through faults, and prints a table. Exits 0 only if every promise held.",
			run:   runDemo,
			flags: demoFlags,
		},
		{
			Name:  "apply",
			Args:  "FILE",
			Short: "put a document in force",
			Long:  "Checks the document in FILE (- for standard input) and puts it in force. Without -base the change is made from the newest revision.",
			run:   runApply,
			flags: applyFlags,
		},
		{
			Name:  "get",
			Args:  "[REVISION]",
			Short: "print the document in force, or an earlier one",
			Long:  "Prints the document of the newest revision, or of the revision that is named, as YAML.",
			run:   runGet,
		},
		{
			Name:  "diff",
			Args:  "FILE",
			Short: "compare a document with the one in force",
			Long:  "Prints the lines by which the document in FILE (- for standard input) differs from the one in force. Exits 0 whether or not there are any.",
			run:   runDiff,
		},
		{
			Name:  "history",
			Short: "list the revisions",
			Long:  "Lists the revisions with their authors and times, the newest first.",
			run:   runHistory,
		},
		{
			Name:  "trace",
			Args:  "[FILE...]",
			Short: "show what the hosts' logs say of one request",
			Long:  "Reads the logs in the FILEs, or standard input, and prints the lines that name the request, over all hosts in the order of time.",
			run:   runTrace,
			flags: traceFlags,
		},
		{
			Name:  "stages",
			Args:  "FILE",
			Short: "simulate the stages of a deployment",
			Long:  "Simulates the callers, queues and workers of the deployment in FILE in virtual time, and prints how many requests of each kind are on time, late and refused, beside how many could be on time. examples/stages has such files.",
			run:   runStages,
			flags: stagesFlags,
		},
		{
			Name:  "status",
			Short: "show which hosts live and which revision each has in force",
			Long:  "Shows the hosts as the daemon that is asked sees them.",
			run:   runStatus,
		},
		{
			Name:  "upstreams",
			Short: "list the upstreams",
			Long:  "Lists the upstreams as the daemon that is asked sees them.",
			run:   runUpstreams,
		},
		{
			Name:  "hosts",
			Short: "the same as status",
			Long:  "Shows the hosts as the daemon that is asked sees them.",
			run:   runStatus,
		},
		{
			Name:  "drain",
			Args:  "UPSTREAM",
			Short: "give an upstream no new work",
			Long:  "Puts a revision in force in which the upstream is given no new work. What it has in flight ends.",
			run:   runDrain(true),
			flags: applyFlags,
		},
		{
			Name:  "undrain",
			Args:  "UPSTREAM",
			Short: "give an upstream work again",
			Long:  "Puts a revision in force in which the upstream is given work again.",
			run:   runDrain(false),
			flags: applyFlags,
		},
		{
			Name:  "report",
			Short: "show attainment, latency and cost by stage",
			Long:  "Shows outcomes and costs for each client account and pipeline: with -for over all hosts from what they stored each minute, without it what the daemon that is asked has counted since it started, with its burn.",
			run:   runReport,
			flags: reportFlags,
		},
		{
			Name:  "burn",
			Args:  "URL ...",
			Short: "show how fast the objective is missed over hosts of the users' platform",
			Long:  "Reads the metrics of each host that is named, such as http://10.1.0.41:9464/metrics, and shows the burn of the objective over all of them. A host that can't be read is named, and the exit code is 5.",
			run:   runBurn,
		},
		{
			Name:  "orders",
			Short: "show how far the engines have come to what is wanted",
			Long:  "Shows the pools whose engines take orders, as the order holder sees them. Any other host names none.",
			run:   runOrders,
		},
		{
			Name:  "bench",
			Short: "measure what the path through a daemon costs",
			Long:  "Calls an upstream directly and through a daemon in turn, then holds streams open, and prints the costs as JSON. bench/path.sh starts what it needs.",
			run:   runBench,
			flags: benchFlags,
		},
		{
			Name:  "certs",
			Args:  "HOST ...",
			Short: "make the certificates by which hosts prove themselves to each other",
			Long:  "Makes an authority and a certificate and key for each host that is named.",
			run:   runCerts,
			flags: func(c *invocation) { c.StringVar(&c.opts.dir, "dir", "certs", "`directory` to write to") },
		},
		{
			Name:  "completion",
			Short: "print a completion script for bash",
			Long:  "Prints a script to be read by bash: source <(cornelwing completion).",
			run:   runCompletion,
		},
		{
			Name:  "token",
			Args:  "TOKEN",
			Short: "print the key_sha256 of a token",
			Long:  "Prints the hexadecimal SHA-256 of a token, as documents and settings hold it.",
			run:   runToken,
		},
	}
}

func demoFlags(c *invocation) {
	o := demo.DefaultOptions()
	c.opts.demo = o
	c.BoolVar(&c.opts.demo.JSON, "json", false, "print the result as one JSON object")
	c.BoolVar(&c.opts.demo.Hold, "hold", false, "send nothing, and serve until interrupted")
	c.BoolVar(&c.opts.demo.Verbose, "v", false, "show the daemons' logs")
	c.IntVar(&c.opts.demo.Rate, "rate", o.Rate, "requests a `second`")
	c.DurationVar(&c.opts.demo.Length, "for", o.Length, "how long to send, as a `duration` with its unit")
	c.Uint64Var(&c.opts.demo.Seed, "seed", o.Seed, "`seed` of the workload and the faults")
}

func runDemo(ctx context.Context, c *invocation) error {
	if c.opts.demo.Rate <= 0 || c.opts.demo.Length <= 0 {
		return &UsageError{Reason: "-rate and -for must be above 0"}
	}
	if err := demo.Run(ctx, c.out, c.opts.demo); err != nil {
		return fmt.Errorf("run demo: %w", err)
	}
	return nil
}

func reportFlags(c *invocation) {
	c.DurationVar(&c.opts.period, "for", 0, "sum up all hosts over this `duration` until now")
	c.StringVar(&c.opts.account, "account", "", "only this `account`, with -for")
}

func applyFlags(c *invocation) {
	c.Int64Var(&c.opts.base, "base", -1, "`revision` that the change was made from; -1 takes the newest")
	c.BoolVar(&c.opts.dryRun, "dry-run", false, "check the document and change nothing")
	c.DurationVar(&c.opts.wait, "wait", 0, "wait up to this `duration` until every live host has the revision in force")
}

func runApply(ctx context.Context, c *invocation) error {
	text, err := readDocument(c)
	if err != nil {
		return err
	}
	base := c.opts.base
	if base < 0 {
		if base, err = newestRevisionNumber(ctx, c); err != nil {
			return fmt.Errorf("find base revision: %w", err)
		}
	}
	return applyDocument(ctx, c, base, text)
}

// runDrain returns the command that adds the upstream to the drained list of the newest document, or removes it if drained is false.
func runDrain(drained bool) func(ctx context.Context, c *invocation) error {
	return func(ctx context.Context, c *invocation) error {
		if len(c.positional) != 1 {
			return &UsageError{Reason: "one UPSTREAM is needed"}
		}
		if err := checkUpstreamExists(ctx, c, drained); err != nil {
			return err
		}
		rev, err := c.client().Config(ctx)
		if err != nil {
			return fmt.Errorf("read newest revision: %w", err)
		}
		text, err := rev.Document.WithDrained(c.positional[0], drained).Encode()
		if err != nil {
			return fmt.Errorf("change document: %w", err)
		}
		return applyDocument(ctx, c, rev.Number, text)
	}
}

// checkUpstreamExists returns a UsageError if an unknown upstream is to be drained. A removed upstream can still be undrained, which removes its name from the document.
func checkUpstreamExists(ctx context.Context, c *invocation, drained bool) error {
	ups, err := c.client().Upstreams(ctx)
	if err != nil {
		return fmt.Errorf("read upstreams: %w", err)
	}
	known := slices.ContainsFunc(ups.Upstreams, func(u admin.Upstream) bool { return u.Name == c.positional[0] })
	if drained && !known {
		return &UsageError{Reason: fmt.Sprintf("there is no upstream %q; see cornelwing upstreams", c.positional[0])}
	}
	return nil
}

func runCompletion(_ context.Context, c *invocation) error {
	names := []string{"help", "version"}
	for _, cmd := range Commands() {
		names = append(names, cmd.Name)
	}
	fmt.Fprintf(c.out, "complete -o default -W %q cornelwing\n", strings.Join(names, " "))
	return nil
}

// applyDocument sends the document to the daemon. With -dry-run the daemon only checks it; otherwise applyDocument also waits up to the duration of -wait until the new revision is in force.
func applyDocument(ctx context.Context, c *invocation, base int64, text []byte) error {
	result, err := c.client().Apply(ctx, admin.Change{
		ChangeID: newChangeID(),
		Base:     base,
		Document: string(text),
		DryRun:   c.opts.dryRun,
	})
	if err != nil {
		return fmt.Errorf("apply document: %w", err)
	}
	if result.DryRun {
		fmt.Fprintf(c.out, "The document is good. Nothing was changed.\n")
		return nil
	}
	fmt.Fprintf(c.out, "Revision %d is accepted.\n", result.Revision.Number)
	return waitUntilInForce(ctx, c, result.Revision.Number)
}

// newestRevisionNumber returns the number of the newest revision, or 0 if the daemon refuses the request, as it does while there is no revision.
func newestRevisionNumber(ctx context.Context, c *invocation) (int64, error) {
	rev, err := c.client().Config(ctx)
	if err == nil {
		return rev.Number, nil
	}
	if exitCode(err) == 3 {
		return 0, nil
	}
	return 0, fmt.Errorf("read newest revision: %w", err)
}

// readDocument reads the document named by the only argument; "-" stands for standard input.
func readDocument(c *invocation) ([]byte, error) {
	if len(c.positional) != 1 {
		return nil, &UsageError{Reason: "one FILE is needed"}
	}
	if c.positional[0] == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(c.positional[0])
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return data, nil
}

func runCerts(_ context.Context, c *invocation) error {
	if len(c.positional) == 0 {
		return &UsageError{Reason: "at least one HOST is needed"}
	}
	if err := certs.Write(c.opts.dir, c.positional); err != nil {
		return fmt.Errorf("make certificates: %w", err)
	}
	fmt.Fprintf(c.out, "Certificates of %d hosts are in %s.\n", len(c.positional), c.opts.dir)
	return nil
}

func runToken(_ context.Context, c *invocation) error {
	if len(c.positional) != 1 {
		return &UsageError{Reason: "one TOKEN is needed"}
	}
	fmt.Fprintln(c.out, config.HashToken(c.positional[0]))
	return nil
}

func newChangeID() string {
	var b [16]byte
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
