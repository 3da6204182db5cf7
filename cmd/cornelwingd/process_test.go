package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/certs"
	"github.com/cornelwing/cornelwing/internal/demo"
	"github.com/cornelwing/cornelwing/internal/opapi"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
	"github.com/cornelwing/cornelwing/internal/stand/runner"
	"github.com/cornelwing/cornelwing/pkg/client"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cornelwingd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cornelwingd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a daemon that runs in its own process.
type process struct {
	cmd   *exec.Cmd
	log   *bytes.Buffer
	addrs [3]string
	done  chan error
}

func (p *process) callers() string {
	return "http://" + p.addrs[0]
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// cluster is a set of daemons in separate processes, with their stand-ins in the test process.
type cluster struct {
	env   *stand.Environment
	procs []*process
}

func startCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{
		env: stand.NewEnvironment(demo.StandSettings(1)),
	}
	if err := c.env.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.env.Close)
	dir := t.TempDir()
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	if err := certs.Write(dir, names); err != nil {
		t.Fatal(err)
	}
	for i, name := range names {
		c.startDaemon(t, dir, name, demo.Domains()[i%len(demo.Domains())])
	}
	c.applyDocument(t)
	return c
}

func (c *cluster) startDaemon(t *testing.T, dir, name, domain string) {
	t.Helper()
	p := &process{
		addrs: freeAddrs(t),
		log:   &bytes.Buffer{},
		done:  make(chan error, 1),
	}
	settings := fmt.Sprintf(`host: {name: %s, domain: %s}
listen: {callers: "%s", operators: "%s", peers: "%s"}
platform: {url: "http://%s", timeout: 500ms}
peers: {ca: %[7]s/ca.pem, cert: %[7]s/%[1]s.pem, key: %[7]s/%[1]s.key, every: 200ms}
limits: {drain_wait: 300ms}
operators: [{name: test, role: approver, key_sha256: %[8]s}]
log: {level: debug}
`, name, domain, p.addrs[0], p.addrs[1], p.addrs[2], c.env.Endpoint(stand.PlatformName).Addr(), dir, config.HashToken(demo.OperatorToken))
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(binary, "-settings", path)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() {
		// The error is ignored: the process may have ended already. SIGKILL also ends a process that SIGSTOP has suspended.
		_ = p.cmd.Process.Kill()
	})
	c.env.AddHost(plat.Host{
		Name:   name,
		Addr:   p.addrs[2],
		Domain: domain,
		Role:   plat.RoleEntry,
	})
	c.procs = append(c.procs, p)
}

func (c *cluster) applyDocument(t *testing.T) {
	t.Helper()
	doc, err := demo.Document().Encode()
	if err != nil {
		t.Fatal(err)
	}
	api := opapi.New("http://"+c.procs[0].addrs[1], demo.OperatorToken)
	waitFor(t, "the document is accepted", func() bool {
		_, err := api.Apply(context.Background(), admin.Change{
			ChangeID: "first",
			Document: string(doc),
		})
		return err == nil
	})
	for _, p := range c.procs {
		waitFor(t, "the daemon is ready", func() bool {
			_, err := p.send("ready-"+p.callers(), "availability", time.Second)
			return err == nil
		})
	}
}

func (p *process) client() *client.Client {
	return client.New([]string{p.callers()}, demo.TokenOf(demo.Accounts()[0]))
}

func (p *process) send(input, pipeline string, timeout time.Duration) (wire.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+2*time.Second)
	defer cancel()
	return p.client().Send(ctx, client.Call{
		Pipeline: pipeline,
		Request:  wire.Request{Input: input},
		Key:      strings.ReplaceAll(input, "/", "_"),
		Timeout:  timeout,
	}, 0)
}

func freeAddrs(t *testing.T) [3]string {
	t.Helper()
	var addrs [3]string
	for i := range addrs {
		addr, err := stand.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		addrs[i] = addr
	}
	return addrs
}

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", condition)
}

