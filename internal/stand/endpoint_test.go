package stand

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/cornelwing/cornelwing/internal/stand/fault"
)

// listenAlone listens as a process does that wants the address for itself.
func listenAlone(addr string) (net.Listener, error) {
	lc := net.ListenConfig{
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0)
			})
		},
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

// TestAPortIsKeptWhileDown answers a failure of TestRefusedAsNotRunMeansNothingRan: another test's server had been given the port of a stand-in that was down, so that a request met a server that might have run it.
func TestAPortIsKeptWhileDown(t *testing.T) {
	Convey("Given an endpoint that is down", t, func() {
		e := newEndpoint("x", "127.0.0.1:0", fault.New(1), http.NotFoundHandler())
		So(e.Apply(fault.Faults{}), ShouldBeNil)
		So(e.Apply(fault.Faults{Down: true}), ShouldBeNil)
		Convey("its connections are refused", func() {
			_, err := net.DialTimeout("tcp", e.Addr(), time.Second)
			So(err, ShouldNotBeNil)
		})
		Convey("nobody else is given its port", func() {
			ln, err := listenAlone(e.Addr())
			if err == nil {
				_ = ln.Close()
			}
			So(err, ShouldNotBeNil)
		})
		Convey("it comes back at the same address", func() {
			addr := e.Addr()
			So(e.Apply(fault.Faults{}), ShouldBeNil)
			So(e.Addr(), ShouldEqual, addr)
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			So(err, ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
		})
		So(e.Close(), ShouldBeNil)
	})
}
