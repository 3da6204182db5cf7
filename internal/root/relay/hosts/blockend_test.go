package hosts

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/alive"
	"github.com/cornelwing/cornelwing/internal/root/relay/bulk"
)

// blockCluster is two hosts, of which the second one has a block.
type blockCluster struct {
	peers   []*Peers
	content []byte
	ref     bulk.Ref
	// left is how many bytes arrive on each of the next connections of the first host, and whole from which connection on all bytes arrive.
	left  atomic.Int64
	dials atomic.Int64
	whole atomic.Int64
}

func newBlockCluster(t *testing.T, size int) *blockCluster {
	t.Helper()
	c := &blockCluster{
		content: make([]byte, size),
	}
	_, _ = rand.Read(c.content)
	plain := &net.Dialer{}
	c.peers, _ = startPeers(t, 2, time.Now, func(_ common.Deps, p *Peers) {
		p.http.DialContext = alive.Dialer(func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := plain.DialContext(ctx, network, addr)
			if err != nil || c.dials.Add(1) >= c.whole.Load() {
				return conn, err
			}
			left := &atomic.Int64{}
			left.Store(c.left.Load())
			return endingConn{
				Conn: conn,
				left: left,
			}, nil
		}, callerSilence)
	})
	c.ref = c.peers[1].blocks.shelf.Put(c.content)
	return c
}

// read reads the block at the first host, as if it had nothing of it yet. Only so many bytes arrive on each connection before the given one.
func (c *blockCluster) read(bytes, whole int64) ([]byte, error) {
	c.peers[0].blocks.shelf.Remove(c.ref.ID)
	c.peers[0].http.CloseIdleConnections()
	c.left.Store(bytes)
	c.dials.Store(0)
	c.whole.Store(whole)
	return c.peers[0].blocks.read(context.Background(), c.ref, []Host{c.peers[1].roster.self})
}

// Guards against the end of a host taken for the end of a block, within a part or between two parts (class of incident ORDER).
func TestBlockIsWholeWhereverConnectionsOfItsHostEnd(t *testing.T) {
	Convey("Given a block of two parts and a little", t, func() {
		c := newBlockCluster(t, 2*partBytes+10)
		size := int64(len(c.content))
		Convey("it is read whole if the first connection ends, after whichever byte", func() {
			for bytes := int64(0); bytes < size+2000; bytes++ {
				// The frames are few, so that most bytes are like their neighbours.
				if bytes > 200 && bytes%997 > 2 && bytes%partBytes > 150 {
					continue
				}
				got, err := c.read(bytes, 2)
				So(err, ShouldBeNil)
				So(string(got) == string(c.content), ShouldBeTrue)
			}
		})
		Convey("it is whole or not read if each connection ends", func() {
			for _, bytes := range []int64{150, 600, partBytes, partBytes + 300} {
				got, err := c.read(bytes, 1<<40)
				So(err != nil || string(got) == string(c.content), ShouldBeTrue)
			}
		})
	})
}

// Guards against a host that sends less of a block than its name stands for.
func TestBlockIsOnlyWhatItsNameStandsFor(t *testing.T) {
	cases := []struct {
		name string
		// respond answers a request for the part of the content from the offset on.
		respond func(w http.ResponseWriter, rest []byte)
		whole   bool
	}{
		{name: "sends empty parts", respond: func(http.ResponseWriter, []byte) {}},
		{name: "sends no content", respond: func(w http.ResponseWriter, _ []byte) { w.WriteHeader(http.StatusNoContent) }},
		{name: "sends bytes with an error status", respond: func(w http.ResponseWriter, rest []byte) {
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(rest)
		}},
		{name: "sends other bytes", respond: func(w http.ResponseWriter, rest []byte) { _, _ = w.Write(bytes.Repeat([]byte("x"), len(rest))) }},
		{name: "sends one byte at a time", respond: func(w http.ResponseWriter, rest []byte) { _, _ = w.Write(rest[:1]) }, whole: true},
		{name: "breaks each part off", respond: func(w http.ResponseWriter, rest []byte) {
			_, _ = w.Write(rest[:len(rest)/2+1])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, whole: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			content := []byte("the content of a block")
			mux := http.NewServeMux()
			mux.HandleFunc("POST "+pathBlock, func(w http.ResponseWriter, r *http.Request) {
				var q partRequest
				if decodeBody(w, r, &q) {
					tc.respond(w, content[q.Offset:])
				}
			})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{
				Handler:   mux,
				Protocols: unencryptedHTTP2(),
			}
			go func() { _ = server.Serve(ln) }()
			t.Cleanup(func() { _ = server.Close() })
			peers, _ := startPeers(t, 1, time.Now, func(common.Deps, *Peers) {})
			got, err := peers[0].blocks.read(context.Background(), bulk.RefOf(content), []Host{hostOf(1, ln.Addr().String())})
			if tc.whole != (err == nil) {
				t.Fatalf("error %v, want a whole block: %v", err, tc.whole)
			}
			if err == nil && string(got) != string(content) {
				t.Fatalf("got %q", got)
			}
		})
	}
}

// Guards against a compressed content that ends early and passes for a shorter one.
func TestContentIsOpenedOnlyIfItIsWhole(t *testing.T) {
	Convey("Given a compressed content", t, func() {
		content := []byte(fmt.Sprint(make([]int, 200)))
		data, err := bulk.Compress(content)
		So(err, ShouldBeNil)
		peers, _ := startPeers(t, 1, time.Now, func(common.Deps, *Peers) {})
		Convey("it is not opened without its last bytes", func() {
			for n := range len(data) + 1 {
				got, err := peers[0].blocks.open(context.Background(), parcel{Packed: data[:n]}, Host{})
				So(err == nil, ShouldEqual, n == len(data))
				So(err != nil || bytes.Equal(got, content), ShouldBeTrue)
			}
		})
	})
}
