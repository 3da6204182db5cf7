package client

import (
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// newRawHost returns the URL of a host that sends the text as its response to each request.
func newRawHost(t *testing.T, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// The request fits into one segment, and what it says does not matter.
				_, _ = c.Read(make([]byte, 64<<10))
				_, _ = io.WriteString(c, text)
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// Guards against bytes of a host in trouble that are no response and count as an outcome (class of MIXED of issue 54).
func TestBytesThatAreNoResponseAreNoOutcome(t *testing.T) {
	problem := `{"type":"x","title":"refused","status":503,"ran":"no"}`
	responses := []struct {
		name string
		head string
	}{
		{name: "the status 000", head: "HTTP/1.1 000 X\r\n"},
		{name: "the status 700", head: "HTTP/1.1 700 X\r\n"},
		{name: "a blank in a name", head: "HTTP/1.1 503 X\r\nX A: b\r\n"},
	}
	for _, r := range responses {
		Convey("Given a host whose responses have "+r.name+", no outcome is known", t, func() {
			c := New([]string{newRawHost(t, r.head+"Connection: close\r\n\r\n"+problem)}, "token")
			_, err := c.Outcome(t.Context(), "key")
			So(errors.Is(err, ErrIncompleteResponse), ShouldBeTrue)
		})
	}
}
