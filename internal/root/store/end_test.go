package store

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
)

// newEndingPlatform returns a client of a platform that ends after it has sent the text as its response.
func newEndingPlatform(t *testing.T, text string) *Client {
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
	return New(common.NewQuietDeps("host-1", "z"), "http://"+ln.Addr().String())
}

// platformFramings are the ways in which a response marks the end of its body.
var platformFramings = []struct {
	name string
	// framed reports that something else than the end of the connection marks the end.
	framed   bool
	response func(status int, body string) string
}{
	{name: "without framing", response: func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nConnection: close\r\n\r\n%s", status, body)
	}},
	{name: "with a length", framed: true, response: func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}},
	{name: "in a chunk", framed: true, response: func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", status, len(body), body)
	}},
}

// Guards against the end of the platform, at whatever byte, taken for a row, a list or the outcome of a transaction (class of incident ORDER).
func TestResponseOfPlatformCountsOnlyIfItIsWhole(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		call   func(ctx context.Context, c *Client) error
		// stated reports whether the error of the call is what the whole response states.
		stated func(err error) bool
	}{
		{name: "a row", status: 200, body: `{"table":"t","key":"k","version":1,"value":{}}`, call: func(ctx context.Context, c *Client) error {
			_, err := c.Get(ctx, "t", "k")
			return err
		}, stated: func(err error) bool { return err == nil }},
		{name: "a list of rows", status: 200, body: `{"rows":[{"table":"t","key":"k","version":1,"value":{}}]}`, call: func(ctx context.Context, c *Client) error {
			_, err := c.List(ctx, "t", "", "", 10)
			return err
		}, stated: func(err error) bool { return err == nil }},
		{name: "the host list", status: 200, body: `{"version":2,"hosts":[]}`, call: func(ctx context.Context, c *Client) error {
			_, err := c.Hosts(ctx, 1)
			return err
		}, stated: func(err error) bool { return err == nil }},
		{name: "a conflict", status: 409, body: `{"failed":[0,1]}`, call: func(ctx context.Context, c *Client) error {
			return c.Commit(ctx, plat.Txn{})
		}, stated: func(err error) bool {
			var conflict *ConflictError
			return errors.As(err, &conflict)
		}},
	}
	for _, framing := range platformFramings {
		for _, tc := range cases {
			Convey(fmt.Sprintf("A call for %s, answered %s, states nothing if the platform ends early", tc.name, framing.name), t, func() {
				whole := framing.response(tc.status, tc.body)
				for sent := range len(whole) + 1 {
					err := tc.call(t.Context(), newEndingPlatform(t, whole[:sent]))
					So(tc.stated(err), ShouldEqual, sent == len(whole))
					if sent < len(whole) {
						So(errors.Is(err, ErrUnknownOutcome), ShouldBeTrue)
					}
				}
			})
		}
	}
}

// Guards against a part of an object, which nothing in it marks as one, taken for the object. Without framing only the content can tell: see the test of reports.
func TestFramedObjectIsNeverAPartOfIt(t *testing.T) {
	const content = "an object of the platform"
	for _, framing := range platformFramings {
		if !framing.framed {
			continue
		}
		Convey("An object that is sent "+framing.name+" is not read if the platform ends early", t, func() {
			whole := framing.response(http.StatusOK, content)
			for sent := range len(whole) + 1 {
				data, err := newEndingPlatform(t, whole[:sent]).Object(t.Context(), "o")
				So(err == nil, ShouldEqual, sent == len(whole))
				So(err != nil || string(data) == content, ShouldBeTrue)
			}
		})
	}
}
