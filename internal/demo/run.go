package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
)

// Options are the settings of a demo run.
type Options struct {
	// JSON prints the result as one JSON object, without progress.
	JSON bool
	// Hold sends no requests and serves until interrupted.
	Hold bool
	// Verbose logs the messages of the daemons at level info.
	Verbose bool
	// Rate is the number of requests per second.
	Rate int
	// Length is the time for which requests are sent.
	Length time.Duration
	// Seed determines the workload and the faults.
	Seed uint64
}

// DefaultOptions returns the options of a demo that ends on its own within a minute.
func DefaultOptions() Options {
	return Options{
		Rate:   60,
		Length: 15 * time.Second,
		Seed:   1,
	}
}

// Run runs the demo and writes progress and result to out. It returns ErrPromiseBroken if a promise was broken.
func Run(ctx context.Context, out io.Writer, o Options) error {
	level := logrus.ErrorLevel
	if o.Verbose {
		level = logrus.InfoLevel
	}
	fleet, err := NewFleet(StandSettings(o.Seed), os.Stderr, level)
	if err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	defer fleet.Close()
	p := progress{
		out:   out,
		quiet: o.JSON,
		began: time.Now(),
	}
	if err := startFleet(ctx, fleet, p); err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	if o.Hold {
		return serveUntilInterrupted(ctx, fleet, out)
	}
	recorder := NewRecorder()
	load := Load{
		BaseURLs: fleet.Callers,
		Rate:     o.Rate,
		Length:   o.Length,
		Seed:     o.Seed,
		Recorder: recorder,
	}
	var g errgroup.Group
	g.Go(func() error { return injectFaults(ctx, fleet, p, o.Length) })
	load.Run(ctx)
	if err := g.Wait(); err != nil {
		return fmt.Errorf("inject faults: %w", err)
	}
	return reportResult(out, o, recorder.Close(fleet.Environment.RunLog))
}

func reportResult(out io.Writer, o Options, r Result) error {
	if o.JSON {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return fmt.Errorf("print result: %w", err)
		}
		return r.Check()
	}
	fmt.Fprintln(out)
	if err := r.Print(out); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return r.Check()
}

type progress struct {
	out   io.Writer
	quiet bool
	began time.Time
}

func (p progress) logf(format string, args ...any) {
	if p.quiet {
		return
	}
	fmt.Fprintf(p.out, "%5.1fs  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// startFleet starts a daemon in each failure domain, applies the configuration and waits until all daemons are ready.
func startFleet(ctx context.Context, f *Fleet, p progress) error {
	p.logf("%d stand-ins are up: the platform, and upstreams in %d failure domains.", len(f.Environment.Upstreams)+1, len(Domains()))
	for _, d := range Domains() {
		daemon, err := f.Start("entry-"+d, d)
		if err != nil {
			return fmt.Errorf("start daemon: %w", err)
		}
		p.logf("Daemon %s listens to callers on %s.", daemon.Name, daemon.Callers())
	}
	if err := f.Apply(ctx, 0, Document()); err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	if err := f.WaitReady(ctx); err != nil {
		return fmt.Errorf("wait for daemons: %w", err)
	}
	p.logf("Revision 1 is in force on every host.")
	return nil
}

// injectFaults applies and clears faults one after another, spread evenly over the duration of the workload. It returns early if ctx ends.
func injectFaults(ctx context.Context, f *Fleet, p progress, duration time.Duration) error {
	step := duration / 6
	engine := f.Environment.Upstreams[4].Name
	steps := []func() error{
		func() error {
			p.logf("Engine %s freezes.", engine)
			return f.Environment.Endpoint(engine).Apply(fault.Faults{Frozen: true})
		},
		func() error {
			p.logf("Engine %s is back. The platform loses answers after its writes.", engine)
			if err := f.Environment.Endpoint(engine).Apply(fault.Faults{}); err != nil {
				return err
			}
			return f.Environment.Endpoint(stand.PlatformName).Apply(fault.Faults{Chaos: 0.3})
		},
		func() error {
			p.logf("The platform is down: bookings are refused, all else goes on.")
			return f.Environment.Endpoint(stand.PlatformName).Apply(fault.Faults{Down: true})
		},
		func() error {
			p.logf("The platform is back.")
			return f.Environment.Endpoint(stand.PlatformName).Apply(fault.Faults{})
		},
		func() error { return replaceDaemon(f, p) },
	}
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(step):
		}
		if err := s(); err != nil {
			return fmt.Errorf("apply fault: %w", err)
		}
	}
	return nil
}

// replaceDaemon stops the first daemon gracefully and starts a new one in the same failure domain.
func replaceDaemon(f *Fleet, p progress) error {
	old := f.Daemons()[0]
	p.logf("Daemon %s stops, and another takes its place.", old.Name)
	if err := f.Stop(old); err != nil {
		return fmt.Errorf("replace daemon: %w", err)
	}
	if _, err := f.Start(old.Name+"-b", old.Domain); err != nil {
		return fmt.Errorf("replace daemon: %w", err)
	}
	return nil
}

// serveUntilInterrupted prints the addresses of the daemons and example commands, and returns when ctx ends.
func serveUntilInterrupted(ctx context.Context, f *Fleet, out io.Writer) error {
	fmt.Fprintln(out, "\nServing until interrupted.")
	for _, d := range f.Daemons() {
		fmt.Fprintf(out, "  %s  callers http://%s  operators http://%s\n", d.Name, d.Callers(), d.OperatorsAddr())
	}
	account := Accounts()[0]
	fmt.Fprintf(out, "\nSend a request:\n\n  curl -s http://%s/v1/pipelines/%s/requests -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"input\":\"hello\"}'\n",
		f.Daemons()[0].Callers(), pipeAssistant, TokenOf(account))
	fmt.Fprintf(out, "\nAsk for the state:\n\n  go run ./cmd/cornelwing status -addr http://%s -token %s\n", f.Daemons()[0].OperatorsAddr(), OperatorToken)
	<-ctx.Done()
	return nil
}
