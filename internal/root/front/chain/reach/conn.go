package reach

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/cornelwing/cornelwing/internal/intact"
)

// Errors of Write. In both cases no byte was written.
var (
	ErrPeerClosed = errors.New("peer closed the connection")
	ErrSealed     = errors.New("connection is sealed against writes")
)

// conn counts the bytes written to a connection, and refuses to write once its peer has closed it or it has been sealed.
type conn struct {
	net.Conn
	raw syscall.RawConn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// dialConn opens a connection that counts its writes.
func dialConn(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	tracked := &conn{
		Conn: intact.NewConn(c),
	}
	if sys, ok := c.(syscall.Conn); ok {
		if tracked.raw, err = sys.SyscallConn(); err != nil {
			return nil, fmt.Errorf("access raw socket (close error: %v): %w", c.Close(), err)
		}
	}
	return tracked, nil
}

// Write writes to the connection. It returns ErrPeerClosed if the peer has closed it, and ErrSealed if it is sealed. In both cases it writes nothing.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, ErrSealed
	}
	if c.peerClosed() {
		return 0, ErrPeerClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	if err != nil {
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}

// Written returns the number of bytes written so far.
func (c *conn) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// SealIfUnwritten reports whether nothing was written after the offset, and if so seals the connection against later writes.
func (c *conn) SealIfUnwritten(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written > offset {
		return false
	}
	c.sealed = true
	return true
}

// peerClosed reports whether the peer has closed or reset the connection. It peeks at the socket and consumes no data.
func (c *conn) peerClosed() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		case err != nil, n == 0:
			closed = true
		}
	})
	return closed || err != nil
}

// sendTracker records the connection that the transport assigns to an attempt, and how many bytes had been written to it before.
type sendTracker struct {
	mu          sync.Mutex
	conn        *conn
	startOffset int64
	// untracked is set for a connection of another type than conn, which does not count its writes.
	untracked bool
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		s.untracked = true
		return
	}
	s.conn = c
	s.startOffset = c.Written()
}

// sealIfUnsent reports whether no byte of the attempt was sent, and if so prevents later writes.
// Without the seal the transport could still send the request after RoundTrip has returned an error.
func (s *sendTracker) sealIfUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked {
		return false
	}
	return s.conn == nil || s.conn.SealIfUnwritten(s.startOffset)
}