func (c *cluster) setFaults(t *testing.T, name string, f fault.Faults) {
	t.Helper()
	for _, h := range c.env.Hosts() {
		if h.Pool == name {
			c.setFaults(t, h.Name, f)
		}
	}
	if e := c.env.Endpoint(name); e != nil {
		if err := e.Apply(f); err != nil {
			t.Fatal(err)
		}
	}
}

// bookingRuns returns how often the booking stage ran for the input.
func (c *cluster) bookingRuns(input string) int {
	return c.env.RunLog.Count("book", runner.Output("retrieve", input))
}

func outcomeOf(err error) wire.Outcome {
	var p wire.Problem
	switch {
	case err == nil:
		return wire.Answered
	case errors.As(err, &p):
		return p.Outcome
	default:
		return "broken"
	}
}

func TestBookingRunsAtMostOnceWhenHostIsKilledOrFrozen(t *testing.T) {
	type step struct {
		after  time.Duration
		action func(t *testing.T, c *cluster)
	}
	slowPlatform := func(t *testing.T, c *cluster) { c.setFaults(t, stand.PlatformName, fault.Faults{SlowMS: 400}) }
	freezeRetrieval := func(t *testing.T, c *cluster) { c.setFaults(t, "retrievers", fault.Faults{Frozen: true}) }
	slowBooking := func(t *testing.T, c *cluster) { c.setFaults(t, "bookings", fault.Faults{SlowMS: 400}) }
	slowRetrieval := func(t *testing.T, c *cluster) { c.setFaults(t, "retrievers", fault.Faults{SlowMS: 200}) }
	freezePlatform := func(t *testing.T, c *cluster) { c.setFaults(t, stand.PlatformName, fault.Faults{Frozen: true}) }
	kill := func(t *testing.T, c *cluster) { c.procs[0].signal(t, syscall.SIGKILL) }
	freeze := func(t *testing.T, c *cluster) { c.procs[0].signal(t, syscall.SIGSTOP) }
	scenarios := []struct {
		name   string
		setUp  func(t *testing.T, c *cluster)
		steps  []step
		resume bool
	}{
		{name: "killed before the claim is written", setUp: slowPlatform, steps: []step{{150 * time.Millisecond, kill}}},
		{name: "killed after the claim is written, before the send", setUp: freezeRetrieval, steps: []step{{100 * time.Millisecond, kill}}},
		{name: "killed between the stages", setUp: slowRetrieval, steps: []step{{100 * time.Millisecond, kill}}},
		{name: "killed after the send", setUp: slowBooking, steps: []step{{200 * time.Millisecond, kill}}},
		{
			name:  "killed after the result arrived, before it is stored",
			setUp: slowBooking,
			steps: []step{{200 * time.Millisecond, freezePlatform}, {600 * time.Millisecond, kill}},
		},
		{name: "frozen before the claim write is answered", setUp: slowPlatform, steps: []step{{150 * time.Millisecond, freeze}}, resume: true},
		{name: "frozen between claim and send", setUp: slowRetrieval, steps: []step{{100 * time.Millisecond, freeze}}, resume: true},
		{name: "frozen after the send", setUp: slowBooking, steps: []step{{200 * time.Millisecond, freeze}}, resume: true},
	}
	for i, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2)
			input := fmt.Sprintf("booking-%d", i)
			sc.setUp(t, c)
			firstDone := make(chan error, 1)
			go func() {
				_, err := c.procs[0].send(input, "booking", 2*time.Second)
				firstDone <- err
			}()
			began := time.Now()
			for _, m := range sc.steps {
				time.Sleep(m.after - time.Since(began))
				m.action(t, c)
			}
			for _, name := range []string{stand.PlatformName, "bookings", "retrievers"} {
				c.setFaults(t, name, fault.Faults{})
			}
			_, secondErr := c.procs[1].send(input, "booking", 2*time.Second)
			if sc.resume {
				time.Sleep(2500 * time.Millisecond)
				c.procs[0].signal(t, syscall.SIGCONT)
			}
			firstErr := <-firstDone
			time.Sleep(time.Second)
			_, thirdErr := c.procs[1].send(input, "booking", 2*time.Second)
			// Wait until the deadline and the allowance for clock skew have passed.
			time.Sleep(4 * time.Second)
			_, lastErr := c.procs[1].send(input, "booking", 2*time.Second)
			n := c.bookingRuns(input)
			t.Logf("outcomes: first send %s, second %s, third %s, last %s; booking ran %d times", outcomeOf(firstErr), outcomeOf(secondErr), outcomeOf(thirdErr), outcomeOf(lastErr), n)
			if n == 0 && outcomeOf(lastErr) == wire.Unknown {
				t.Errorf("the outcome of a booking that never ran is still unknown")
			}
			if n > 1 {
				t.Errorf("booking ran %d times, want at most 1", n)
			}
			answered := outcomeOf(firstErr) == wire.Answered || outcomeOf(secondErr) == wire.Answered || outcomeOf(thirdErr) == wire.Answered
			if answered && n != 1 {
				t.Errorf("booking was answered but ran %d times", n)
			}
			if (outcomeOf(thirdErr) == wire.NotRun || outcomeOf(lastErr) == wire.NotRun || outcomeOf(lastErr) == wire.Failed) && n != 0 {
				t.Errorf("a booking that ran was reported as not run or failed")
			}
		})
	}
}

