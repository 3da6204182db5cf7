package reach

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/stage"
)

const (
	endResult  = `{"attempt_id":"a","output":"xy","tokens":2,"busy_ms":1}`
	endTokens  = "event: token\ndata: {\"attempt_id\":\"a\",\"index\":0,\"text\":\"x\"}\n\nevent: token\ndata: {\"attempt_id\":\"a\",\"index\":1,\"text\":\"y\"}\n\n"
	endStream  = endTokens + "event: done\ndata: " + endResult + "\n\n"
	endRefusal = `{"attempt_id":"a","ran":false,"leaving":true,"reason":"leaving"}`
	endLoad    = `{"busy":1,"queued":0,"slots":4,"leaving":true,"age_ms":1}`
)

// endFraming is a way in which a response marks the end of its body.
type endFraming struct {
	name string
	// response returns the bytes of a response.
	response func(status int, body string) string
}

var endFramings = []endFraming{
	{name: "without framing", response: func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nConnection: close\r\n\r\n%s", status, body)
	}},
	{name: "with a length", response: func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}},
	{name: "in chunks", response: func(status int, body string) string {
		chunks := ""
		for _, part := range []string{body[:len(body)/2], body[len(body)/2:]} {
			if part != "" {
				chunks += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			}
		}
		return fmt.Sprintf("HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", status, chunks)
	}},
}

// endingUpstream is an upstream whose process ends after a number of bytes of each response, so that its connections end in order.
type endingUpstream struct {
	addr string
	// text is what it would send, of which it sends only so many bytes.
	text string
	sent int
}

func newEndingUpstream(t *testing.T) *endingUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = ln.Close() })
	u := &endingUpstream{
		addr: ln.Addr().String(),
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, u.text[:u.sent])
			}
			_ = conn.Close()
		}
	}()
	return u
}

// do sends an attempt, and returns its result and the tokens.
func (u *endingUpstream) do(t *testing.T, stream, newConn bool) (Result, string) {
	tokens := ""
	got := New().Do(t.Context(), Attempt{
		Addr:    u.addr,
		Call:    stage.Call{AttemptID: "a"},
		Stream:  stream,
		NewConn: newConn,
		Silence: time.Second,
		OnToken: func(tok stage.Token) error { tokens += tok.Text; return nil },
	})
	return got, tokens
}

// Guards against the end of an upstream's process, at whatever byte, taken for a result, for a refusal or for the end of a stream (class of incident ORDER).
func TestAttemptIsDoneOrRefusedOnlyByWholeMessageWhereverUpstreamEnds(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		stream bool
	}{
		{name: "plain result", status: 200, body: endResult},
		{name: "stream", status: 200, body: endStream, stream: true},
		{name: "refusal", status: 503, body: endRefusal},
		{name: "refusal of a stream", status: 503, body: endRefusal, stream: true},
		{name: "empty result", status: 200},
		{name: "empty stream", status: 200, stream: true},
		{name: "stream without a done event", status: 200, body: endTokens, stream: true},
		{name: "empty refusal", status: 503},
	}
	for _, framing := range endFramings {
		for _, tc := range cases {
			for _, newConn := range []bool{true, false} {
				Convey(fmt.Sprintf("A %s %s, new connection %v, counts only with its message", tc.name, framing.name, newConn), t, func() {
					u := newEndingUpstream(t)
					u.text = framing.response(tc.status, tc.body)
					whole := 0
					for u.sent = 0; u.sent <= len(u.text); u.sent++ {
						got, tokens := u.do(t, tc.stream, newConn)
						So(strings.HasPrefix("xy", tokens), ShouldBeTrue)
						switch got := got.(type) {
						case Done:
							whole++
							So(got.Result.Output, ShouldEqual, "xy")
							So(tc.body, ShouldBeIn, endResult, endStream)
						case Refused:
							whole++
							So(tc.body, ShouldEqual, endRefusal)
							So(got.Refusal.Leaving, ShouldBeTrue)
						case Unsent:
							So("the request was read, and counts as not sent", ShouldBeEmpty)
						}
					}
					if tc.body == "" || tc.body == endTokens {
						So(whole, ShouldEqual, 0)
					} else {
						So(whole, ShouldBeGreaterThan, 0)
					}
				})
			}
		}
	}
}

// Guards against the end of an upstream's process taken for a report of its load, such as one that revokes its leaving.
func TestLoadIsReadOnlyFromWholeReport(t *testing.T) {
	for _, framing := range endFramings {
		for _, body := range []string{endLoad, ""} {
			Convey(fmt.Sprintf("A report of %d bytes %s counts only as a whole", len(body), framing.name), t, func() {
				u := newEndingUpstream(t)
				u.text = framing.response(200, body)
				for u.sent = 0; u.sent <= len(u.text); u.sent++ {
					load, err := New().Probe(t.Context(), u.addr)
					if err == nil {
						So(load, ShouldResemble, stage.Load{Busy: 1, Slots: 4, Leaving: true, AgeMS: 1})
					}
					if u.sent == len(u.text) {
						So(err == nil, ShouldEqual, body != "")
					}
				}
			})
		}
	}
}

// Guards against a document that says nothing of the load, taken for a report of an upstream that is idle and no longer leaving.
func TestLoadIsReadOnlyFromDocumentThatStatesIt(t *testing.T) {
	cases := []struct {
		body string
		ok   bool
	}{
		{body: endLoad, ok: true},
		{body: `{"busy":0,"queued":0,"slots":0,"age_ms":0}`, ok: true},
		{body: `{}`},
		{body: `null`},
		{body: `{"error":"starting"}`},
		{body: `{"busy":1,"leaving":true}`},
		{body: `{"slots":null}`},
	}
	for _, tc := range cases {
		Convey("A document is a load report only if it states the slots: "+tc.body, t, func() {
			u := newEndingUpstream(t)
			u.text = endFramings[1].response(http.StatusOK, tc.body)
			u.sent = len(u.text)
			_, err := New().Probe(t.Context(), u.addr)
			So(err == nil, ShouldEqual, tc.ok)
		})
	}
}

// Guards against a response that says nothing of whether the attempt ran, taken for one that says that it did not.
func TestErrorWithoutStatementThatNothingRanIsBroken(t *testing.T) {
	bodies := []string{
		`{"attempt_id":"a"}`,
		`{"attempt_id":"a","error":"out of memory"}`,
		`{"attempt_id":"a","ran":null,"reason":"r"}`,
		`{"attempt_id":"a","ran":true,"reason":"r"}`,
		`{}`,
		`null`,
	}
	for _, body := range bodies {
		Convey("An attempt that is answered with status 500 and "+body+" may have run", t, func() {
			u := newEndingUpstream(t)
			u.text = endFramings[1].response(500, body)
			u.sent = len(u.text)
			got, _ := u.do(t, false, true)
			_, broken := got.(Broken)
			So(broken, ShouldBeTrue)
		})
	}
}
