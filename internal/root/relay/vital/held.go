package vital

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// heldConn is a connection on which nothing is sent.
type heldConn struct {
	net.Conn
	openedAt time.Time
	// raw is the socket, or nil if the connection is none. done then reports that a read has seen its end.
	raw  syscall.RawConn
	done atomic.Bool
}

// newHeldConn returns a connection that was opened before the time.
func newHeldConn(conn net.Conn, openedAt time.Time) *heldConn {
	c := &heldConn{
		Conn:     conn,
		openedAt: openedAt,
	}
	if sys, ok := conn.(syscall.Conn); ok {
		if raw, err := sys.SyscallConn(); err == nil {
			c.raw = raw
			return c
		}
	}
	go func() {
		// How the connection ends does not matter.
		_, _ = io.Copy(io.Discard, conn)
		c.done.Store(true)
	}()
	return c
}

// isOpen reports whether the peer keeps the connection open. It asks the kernel, as a goroutine that waits for the end may not have run yet on a busy host, or on one that was frozen.
func (c *heldConn) isOpen() bool {
	if c.raw == nil {
		return !c.done.Load()
	}
	open := false
	err := c.raw.Control(func(fd uintptr) { open = readAvailable(int(fd)) })
	return open && err == nil
}

// readAvailable discards what a socket has received, and reports whether it is still open.
func readAvailable(fd int) bool {
	var buf [512]byte
	for {
		n, err := unix.Read(fd, buf[:])
		switch {
		case errors.Is(err, unix.EAGAIN):
			return true
		case errors.Is(err, unix.EINTR):
		case err != nil, n <= 0:
			return false
		}
	}
}

// close closes the connection. Nothing was sent over it, so an error doesn't matter.
func (c *heldConn) close() {
	_ = c.Conn.Close()
}
