package hosts

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/links"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// deadAddr refuses connections.
const deadAddr = "127.0.0.1:1"

// tunnelCluster is a group of hosts with tunnels between them, and one upstream named u.
type tunnelCluster struct {
	t       *testing.T
	peers   []*Peers
	stop    []context.CancelFunc
	dialers []*links.Dialer
	tunnels []*Tunnels
	// accepted are the upstream's connections.
	accepted chan net.Conn
	ln       net.Listener
	addr     string
}

// newTunnelCluster starts hosts of which the first ones, as many as cut says, do not reach the upstream.
func newTunnelCluster(t *testing.T, n, cut int) *tunnelCluster {
	t.Helper()
	c := &tunnelCluster{
		t:        t,
		accepted: make(chan net.Conn, 100),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.accepted <- conn
		}
	}()
	c.ln = ln
	c.addr = ln.Addr().String()
	c.peers, c.stop = startPeers(t, n, time.Now, func(deps common.Deps, p *Peers) {
		d := links.NewDialer(deps)
		addr := c.addr
		if len(c.dialers) < cut {
			addr = deadAddr
		}
		d.Sync([]route.Upstream{{Name: "u", Addr: addr, Pool: "p"}, {Name: "gone", Addr: c.addr, Pool: "p", Leaving: true}})
		c.dialers = append(c.dialers, d)
		c.tunnels = append(c.tunnels, NewTunnels(deps, p, d))
	})
	return c
}

// connect opens a connection from the first host, and returns both of its ends.
func (c *tunnelCluster) connect() (client, upstream net.Conn) {
	c.t.Helper()
	client, err := c.dialers[0].DialContext(context.Background(), "tcp", deadAddr)
	So(err, ShouldBeNil)
	return client, <-c.accepted
}

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	Convey("Given a host without links and one with them", t, func() {
		c := newTunnelCluster(t, 2, 1)
		client, upstream := c.connect()
		Convey("a megabyte arrives whole in each direction, and its end in order", func() {
			sent := make([]byte, 1<<20)
			_, _ = rand.Read(sent)
			for _, ends := range [][2]net.Conn{{client, upstream}, {upstream, client}} {
				var wg sync.WaitGroup
				wg.Go(func() { _, _ = ends[0].Write(sent) })
				got := make([]byte, len(sent))
				_, err := io.ReadFull(ends[1], got)
				wg.Wait()
				So(err, ShouldBeNil)
				So(bytes.Equal(got, sent), ShouldBeTrue)
			}
			So(upstream.Close(), ShouldBeNil)
			_, err := client.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
		})
		Convey("the upstream sees at once that the client has closed", func() {
			So(client.Close(), ShouldBeNil)
			So(upstream.SetReadDeadline(time.Now().Add(time.Second)), ShouldBeNil)
			_, err := upstream.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeFalse)
			var netErr net.Error
			So(errors.As(err, &netErr) && netErr.Timeout(), ShouldBeFalse)
		})
	})
}

// Guards against a response without length that is cut off on its way through another host and looks complete.
func TestBrokenTunnelDoesNotEndInOrder(t *testing.T) {
	breaks := []struct {
		name string
		do   func(c *tunnelCluster, upstream net.Conn)
	}{
		{name: "the upstream resets its connection", do: func(_ *tunnelCluster, upstream net.Conn) {
			_ = upstream.(*net.TCPConn).SetLinger(0)
			_ = upstream.Close()
		}},
		{name: "the host that carries it is killed", do: func(c *tunnelCluster, _ net.Conn) { c.stop[1]() }},
	}
	for _, b := range breaks {
		Convey("Given a tunnel, where "+b.name, t, func() {
			c := newTunnelCluster(t, 2, 1)
			client, upstream := c.connect()
			_, err := upstream.Write([]byte("a part"))
			So(err, ShouldBeNil)
			_, err = io.ReadFull(client, make([]byte, 6))
			So(err, ShouldBeNil)
			b.do(c, upstream)
			Convey("reading from it ends with an error that is no end of file", func() {
				_, err := client.Read(make([]byte, 1))
				So(err, ShouldNotBeNil)
				So(err, ShouldNotEqual, io.EOF)
			})
		})
	}
}

// Guards against hosts that do not find the few with links (incident RECOVER).
func TestConnectionsGoThroughTheHostsThatHaveLinks(t *testing.T) {
	cases := []struct {
		hosts, cut int
	}{
		{hosts: 9, cut: 1},
		{hosts: 9, cut: 6},
		{hosts: 9, cut: 8},
		{hosts: 36, cut: 30},
	}
	for _, sc := range cases {
		Convey(fmt.Sprintf("With %d of %d hosts cut, connections are opened soon, through several hosts", sc.cut, sc.hosts), t, func() {
			c := newTunnelCluster(t, sc.hosts, sc.cut)
			c.learn(sc.cut)
			const connections = 200
			failed := 0
			carriers := map[int]bool{}
			for i := range connections {
				carrier, ok := c.connectThroughOthers(i % sc.cut)
				if !ok {
					failed++
					continue
				}
				carriers[carrier] = true
			}
			So(failed, ShouldBeLessThanOrEqualTo, connections/50)
			So(len(carriers), ShouldBeGreaterThanOrEqualTo, min(preferredPeers, sc.hosts-sc.cut))
		})
	}
}

// learn lets the first hosts open connections for a while, so that each knows which others have links.
func (c *tunnelCluster) learn(hosts int) {
	var wg sync.WaitGroup
	deadline := time.Now().Add(1500 * time.Millisecond)
	for host := range hosts {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				if conn, err := c.dialers[host].DialContext(context.Background(), "tcp", deadAddr); err == nil {
					_ = conn.Close()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		wg.Wait()
	}()
	for {
		select {
		case upstream := <-c.accepted:
			_ = upstream.Close()
		case <-done:
			for end := time.Now().Add(convergeTime); c.openTunnels() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			for len(c.accepted) > 0 {
				_ = (<-c.accepted).Close()
			}
			return
		}
	}
}

// connectThroughOthers opens and closes a connection of the host, and returns which host carried it.
func (c *tunnelCluster) connectThroughOthers(host int) (carrier int, ok bool) {
	conn, err := c.dialers[host].DialContext(context.Background(), "tcp", deadAddr)
	if err != nil {
		c.t.Logf("host %d: %v", host, err)
		return 0, false
	}
	upstream := <-c.accepted
	for h, t := range c.tunnels {
		if t.OpenCount() > 0 {
			carrier = h
		}
	}
	_ = conn.Close()
	_ = upstream.Close()
	for end := time.Now().Add(convergeTime); c.openTunnels() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return carrier, true
}

func (c *tunnelCluster) openTunnels() int64 {
	n := int64(0)
	for _, t := range c.tunnels {
		n += t.OpenCount()
	}
	return n
}

func TestTunnelLeadsOnlyToUpstreamsThatServe(t *testing.T) {
	Convey("A host opens no tunnel to what it does not know or what leaves, and nothing goes through a third host", t, func() {
		c := newTunnelCluster(t, 3, 2)
		for _, name := range []string{"gone", "unknown", "", c.addr} {
			_, err := c.tunnels[0].Open(context.Background(), name)
			So(err, ShouldNotBeNil)
		}
		_, err := c.tunnels[2].openThrough(context.Background(), c.peers[1].roster.self, "u")
		So(err, ShouldNotBeNil)
		So(c.accepted, ShouldBeEmpty)
	})
}
