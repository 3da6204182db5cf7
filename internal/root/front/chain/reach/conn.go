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
)

// Reasons for which nothing is written to a connection.
var (
	ErrPeerClosed = errors.New("peer closed the connection")
	ErrSealed     = errors.New("connection is given up")
)

// conn counts what was written to a connection, and writes nothing once its peer has closed it.
type conn struct {
	net.Conn
	raw syscall.RawConn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// dialConn opens a connection.
func dialConn(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	own := &conn{
		Conn: c,
	}
	if sys, ok := c.(syscall.Conn); ok {
		if own.raw, err = sys.SyscallConn(); err != nil {
			return nil, fmt.Errorf("reach socket (closed: %v): %w", c.Close(), err)
		}
	}
	return own, nil
}

// Write writes to the connection unless its peer has closed it.
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

// Written returns how many bytes were written.
func (c *conn) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Seal reports whether nothing was written since the mark, and makes sure that nothing will be.
func (c *conn) Seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written > mark {
		return false
	}
	c.sealed = true
	return true
}

// peerClosed looks for the end of the peer's bytes without taking any of them.
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

// sending follows one attempt to the connection that it is given.
type sending struct {
	mu   sync.Mutex
	conn *conn
	mark int64
	// other says that the connection is of a kind that does not count.
	other bool
}

func (s *sending) begin(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		s.other = true
		return
	}
	s.conn = c
	s.mark = c.Written()
}

// nothing reports whether not a byte of the attempt was sent, and makes sure that none will be.
func (s *sending) nothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.other {
		return false
	}
	return s.conn == nil || s.conn.Seal(s.mark)
}
