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

// listenExclusively listens without SO_REUSEADDR, as a process that needs exclusive use of the address. It fails while any other socket is bound to the address.
func listenExclusively(addr string) (net.Listener, error) {
	lc := net.ListenConfig{
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0)
			})
		},
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

// TestEndpointReservesItsPortWhileDown guards against the port of a stand-in that is down being assigned to another test's server.
// A request to the stand-in then reached a server that might have run it, and TestRefusedRequestRunsNoStage failed.
func TestEndpointReservesItsPortWhileDown(t *testing.T) {
	Convey("Given an endpoint that is down", t, func() {
		e := newEndpoint("x", "127.0.0.1:0", fault.New(1), http.NotFoundHandler())
		So(e.Apply(fault.Faults{}), ShouldBeNil)
		So(e.Apply(fault.Faults{Down: true}), ShouldBeNil)
		Convey("it refuses connections", func() {
			_, err := net.DialTimeout("tcp", e.Addr(), time.Second)
			So(err, ShouldNotBeNil)
		})
		Convey("no other listener can bind its port", func() {
			ln, err := listenExclusively(e.Addr())
			if err == nil {
				_ = ln.Close()
			}
			So(err, ShouldNotBeNil)
		})
		Convey("it reopens on the same address", func() {
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
