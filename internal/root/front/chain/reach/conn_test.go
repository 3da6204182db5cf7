package reach

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// newConnPair returns a client connection and the peer's end of it.
func newConnPair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := dialConn(t.Context(), &net.Dialer{}, "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = peer.Close()
	})
	return c.(*conn), peer
}

func TestWriteFailsAfterPeerClosed(t *testing.T) {
	scenarios := []struct {
		name string
		end  func(peer net.Conn)
	}{
		{name: "closed", end: func(p net.Conn) { _ = p.Close() }},
		{name: "reset", end: func(p net.Conn) { _ = p.(*net.TCPConn).SetLinger(0); _ = p.Close() }},
		{name: "half closed", end: func(p net.Conn) { _ = p.(*net.TCPConn).CloseWrite() }},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			c, peer := newConnPair(t)
			if n, err := c.Write([]byte("abc")); n != 3 || err != nil {
				t.Fatalf("Write returned %d, %v", n, err)
			}
			offset := c.Written()
			sc.end(peer)
			for end := time.Now().Add(time.Second); !c.peerClosed() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if n, err := c.Write([]byte("d")); n != 0 || !errors.Is(err, ErrPeerClosed) {
				t.Errorf("Write returned %d, %v", n, err)
			}
			if !c.SealIfUnwritten(offset) || c.SealIfUnwritten(offset-1) {
				t.Error("SealIfUnwritten disagrees with the number of bytes written")
			}
		})
	}
}

func TestWriteFailsOnSealedConn(t *testing.T) {
	c, _ := newConnPair(t)
	if !c.SealIfUnwritten(0) {
		t.Fatal("a new connection cannot be sealed")
	}
	if n, err := c.Write([]byte("late")); n != 0 || !errors.Is(err, ErrSealed) {
		t.Errorf("Write returned %d, %v", n, err)
	}
}

// TestAttemptIsUnsentIfPeerClosedBeforeFirstWrite guards against counting an attempt as sent if the peer closed the connection before the first byte.
// The client has not yet read the end of the stream when it starts to write.
func TestAttemptIsUnsentIfPeerClosedBeforeFirstWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := New()
	closed := make(chan string, 1)
	go func() {
		peer, err := ln.Accept()
		if err != nil {
			return
		}
		_ = peer.Close()
		_ = ln.Close()
		closed <- ""
	}()
	// The connection is closed between the dial and the write of the first byte.
	via := c.pooledTransport(ln.Addr().String())
	dial := via.DialContext
	via.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		got, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		<-closed
		for !got.(*conn).peerClosed() {
			time.Sleep(time.Millisecond)
		}
		return got, nil
	}
	got := c.Do(t.Context(), Attempt{Addr: ln.Addr().String(), Silence: time.Second, Call: stage.Call{AttemptID: "a"}})
	if _, ok := got.(Unsent); !ok {
		t.Errorf("got %#v, want Unsent", got)
	}
}

func TestAttemptIsBrokenIfPeerClosesAfterReadingRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		peer, err := ln.Accept()
		if err != nil {
			return
		}
		// The peer reads the complete request, so it may have run.
		_, _ = http.ReadRequest(bufio.NewReader(peer))
		_ = peer.Close()
	}()
	got := New().Do(t.Context(), Attempt{Addr: ln.Addr().String(), Silence: time.Second, Call: stage.Call{AttemptID: "a"}})
	if _, ok := got.(Broken); !ok {
		t.Errorf("got %#v, want Broken", got)
	}
}
