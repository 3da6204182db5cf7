package intact

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connect returns a connection as Dial opens it, and its peer.
func connect(t *testing.T) (c net.Conn, peer *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if c, err = Dial((&net.Dialer{}).DialContext)(context.Background(), "tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = accepted.Close()
	})
	return c, accepted.(*net.TCPConn)
}

// writeUntilError writes until that fails, and returns the error.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a reset of which a write got the error, so that reads find the connection ended (MIXED, issue 54).
func TestResetIsNotReadAsEndAfterAWriteGotItsError(t *testing.T) {
	const rounds = 20
	for range rounds {
		c, peer := connect(t)
		_, err := peer.Write([]byte("part"))
		must(t, err)
		written := make(chan error)
		go func() { written <- writeUntilError(c) }()
		time.Sleep(time.Millisecond)
		must(t, peer.SetLinger(0))
		must(t, peer.Close())
		if err := <-written; !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("write got error %v, want a reset", err)
		}
		got, err := io.ReadAll(c)
		if string(got) != "part" || !errors.Is(err, ErrReset) {
			t.Fatalf("read got %q and error %v, want the part and a reset", got, err)
		}
		if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, ErrReset) {
			t.Fatalf("another read got %d bytes and error %v, want the same error", n, err)
		}
	}
}

func TestEndOfConnectionIsReadAsWhatItIs(t *testing.T) {
	scenarios := []struct {
		name string
		// end ends the connection at the peer, after which act uses it at this side.
		end  func(peer *net.TCPConn) error
		act  func(c net.Conn)
		want error
	}{
		{name: "closed in order", end: (*net.TCPConn).Close, want: io.EOF},
		{name: "closed in order for writing", end: (*net.TCPConn).CloseWrite, want: io.EOF},
		{name: "closed in order, and reset as this side goes on writing", end: (*net.TCPConn).Close, act: func(c net.Conn) { _ = writeUntilError(c) }, want: io.EOF},
		{name: "closed in order, and reset without a write that tells it", end: (*net.TCPConn).Close, act: func(c net.Conn) {
			_, _ = c.Write([]byte("x"))
			time.Sleep(20 * time.Millisecond)
		}, want: io.EOF},
		{name: "reset", end: func(peer *net.TCPConn) error { return errors.Join(peer.SetLinger(0), peer.Close()) }, want: syscall.ECONNRESET},
		{name: "reset, with a write that gets the error", end: func(peer *net.TCPConn) error { return errors.Join(peer.SetLinger(0), peer.Close()) }, act: func(c net.Conn) { _ = writeUntilError(c) }, want: ErrReset},
	}
	for _, sc := range scenarios {
		Convey("Given a connection that is "+sc.name, t, func() {
			c, peer := connect(t)
			_, err := peer.Write([]byte("all"))
			So(err, ShouldBeNil)
			So(sc.end(peer), ShouldBeNil)
			time.Sleep(5 * time.Millisecond)
			if sc.act != nil {
				sc.act(c)
			}
			var got []byte
			buf := make([]byte, 2)
			for err == nil {
				var n int
				n, err = c.Read(buf)
				got = append(got, buf[:n]...)
			}
			So(string(got), ShouldEqual, "all")
			So(errors.Is(err, sc.want), ShouldBeTrue)
			_, again := c.Read(buf)
			So(again, ShouldEqual, err)
		})
	}
}

func TestDeadlineDoesNotEndConnection(t *testing.T) {
	Convey("Given a connection whose read missed its deadline, a later read gets what comes", t, func() {
		c, peer := connect(t)
		So(c.SetReadDeadline(time.Now().Add(time.Millisecond)), ShouldBeNil)
		_, err := c.Read(make([]byte, 1))
		So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
		So(c.SetReadDeadline(time.Time{}), ShouldBeNil)
		_, err = peer.Write([]byte("x"))
		So(err, ShouldBeNil)
		n, err := c.Read(make([]byte, 1))
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 1)
	})
}

func TestConnectionThatIsNoSocketIsReturnedAsItIs(t *testing.T) {
	Convey("Given a connection that is no socket", t, func() {
		c, peer := net.Pipe()
		defer peer.Close()
		So(NewConn(c), ShouldEqual, c)
		_, ok := Socket(c)
		So(ok, ShouldBeFalse)
	})
	Convey("Given a wrapped socket, it is found", t, func() {
		c, _ := connect(t)
		_, ok := Socket(c)
		So(ok, ShouldBeTrue)
	})
	Convey("Given a dial that fails, its error is kept", t, func() {
		failed := fmt.Errorf("refused")
		_, err := Dial(func(context.Context, string, string) (net.Conn, error) { return nil, failed })(context.Background(), "tcp", "x")
		So(errors.Is(err, failed), ShouldBeTrue)
	})
}
