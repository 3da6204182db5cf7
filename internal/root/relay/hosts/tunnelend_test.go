package hosts

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/alive"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/relay/vital"
)

const (
	// unframedHead is the head of a response that ends with its connection, and unframedBody the body.
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n"
	unframedBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// endingConn is a connection of which only a number of bytes arrive. Then it ends in order.
type endingConn struct {
	net.Conn
	left *atomic.Int64
}

// Read reads from the connection until its bytes have arrived, and returns io.EOF from then on.
func (c endingConn) Read(p []byte) (int, error) {
	left := c.left.Load()
	if left <= 0 {
		_ = c.Close()
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.left.Add(-int64(n))
	return n, err
}

// tunnelReader sends a request through the tunnels of the first host.
type tunnelReader struct {
	c    *tunnelCluster
	send *send.Client
	// check asks the upstream, which is never replaced, whether it lives.
	check send.SenderCheck
	// left is how many bytes arrive on the next connection to the tunnelling host.
	left *atomic.Int64
}

// newTunnelReader returns a reader of responses whose ends are confirmed through the tunnel as well.
func newTunnelReader(c *tunnelCluster) *tunnelReader {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return c.tunnels[0].openThrough(ctx, c.peers[1].roster.self, "u")
	}
	witness := vital.New(common.NewQuietDeps("h0", "d"), dial)
	r := &tunnelReader{
		c: c,
		send: send.New(dial, send.WithEndWatch(func(addr string, isOpen func() bool, checkSender send.SenderCheck) send.EndWatch {
			return witness.Watch(addr, isOpen, vital.WithSenderCheck(checkSender))
		})),
		check: func(ctx context.Context, conn net.Conn) error { return askUpstream(ctx, dial, conn) },
		left:  &atomic.Int64{},
	}
	plain := &net.Dialer{}
	c.peers[0].streams.DialContext = alive.Dialer(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := plain.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		left := &atomic.Int64{}
		left.Store(r.left.Swap(1 << 40))
		return endingConn{
			Conn: conn,
			left: left,
		}, nil
	}, callerSilence)
	return r
}

// read sends a request over a new connection to the tunnelling host, of which only so many bytes arrive, and returns the body of the response.
func (r *tunnelReader) read(bytes int64) (string, error) {
	r.c.peers[0].streams.CloseIdleConnections()
	r.left.Store(bytes)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	switch result := r.send.Do(ctx, send.Request{Addr: deadAddr, Method: http.MethodGet, Host: "u", Target: "/", Header: http.Header{}, CheckSender: r.check}).(type) {
	case send.Response:
		defer result.Body.Close()
		body, err := io.ReadAll(result.Body)
		return string(body), err
	case send.Broken:
		return "", result.Err
	case send.Unsent:
		return "", result.Err
	default:
		return "", io.ErrNoProgress
	}
}

// askUpstream returns nil if the upstream answers a request.
func askUpstream(ctx context.Context, dial vital.Dial, conn net.Conn) error {
	if conn == nil {
		var err error
		if conn, err = dial(ctx, "tcp", deadAddr); err != nil {
			return err
		}
		defer conn.Close()
	}
	if _, err := io.WriteString(conn, "GET /v1/report HTTP/1.1\r\nHost: u\r\n\r\n"); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// respond answers each request at the upstream with the text and closes its connection, until the channel of connections is closed.
func (c *tunnelCluster) respond(text string) {
	for conn := range c.accepted {
		go func() {
			defer conn.Close()
			// The connections of the witness send nothing and are closed by it.
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
		}()
	}
}

// Guards against the end of a host that carries a tunnel taken for the end of an unframed response (class of incident ORDER).
func TestUnframedResponseThroughTunnelIsWholeWhereverConnectionOfHostsEnds(t *testing.T) {
	Convey("Given a host that reaches an upstream only through another one", t, func() {
		c := newTunnelCluster(t, 2, 1)
		r := newTunnelReader(c)
		go c.respond(unframedHead + unframedBody)
		Convey("a whole response is whole", func() {
			body, err := r.read(1 << 40)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, unframedBody)
		})
		Convey("it counts as whole only if it is, after whichever byte the connection to the other host ends", func() {
			whole, broken := 0, 0
			for bytes := int64(0); whole < 3; bytes++ {
				So(bytes, ShouldBeLessThan, 2000)
				body, err := r.read(bytes)
				if err != nil {
					So(strings.HasPrefix(unframedBody, body), ShouldBeTrue)
					broken++
					whole = 0
					continue
				}
				So(body, ShouldEqual, unframedBody)
				whole++
			}
			So(broken, ShouldBeGreaterThan, len(unframedHead+unframedBody))
		})
	})
}

// closeAccepted closes the upstream's other connections, as the kernel does with those of a process that ends.
func (c *tunnelCluster) closeAccepted() {
	for {
		select {
		case conn := <-c.accepted:
			_ = conn.Close()
		case <-time.After(time.Second):
			return
		}
	}
}

