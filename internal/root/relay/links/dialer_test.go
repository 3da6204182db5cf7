package links

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
)

var errTest = errors.New("refused")

// network is a fake of the paths to upstreams.
type network struct {
	mu sync.Mutex
	// direct and relayed are how connections without another host and through one end: nil for success. hangs makes those without another host take until they are cancelled.
	direct  error
	relayed error
	hangs   bool
	// directTries and relayedTries count the connections that were tried.
	directTries  int
	relayedTries int
}

func (n *network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	n.mu.Lock()
	n.directTries++
	hangs, err := n.hangs, n.direct
	n.mu.Unlock()
	if hangs {
		ctx, cancel := context.WithTimeout(ctx, directTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

// Open is the connection through another host.
func (n *network) Open(context.Context, string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relayedTries++
	if n.relayed != nil {
		return nil, n.relayed
	}
	c, _ := net.Pipe()
	return c, nil
}

func newTestDialer(n *network, upstreams int) *Dialer {
	d := NewDialer(common.NewQuietDeps("host-1", "z"))
	d.direct = n.dial
	d.UseRelay(n)
	d.Sync(poolOf("p", upstreams))
	return d
}

// dial connects to an upstream of the pool.
func dial(d *Dialer, addr string) error {
	c, err := d.DialContext(context.Background(), "tcp", addr)
	if err == nil {
		return c.Close()
	}
	return err
}

// Guards against a host that gives up where another host could connect for it, and against one that bothers others needlessly (incident RECOVER).
func TestDialerConnectsThroughOthersOnlyWhileItSeemsCut(t *testing.T) {
	Convey("Given a pool of three upstreams", t, func() {
		n := &network{}
		d := newTestDialer(n, 3)
		Convey("connections that work go through no other host", func() {
			So(dial(d, "p0:1"), ShouldBeNil)
			So(n.relayedTries, ShouldEqual, 0)
		})
		Convey("one upstream that refuses is no reason to ask others", func() {
			n.direct = errTest
			So(dial(d, "p0:1"), ShouldNotBeNil)
			So(dial(d, "p0:1"), ShouldNotBeNil)
			So(n.relayedTries, ShouldEqual, 0)
		})
		Convey("once a second one refuses, others are asked, and soon after at once", func() {
			n.direct = errTest
			So(dial(d, "p0:1"), ShouldNotBeNil)
			So(dial(d, "p1:1"), ShouldBeNil)
			So(d.CutPools(), ShouldEqual, 1)
			tries := n.directTries
			So(dial(d, "p1:1"), ShouldBeNil)
			So(n.directTries, ShouldEqual, tries)
			So(d.Relayed(), ShouldEqual, 2)
			Convey("and this host refuses to connect for another one", func() {
				_, err := d.DialForPeer(context.Background(), "p1")
				So(errors.Is(err, ErrNoLink), ShouldBeTrue)
			})
			Convey("a connection that works again ends that", func() {
				n.direct = nil
				So(dial(d, "p2:1"), ShouldBeNil)
				So(d.CutPools(), ShouldEqual, 0)
				relayed := n.relayedTries
				So(dial(d, "p0:1"), ShouldBeNil)
				So(n.relayedTries, ShouldEqual, relayed)
			})
			Convey("if no host connects, neither does this one", func() {
				n.relayed = errTest
				So(dial(d, "p1:1"), ShouldNotBeNil)
			})
		})
		Convey("an unknown address goes through no other host", func() {
			n.direct = errTest
			So(dial(d, "q0:1"), ShouldNotBeNil)
			So(dial(d, "q1:1"), ShouldNotBeNil)
			So(n.relayedTries, ShouldEqual, 0)
		})
		Convey("for another host it connects to known upstreams alone, and never through a third one", func() {
			_, err := d.DialForPeer(context.Background(), "q0")
			So(errors.Is(err, ErrUnknownUpstream), ShouldBeTrue)
			n.direct = errTest
			for _, name := range []string{"p0", "p1", "p2"} {
				_, err = d.DialForPeer(context.Background(), name)
				So(err, ShouldNotBeNil)
			}
			So(n.relayedTries, ShouldEqual, 0)
		})
	})
}

// Guards against probes that take a cut of this host for a crash of an upstream (incident RECOVER).
func TestUpstreamIsReachedIfAnyHostReachesIt(t *testing.T) {
	cases := []struct {
		name            string
		direct, relayed error
		reached         bool
	}{
		{name: "both", reached: true},
		{name: "this host alone", relayed: errTest, reached: true},
		{name: "another host alone", direct: errTest, reached: true},
		{name: "none", direct: errTest, relayed: errTest},
	}
	Convey("A probe finds an upstream that a host reaches", t, func() {
		for _, c := range cases {
			n := &network{direct: c.direct, relayed: c.relayed}
			So(newTestDialer(n, 3).Reaches(context.Background(), "p0:1"), ShouldEqual, c.reached)
		}
	})
}

// Guards against an upstream that started again while other hosts were asked and passes for the one that ended (rule ORDER).
func TestProbeAsksOthersOnlyIfNoAnswerComes(t *testing.T) {
	cases := []struct {
		name      string
		direct    error
		hangs     bool
		cut       bool
		connected bool
		relayed   int
	}{
		{name: "an upstream that accepts", connected: true},
		{name: "an upstream that refuses", direct: syscall.ECONNREFUSED},
		{name: "an upstream that refuses a host that may be cut", direct: syscall.ECONNREFUSED, cut: true, connected: true, relayed: 1},
		{name: "an upstream that is silent", hangs: true, connected: true, relayed: 1},
		{name: "a path that breaks", direct: errTest, connected: true, relayed: 1},
	}
	for _, c := range cases {
		Convey("With "+c.name, t, func() {
			n := &network{}
			d := newTestDialer(n, 3)
			if c.cut {
				n.direct = errTest
				So(dial(d, "p1:1"), ShouldNotBeNil)
				So(dial(d, "p2:1"), ShouldBeNil)
				n.relayedTries = 0
			}
			n.direct, n.hangs = c.direct, c.hangs
			conn, err := d.DialProbe(t.Context(), "tcp", "p0:1")
			So(err == nil, ShouldEqual, c.connected)
			So(n.relayedTries, ShouldEqual, c.relayed)
			if conn != nil {
				So(conn.Close(), ShouldBeNil)
			}
		})
	}
}

func TestHangingConnectionsCostLittleOnceTheHostSeemsCut(t *testing.T) {
	Convey("While connections hang, all but the first two take no longer than the patience", t, func() {
		synctest.Test(t, func(t *testing.T) {
			n := &network{hangs: true}
			d := newTestDialer(n, 3)
			if dial(d, "p0:1") == nil || dial(d, "p1:1") != nil {
				t.Fatal("the second failure should make the dialer ask others")
			}
			for range 20 {
				for _, addr := range []string{"p0:1", "p1:1", "p2:1"} {
					began := time.Now()
					if err := dial(d, addr); err != nil {
						t.Fatal(err)
					}
					if took := time.Since(began); took > directPatience {
						t.Fatalf("connection took %s", took)
					}
				}
				time.Sleep(directRetry / 3)
			}
		})
	})
}

// Guards against a host that stops asking others because it was too slow to ask enough of them.
func TestOnlyFinishedSearchForAnotherHostCausesPause(t *testing.T) {
	cases := []struct {
		name  string
		err   error
		tries int
	}{
		{name: "no host has a link", err: errTest, tries: 1},
		{name: "search did not finish", err: fmt.Errorf("%w: %w", ErrUnfinished, errTest), tries: 5},
	}
	Convey("Connections through other hosts pause after a search that", t, func() {
		for _, c := range cases {
			n := &network{
				direct:  errTest,
				relayed: c.err,
			}
			d := newTestDialer(n, 3)
			So(dial(d, "p0:1"), ShouldNotBeNil)
			for range 5 {
				So(dial(d, "p1:1"), ShouldNotBeNil)
			}
			So(c.name+": "+strconv.Itoa(n.relayedTries), ShouldEqual, c.name+": "+strconv.Itoa(c.tries))
		}
	})
}