func TestGracefulStopCompletesAllStreams(t *testing.T) {
	c := startCluster(t, 1)
	c.setFaults(t, "encoders", fault.Faults{SlowMS: 100})
	results := make(chan error, 20)
	for i := range cap(results) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			_, err := c.procs[0].client().Send(ctx, client.Call{
				Pipeline: "assistant",
				Request:  wire.Request{Input: fmt.Sprintf("stream-%d", i)},
				OnToken:  func(wire.Token) {},
			}, 0)
			results <- err
		}()
	}
	time.Sleep(150 * time.Millisecond)
	c.procs[0].signal(t, syscall.SIGTERM)
	for range cap(results) {
		if err := <-results; err != nil {
			t.Errorf("stream failed: %v", err)
		}
	}
	if err := <-c.procs[0].done; err != nil {
		t.Errorf("daemon exited with %v:\n%s", err, c.procs[0].log)
	}
}

// TestDaemonGoesOnAfterHangup guards against a daemon that SIGHUP ends.
func TestDaemonGoesOnAfterHangup(t *testing.T) {
	c := startCluster(t, 1)
	c.procs[0].signal(t, syscall.SIGHUP)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	_, err := c.procs[0].client().Send(ctx, client.Call{
		Pipeline: "assistant",
		Request:  wire.Request{Input: "after SIGHUP"},
	}, 0)
	if err != nil {
		t.Errorf("request after SIGHUP failed: %v\n%s", err, c.procs[0].log)
	}
}

func TestInvalidSettingsAreRefusedWithReason(t *testing.T) {
	scenarios := []struct {
		name string
		text string
		want string
	}{
		{name: "unknown key", text: "host: {name: a, domain: d}\nplatform: {url: \"http://127.0.0.1:1\"}\ncolour: red\n", want: "line 3: field colour not found"},
		{name: "duplicate key", text: "host: {name: a, domain: d}\nhost: {name: b, domain: d}\n", want: "line 2: mapping key \"host\" already defined"},
		{name: "host name instead of an IP address", text: "host: {name: a, domain: d}\nplatform: {url: \"http://127.0.0.1:1\"}\nlisten:\n  callers: localhost:80\n", want: "line 4: listen.callers"},
		{name: "incomplete key pair", text: "host: {name: a, domain: d}\nplatform: {url: \"http://127.0.0.1:1\"}\npeers: {ca: x}\n", want: "line 3: peers: ca, cert and key go together"},
		{name: "empty file", text: "", want: "host.name: a name is needed"},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.yaml")
			if err := os.WriteFile(path, []byte(sc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			out, err := exec.Command(binary, "-check", "-settings", path).CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != 2 {
				t.Errorf("got error %v, want exit code 2", err)
			}
			if !strings.Contains(string(out), sc.want) || !strings.Contains(string(out), path) {
				t.Errorf("got output %q, want %q and the path", out, sc.want)
			}
		})
	}
}