// Guards against the end of an upstream's process behind a tunnel taken for the end of its response (incident ORDER).
func TestUnframedResponseThroughTunnelIsNotWholeIfUpstreamEnds(t *testing.T) {
	for sent := len(unframedHead); sent <= len(unframedHead+unframedBody); sent++ {
		Convey("Given an upstream behind a tunnel whose process ends within its response", t, func() {
			c := newTunnelCluster(t, 2, 1)
			r := newTunnelReader(c)
			go func() {
				conn := <-c.accepted
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, (unframedHead + unframedBody)[:sent])
				_ = c.ln.Close()
				_ = conn.Close()
				c.closeAccepted()
			}()
			Convey("reading ends with an error", func() {
				body, err := r.read(1 << 40)
				So(err, ShouldNotBeNil)
				So(body, ShouldEqual, unframedBody[:sent-len(unframedHead)])
			})
		})
	}
}

// Guards against a stop of the tunnelling host, at whatever moment, that ends its tunnels in order.
func TestTunnelDoesNotEndInOrderIfCarrierEndsIt(t *testing.T) {
	ends := []struct {
		name string
		do   func(c *tunnelCluster, client net.Conn)
	}{
		{name: "the host that carries it stops", do: func(c *tunnelCluster, _ net.Conn) { c.stop[1]() }},
		{name: "the request of the tunnel ends", do: func(_ *tunnelCluster, client net.Conn) { _ = client.(*tunnelConn).w.Close() }},
		{name: "the request of the tunnel breaks", do: func(_ *tunnelCluster, client net.Conn) { _ = client.(*tunnelConn).w.CloseWithError(io.ErrNoProgress) }},
	}
	const rounds = 20
	for _, e := range ends {
		Convey("Given tunnels, where "+e.name+" while the upstream sends", t, func() {
			for range rounds {
				c := newTunnelCluster(t, 2, 1)
				client, upstream := c.connect()
				go func() {
					for {
						if _, err := upstream.Write([]byte("data: x\n\n")); err != nil {
							return
						}
					}
				}()
				_, err := io.ReadFull(client, make([]byte, 9))
				So(err, ShouldBeNil)
				go e.do(c, client)
				_, err = io.Copy(io.Discard, client)
				So(err, ShouldNotBeNil)
				_ = client.Close()
				_ = upstream.Close()
			}
		})
	}
}

// Guards against ends that can't be confirmed, or are confirmed wrongly, at a host without links.
func TestHostWithoutLinksLearnsThroughOthersWhetherUpstreamOutlivedConnection(t *testing.T) {
	cases := []struct {
		name string
		// before happens before the upstream is watched, and after just before its end is to be confirmed.
		before, after func(c *tunnelCluster)
		outlived      bool
	}{
		{name: "the upstream lives", outlived: true},
		{name: "the upstream lives, and one of the other hosts is gone", before: func(c *tunnelCluster) { c.stop[1]() }, outlived: true},
		{name: "the upstream ends", after: (*tunnelCluster).endUpstream},
		{name: "the upstream is gone already", before: (*tunnelCluster).endUpstream},
		{name: "no host carries the connection", before: func(c *tunnelCluster) { c.stop[1](); c.stop[2]() }},
		{name: "all hosts that carry the connection end", after: func(c *tunnelCluster) { c.stop[1](); c.stop[2]() }},
	}
	for _, tc := range cases {
		Convey("Given a host without links to an upstream, where "+tc.name, t, func() {
			c := newTunnelCluster(t, 3, 1)
			w := vital.New(common.NewQuietDeps("h0", "d"), c.dialers[0].DialProbe)
			// The host learns by its first connection that it may be cut.
			client, upstream := c.connect()
			defer client.Close()
			defer upstream.Close()
			if tc.before != nil {
				tc.before(c)
			}
			watch := w.Watch(deadAddr, func() bool { return false }, vital.WithSenderCheck(func(ctx context.Context, _ net.Conn) error {
				conn, err := c.dialers[0].DialProbe(ctx, "tcp", deadAddr)
				if err != nil {
					return err
				}
				// The upstream, which is never replaced, accepts connections and says nothing.
				return conn.Close()
			}))
			defer watch.Stop()
			arrived := time.Now()
			if tc.after != nil {
				time.Sleep(settle)
				arrived = time.Now()
				tc.after(c)
			}
			So(watch.Confirm(context.Background(), arrived) == nil, ShouldEqual, tc.outlived)
		})
	}
}

// settle is the time in which a watch has opened its connection.
const settle = 100 * time.Millisecond

// endUpstream closes the upstream's listener and its connections in order, like the kernel for a killed process.
func (c *tunnelCluster) endUpstream() {
	_ = c.ln.Close()
	for len(c.accepted) > 0 {
		_ = (<-c.accepted).Close()
	}
}
