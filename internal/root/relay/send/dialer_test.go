package send

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

const (
	// silence is how long a sound upstream may answer nothing, not even a keep-alive probe.
	silence = 1500 * time.Millisecond
	// detection is the time within which an upstream must be found that answers nothing any more. Requests of streams have six seconds and more.
	detection = 4 * time.Second
	step      = 10 * time.Millisecond
)

// keepAlive holds the options of a socket that decide when Linux gives its connection up.
type keepAlive struct {
	idle, interval, userTimeout time.Duration
	count                       int
}

func readKeepAlive(t *testing.T, c *net.TCPConn) keepAlive {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	get := func(option int) int {
		var value int
		var optErr error
		err := raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) })
		if err != nil || optErr != nil {
			t.Fatal(err, optErr)
		}
		return value
	}
	return keepAlive{
		idle:        time.Duration(get(unix.TCP_KEEPIDLE)) * time.Second,
		interval:    time.Duration(get(unix.TCP_KEEPINTVL)) * time.Second,
		userTimeout: time.Duration(get(unix.TCP_USER_TIMEOUT)) * time.Millisecond,
		count:       get(unix.TCP_KEEPCNT),
	}
}

// givesUp returns when the kernel gives up an idle connection whose other end answers nothing from one time to another, counted from its last segment. It returns false if the connection lives on. With a user timeout the number of probes does not matter.
func (k keepAlive) givesUp(from, to time.Duration) (time.Duration, bool) {
	probes := 0
	for at := k.idle; ; at += k.interval {
		timedOut := k.userTimeout > 0 && at >= k.userTimeout && probes > 0
		if timedOut || (k.userTimeout == 0 && probes >= k.count) {
			return at, true
		}
		if at < from || at >= to {
			return 0, false
		}
		probes++
	}
}

// Guards against connections that are given up although their upstream was only silent for a moment.
func TestConnectionOutlivesShortSilenceOfUpstream(t *testing.T) {
	Convey("Given a connection to an upstream", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		c, err := Dialer(time.Second).DialContext(context.Background(), "tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		k := readKeepAlive(t, c.(*net.TCPConn))
		Convey("it outlives a silence, whenever that begins", func() {
			for from := time.Duration(0); from < 5*time.Second; from += step {
				_, ends := k.givesUp(from, from+silence)
				So(ends, ShouldBeFalse)
			}
			So(k.userTimeout, ShouldBeGreaterThan, silence)
		})
		Convey("it is given up soon if the silence does not end", func() {
			at, ends := k.givesUp(0, time.Hour)
			So(ends, ShouldBeTrue)
			So(at, ShouldBeLessThanOrEqualTo, detection)
			So(k.userTimeout, ShouldBeLessThanOrEqualTo, detection)
		})
	})
}
