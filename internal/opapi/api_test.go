package opapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/admin"
)

// startEndingDaemon returns the base URL of a daemon that ends after it has sent the text as its response.
func startEndingDaemon(t *testing.T, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, text)
		}
		_ = ln.Close()
		_ = conn.Close()
	}()
	return "http://" + ln.Addr().String()
}

// Guards against the end of a daemon, at whatever byte, taken for an answer to an operator, such as a change that was made or a list without hosts (class of incident ORDER).
func TestAnswerIsReadOnlyIfItIsWhole(t *testing.T) {
	const answer = `{"number":7,"hosts":[{"name":"a"},{"name":"b"}],"upstreams":[],"revisions":[]}`
	framings := []struct {
		name string
		head string
		tail string
	}{
		{name: "without framing", head: "Connection: close\r\n\r\n"},
		{name: "with a length", head: fmt.Sprintf("Content-Length: %d\r\n\r\n", len(answer))},
		{name: "in a chunk", head: fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(answer)), tail: "\r\n0\r\n\r\n"},
	}
	calls := []struct {
		name string
		do   func(t *testing.T, a *API) error
	}{
		{name: "the status", do: func(t *testing.T, a *API) error { _, err := a.Status(t.Context()); return err }},
		{name: "the history", do: func(t *testing.T, a *API) error { _, err := a.History(t.Context()); return err }},
		{name: "the upstreams", do: func(t *testing.T, a *API) error { _, err := a.Upstreams(t.Context()); return err }},
		{name: "the result of a change", do: func(t *testing.T, a *API) error { _, err := a.Apply(t.Context(), admin.Change{}); return err }},
	}
	for _, framing := range framings {
		for _, call := range calls {
			Convey(fmt.Sprintf("A call for %s, answered %s, fails if the daemon ends early", call.name, framing.name), t, func() {
				whole := "HTTP/1.1 200 OK\r\n" + framing.head + answer + framing.tail
				for sent := range len(whole) + 1 {
					err := call.do(t, New(startEndingDaemon(t, whole[:sent]), "token"))
					So(err == nil, ShouldEqual, sent == len(whole))
				}
			})
		}
	}
}
