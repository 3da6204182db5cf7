package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/demo"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// streamToHTTP10 asks the process for a streamed answer as an HTTP/1.0 client, and returns its response.
func (p *process) streamToHTTP10(t *testing.T, input string) *http.Response {
	t.Helper()
	body, err := json.Marshal(wire.Request{
		Input:  input,
		Stream: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", p.addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	const head = "POST /v1/pipelines/assistant/requests HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	if _, err := fmt.Fprintf(conn, head, demo.TokenOf(demo.Accounts()[0]), len(body), body); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK || resp.ContentLength != -1 {
		t.Fatalf("status %d, length %d, want 200 and none", resp.StatusCode, resp.ContentLength)
	}
	return resp
}

// TestHTTP10StreamOfKilledDaemonEndsWithReset guards against a part of a stream that an HTTP/1.0 client takes for the whole.
func TestHTTP10StreamOfKilledDaemonEndsWithReset(t *testing.T) {
	c := startCluster(t, 1)
	resp := c.procs[0].streamToHTTP10(t, "killed")
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	c.procs[0].signal(t, syscall.SIGKILL)
	if rest, err := io.ReadAll(resp.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("stream ended with %v after %q, want a reset", err, rest)
	}
}

// TestHTTP10StreamOfStoppedDaemonIsWhole guards against a reset that discards the end of a whole stream.
func TestHTTP10StreamOfStoppedDaemonIsWhole(t *testing.T) {
	c := startCluster(t, 1)
	resp := c.procs[0].streamToHTTP10(t, "stopped")
	c.procs[0].signal(t, syscall.SIGTERM)
	if err := <-c.procs[0].done; err != nil {
		t.Errorf("daemon exited with %v:\n%s", err, c.procs[0].log)
	}
	// The client reads the stream only after the daemon has exited.
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(body, []byte("event: "+wire.EventDone)) {
		t.Errorf("stream has no last event: %q", body)
	}
}
