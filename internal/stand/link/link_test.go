package link

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// answerTime is how long a connection or a byte may take in these tests, and hangTime how long nothing must come.
const (
	answerTime = 2 * time.Second
	hangTime   = 150 * time.Millisecond
)

// echoServer returns the address of a server that sends back all that it gets.
func echoServer(t *testing.T) string {
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
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// echo sends a byte and waits for it. A reset that has arrived before the byte is sent is the same as one that arrives after it.
func echo(c net.Conn, wait time.Duration) error {
	_, err := c.Write([]byte{1})
	if errors.Is(err, syscall.EPIPE) {
		return syscall.ECONNRESET
	}
	if err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err = c.Read(make([]byte, 1))
	return err
}

// dialAndEcho opens a connection and calls echo. A reset may arrive before the call that opens the connection returns.
func dialAndEcho(addr string) error {
	c, err := net.DialTimeout("tcp", addr, answerTime)
	if err != nil {
		return err
	}
	defer c.Close()
	return echo(c, answerTime)
}

// isError reports whether err is what is wanted. A time-out has several forms.
func isError(err, want error) bool {
	var netErr net.Error
	if errors.Is(want, os.ErrDeadlineExceeded) {
		return errors.As(err, &netErr) && netErr.Timeout()
	}
	return errors.Is(err, want)
}

func TestLinkTreatsConnectionsByItsMode(t *testing.T) {
	modes := []struct {
		name string
		mode Mode
		// dialErr and echoErr are the errors of a new connection and of one that is open.
		dialErr error
		echoErr error
	}{
		{name: "refuses", mode: Refuse, dialErr: syscall.ECONNREFUSED, echoErr: syscall.ECONNRESET},
		{name: "refuses new connections", mode: RefuseNew, dialErr: syscall.ECONNREFUSED},
		{name: "hangs", mode: Hang, dialErr: os.ErrDeadlineExceeded, echoErr: os.ErrDeadlineExceeded},
	}
	for _, sc := range modes {
		Convey("A link that "+sc.name, t, func() {
			l, err := New(echoServer(t))
			So(err, ShouldBeNil)
			Reset(func() { So(l.Close(), ShouldBeNil) })
			open, err := net.Dial("tcp", l.Addr())
			So(err, ShouldBeNil)
			defer open.Close()
			So(echo(open, answerTime), ShouldBeNil)
			So(l.SetMode(sc.mode), ShouldBeNil)
			_, err = net.DialTimeout("tcp", l.Addr(), hangTime)
			So(isError(err, sc.dialErr), ShouldBeTrue)
			if sc.echoErr == nil {
				So(echo(open, answerTime), ShouldBeNil)
			} else {
				So(isError(echo(open, hangTime), sc.echoErr), ShouldBeTrue)
			}
			Convey("passes everything on once it is open again", func() {
				So(l.SetMode(Open), ShouldBeNil)
				c, err := net.DialTimeout("tcp", l.Addr(), answerTime)
				So(err, ShouldBeNil)
				defer c.Close()
				So(echo(c, answerTime), ShouldBeNil)
			})
		})
	}
}

// Guards against hosts that take a server which has ended for one that turns connections away.
func TestLinkThatFollowsEndRefusesConnectionsAfterServerDoes(t *testing.T) {
	Convey("Given a link whose server has ended", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l, err := New(ln.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { So(l.Close(), ShouldBeNil) })
		So(ln.Close(), ShouldBeNil)
		Convey("one that follows its end resets one connection and refuses further ones", func() {
			l.FollowEnd()
			So(isError(dialAndEcho(l.Addr()), syscall.ECONNRESET), ShouldBeTrue)
			_, err = net.DialTimeout("tcp", l.Addr(), answerTime)
			So(isError(err, syscall.ECONNREFUSED), ShouldBeTrue)
			Convey("until it is opened again, as another server may have the address", func() {
				So(l.Reopen(), ShouldBeNil)
				So(isError(dialAndEcho(l.Addr()), syscall.ECONNRESET), ShouldBeTrue)
			})
		})
		Convey("another goes on accepting and resetting", func() {
			for range 2 {
				So(isError(dialAndEcho(l.Addr()), syscall.ECONNRESET), ShouldBeTrue)
			}
		})
	})
}
