package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
)

const (
	// serverEnv is the environment variable that makes the test binary run a server instead of the tests.
	serverEnv = "CORNELWING_TEST_SERVER"
	// testTimeout bounds each wait of a test.
	testTimeout = 20 * time.Second
	// drainTimeout is the time that a stopping server of a test waits for requests in flight.
	drainTimeout = 10 * time.Second
	// shortDrain is a drain timeout that expires while a response is written.
	shortDrain = 200 * time.Millisecond
)

// TestMain runs a server if serverEnv is set, else the tests.
func TestMain(m *testing.M) {
	drain := os.Getenv(serverEnv)
	if drain == "" {
		os.Exit(m.Run())
	}
	if err := runServer(drain); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runServer runs a server with the drain timeout until SIGTERM, and prints its address.
func runServer(drain string) error {
	timeout, err := time.ParseDuration(drain)
	if err != nil {
		return fmt.Errorf("parse drain timeout: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(common.Deps{
		Log: logrus.NewEntry(log),
	}, "127.0.0.1:0", testHandler(), Limits{
		HeaderTimeout: testTimeout,
		IdleTimeout:   testTimeout,
		DrainTimeout:  timeout,
	}, WithBounds(guard.NewConns(100), nil))
	return g.Run(ctx, func() { fmt.Println(g.Addr()) })
}

// process is a server that runs in a process of its own.
type process struct {
	addr string
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts the test binary as a server.
func startProcess(t *testing.T, drain time.Duration) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	// The race detector would otherwise sleep for a second before each exit.
	cmd.Env = append(os.Environ(), serverEnv+"="+drain.String(), "GORACE=atexit_sleep_ms=0")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{
		cmd:  cmd,
		done: make(chan struct{}),
	}
	t.Cleanup(p.kill)
	addr, err := bufio.NewReader(out).ReadString('\n')
	go func() {
		defer close(p.done)
		// The exit status is of no interest: most of these processes are killed.
		_ = cmd.Wait()
	}()
	if err != nil {
		t.Fatal(err)
	}
	p.addr = strings.TrimSpace(addr)
	return p
}

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	// An error means that the process has ended already.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate sends SIGTERM to the process.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// waitForEnd waits until the process has ended.
func (p *process) waitForEnd(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for the end of the process")
	}
}

// request sends a request line and further header lines on a new connection.
func (p *process) request(t *testing.T, line string, headers ...string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	writeRequest(t, conn, line, headers...)
	return conn
}

// writeRequest writes a request line and further header lines to the connection.
func writeRequest(t *testing.T, conn net.Conn, line string, headers ...string) {
	t.Helper()
	lines := append([]string{line, "Host: h.example"}, headers...)
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}
