package crowd

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand"
)

const (
	// startTimeout bounds the time until a daemon is ready, and answerTimeout that of one ordinary request.
	startTimeout  = 60 * time.Second
	answerTimeout = 30 * time.Second
	// ordinaryTries is how many times an ordinary caller tries, which comes back after a refusal or a closed connection, with a pause of ordinaryPause.
	ordinaryTries = 20
	ordinaryPause = 200 * time.Millisecond
)

// binaries holds the path of each daemon, built once.
var binaries = map[string]string{}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	for _, name := range []string{"entryd", "cornelwingd"} {
		binaries[name] = filepath.Join(dir, name)
		out, err := exec.Command("go", "build", "-o", binaries[name], "github.com/cornelwing/cornelwing/cmd/"+name).CombinedOutput()
		if err != nil {
			panic(fmt.Sprintf("%v: %s", err, out))
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// machine is what a daemon's machine has.
type machine struct {
	memoryMB    int
	descriptors int
}

var (
	smallMachine = machine{memoryMB: 144, descriptors: 1024}
	largeMachine = machine{memoryMB: 536, descriptors: 1024}
	// fewDescriptors has fewer descriptors than a crowd has connections.
	fewDescriptors = machine{memoryMB: 144, descriptors: 256}
)

// daemon is a daemon in a process of its own.
type daemon struct {
	cmd     *exec.Cmd
	log     *bytes.Buffer
	ended   chan struct{}
	callers string
	ready   string
	// ordinary sends one request within the limits, with a body of size bytes, and reports whether it was answered.
	ordinary func(size int) bool
}

// startDaemon starts a daemon with the settings, which end with the test.
func startDaemon(t *testing.T, name, settings string) *daemon {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{
		cmd:   exec.Command(binaries[name], "-settings", path),
		log:   &bytes.Buffer{},
		ended: make(chan struct{}),
	}
	d.cmd.Stdout = d.log
	d.cmd.Stderr = d.log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(d.ended)
		// The exit status is in cmd.ProcessState.
		_ = d.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.ended
	})
	return d
}

// waitReady waits until an ordinary request is answered.
func (d *daemon) waitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.ordinary(ordinaryBytes) {
			return
		}
	}
	t.Fatalf("daemon is not ready: %s", d.log)
}

// answersOrdinary reports whether an ordinary caller, which may come back, gets an answer.
func (d *daemon) answersOrdinary(size int) bool {
	for range ordinaryTries {
		if d.ordinary(size) {
			return true
		}
		time.Sleep(ordinaryPause)
	}
	return false
}

// check fails the test unless the daemon lives and is within its machine.
func (d *daemon) check(t *testing.T, m machine) {
	t.Helper()
	select {
	case <-d.ended:
		t.Fatalf("daemon ended: %v: %s", d.cmd.ProcessState, tail(d.log.String()))
	default:
	}
	peak, err := PeakMemory(d.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if bound := int64(m.memoryMB) * 1e6; peak > bound {
		t.Errorf("%d MB of memory were held, of %d MB", peak/1e6, bound/1e6)
	}
	n, err := Descriptors(d.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if n > m.descriptors {
		t.Errorf("%d descriptors were open, of %d", n, m.descriptors)
	}
	t.Logf("peak %d MB, %d descriptors", peak/1e6, n)
}

// tail returns the last part of a log.
func tail(s string) string {
	const bytesShown = 2000
	return s[max(0, len(s)-bytesShown):]
}

// send sends the request and reports whether it was answered with success.
func send(req *http.Request, err error) bool {
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode >= 200 && resp.StatusCode < 300
}

func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		addr, err := stand.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, addr)
	}
	return out
}
