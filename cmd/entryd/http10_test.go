package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/rows"
	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

const (
	apiKey      = "key-1"
	events      = 6
	testTimeout = 15 * time.Second
)

// daemon is an entryd in a process of its own, with a store and a server of streams in the test process.
type daemon struct {
	callers string
	ready   string
	cmd     *exec.Cmd
	done    chan error
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// startDaemon builds and starts entryd, and waits until it is ready.
func startDaemon(t *testing.T) *daemon {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "entryd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	settings, d := writeSettings(t, startStore(t))
	d.cmd = exec.Command(binary, "-settings", settings)
	must(t, d.cmd.Start())
	go func() { d.done <- d.cmd.Wait() }()
	t.Cleanup(func() {
		// An error means that the process has ended already.
		_ = d.cmd.Process.Kill()
	})
	d.waitUntilReady(t)
	return d
}

// startStore starts a store with a route to a server of streams, and returns the address of the store.
func startStore(t *testing.T) string {
	t.Helper()
	store := rows.New()
	l, err := store.Listen()
	must(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &serv.Server{
		ID:         "eng-1",
		Service:    "eng",
		Events:     events,
		EventDelay: 100 * time.Millisecond,
	}
	must(t, s.Start())
	t.Cleanup(func() { _ = s.Close() })
	store.Put("servers", s.ID, s.RegistrationJSON("ready"))
	doc, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "draft", "host": "h.example", "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 5000, "slo_ms": 300, "priority": 0, "service": "eng", "max_attempts": 1}},
		"services": []map[string]any{{"name": "eng", "max_connections": 100, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 1000}}},
		"limits":   map[string]any{"max_body_bytes": 1000, "max_header_bytes": 16000},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{apiKey}, "priority": 1}},
	})
	must(t, err)
	store.Put("op", "config", doc)
	return l.Addr()
}

// writeSettings writes the settings of a daemon, and returns their path and the daemon.
func writeSettings(t *testing.T, store string) (string, *daemon) {
	t.Helper()
	var addrs [4]string
	for i := range addrs {
		addr, err := stand.FreeAddr()
		must(t, err)
		addrs[i] = addr
	}
	settings := fmt.Sprintf(`host: {name: host-0, domain: z}
listen: {callers: %q, ready: %q, peers: %q, metrics: %q}
store: {address: %q}
upstreams: {forget: 2s}
stop: {grace: 3s}
keys: {revoke: 2s}
`, addrs[0], addrs[1], addrs[2], addrs[3], store)
	path := filepath.Join(t.TempDir(), "entryd.yaml")
	must(t, os.WriteFile(path, []byte(settings), 0o600))
	return path, &daemon{
		callers: addrs[0],
		ready:   addrs[1],
		done:    make(chan error, 1),
	}
}

func (d *daemon) waitUntilReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + d.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the daemon is not ready")
}

// streamToHTTP10 asks the daemon for a stream as an HTTP/1.0 client, and returns its response.
func (d *daemon) streamToHTTP10(t *testing.T) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", d.callers)
	must(t, err)
	t.Cleanup(func() { conn.Close() })
	must(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, "GET /draft/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: r1\r\nApi-Key: "+apiKey+"\r\nDeadline-Ms: 4500\r\n\r\n")
	must(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must(t, err)
	if resp.StatusCode != http.StatusOK || resp.ContentLength != -1 {
		t.Fatalf("status %d, length %d, want 200 and none", resp.StatusCode, resp.ContentLength)
	}
	return resp
}

// TestHTTP10StreamOfKilledDaemonEndsWithReset guards against a part of a stream that an HTTP/1.0 client takes for the whole.
func TestHTTP10StreamOfKilledDaemonEndsWithReset(t *testing.T) {
	d := startDaemon(t)
	resp := d.streamToHTTP10(t)
	must(t, d.cmd.Process.Signal(syscall.SIGKILL))
	if rest, err := io.ReadAll(resp.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("stream ended with %v after %q, want a reset", err, rest)
	}
}

// TestHTTP10StreamOfStoppedDaemonIsWhole guards against a reset that discards the end of a whole stream.
func TestHTTP10StreamOfStoppedDaemonIsWhole(t *testing.T) {
	d := startDaemon(t)
	resp := d.streamToHTTP10(t)
	must(t, d.cmd.Process.Signal(syscall.SIGTERM))
	if err := <-d.done; err != nil {
		t.Errorf("daemon exited with %v", err)
	}
	// The client reads the stream only after the daemon has exited.
	body, err := io.ReadAll(resp.Body)
	must(t, err)
	if n := strings.Count(string(body), "\n\n"); n != events {
		t.Errorf("stream has %d events, want %d: %q", n, events, body)
	}
}
