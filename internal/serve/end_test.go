package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
)

const (
	// envServe makes the test binary a server of unframed responses.
	envServe = "CORNELWING_TEST_SERVE"
	// firstPart is what the server sends before it waits, and lastPart what follows.
	firstPart = "data: a\n\n"
	lastPart  = "data: b\n\n"
	endWait   = 5 * time.Second
)

// newEndServer returns a server whose responses to /whole end, and to /hang wait for the process to end. Those to /panic break off.
func newEndServer() *Graceful {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, firstPart)
		_ = http.NewResponseController(w).Flush()
		switch r.URL.Path {
		case "/hang":
			time.Sleep(endWait)
		case "/panic":
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, lastPart)
	})
	return New(common.NewQuietDeps("host-1", "z"), "127.0.0.1:0", handler, Limits{
		HeaderTimeout: time.Second,
		DrainTimeout:  100 * time.Millisecond,
	}, WithBounds(guard.NewConns(100), nil))
}

// TestMain runs the tests, or the server in a process that they have started.
func TestMain(m *testing.M) {
	if os.Getenv(envServe) == "" {
		os.Exit(m.Run())
	}
	// Standard input ends when the server is to stop.
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	g := newEndServer()
	_ = g.Run(ctx, func() { fmt.Println(g.Addr()) })
}

// serverProcess is a server in a process of its own.
type serverProcess struct {
	addr  string
	stdin io.Closer
	cmd   *exec.Cmd
}

func startServerProcess(t *testing.T) *serverProcess {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envServe+"=1")
	stdin, err := cmd.StdinPipe()
	So(err, ShouldBeNil)
	stdout, err := cmd.StdoutPipe()
	So(err, ShouldBeNil)
	So(cmd.Start(), ShouldBeNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	addr, err := bufio.NewReader(stdout).ReadString('\n')
	So(err, ShouldBeNil)
	return &serverProcess{
		addr:  strings.TrimSpace(addr),
		stdin: stdin,
		cmd:   cmd,
	}
}

// get10 sends a request of HTTP/1.0, calls then once the first part of the response is there, and returns the body.
func get10(addr, path string, then func()) (string, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(endWait)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	first := make([]byte, len(firstPart))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return "", err
	}
	then()
	rest, err := io.ReadAll(resp.Body)
	return string(first) + string(rest), err
}

// Guards against a response to a caller of HTTP/1.0 that looks whole although this host's process ended within it, as nothing but the end of the connection marks its end (class of incident ORDER).
func TestResponseToHTTP10CallerDoesNotEndInOrderWithItsHost(t *testing.T) {
	ends := []struct {
		name string
		path string
		end  func(p *serverProcess)
	}{
		{name: "is killed", path: "/hang", end: func(p *serverProcess) { _ = p.cmd.Process.Kill() }},
		{name: "stops, and the time for requests in flight is over", path: "/hang", end: func(p *serverProcess) { _ = p.stdin.Close() }},
		{name: "aborts the request", path: "/panic", end: func(*serverProcess) {}},
	}
	for _, e := range ends {
		Convey("Given a host that "+e.name+" within a response", t, func() {
			p := startServerProcess(t)
			body, err := get10(p.addr, e.path, func() { e.end(p) })
			So(err, ShouldNotBeNil)
			So(body, ShouldBeIn, "", firstPart)
		})
	}
	Convey("A response that ends is whole, also if the host is killed after it", t, func() {
		p := startServerProcess(t)
		for range 20 {
			body, err := get10(p.addr, "/whole", func() {})
			So(err, ShouldBeNil)
			So(body, ShouldEqual, firstPart+lastPart)
		}
		body, err := get10(p.addr, "/whole", func() {
			time.Sleep(50 * time.Millisecond)
			_ = p.cmd.Process.Kill()
		})
		So(err, ShouldBeNil)
		So(body, ShouldEqual, firstPart+lastPart)
	})
}
