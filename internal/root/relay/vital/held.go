package vital

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// heldConn is a connection that is kept for a question.
type heldConn struct {
	net.Conn
	openedAt time.Time
	// raw is the socket, or nil if the connection is none.
	raw syscall.RawConn
	// reader reads from a connection that is no socket, and readable is closed once it has data or has ended.
	reader   *bufio.Reader
	readable chan struct{}
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
	c.reader = bufio.NewReader(conn)
	c.watch()
	return c
}

// watch begins to watch for the end of the connection, before the first question and after each.
func (c *heldConn) watch() {
	if c.raw != nil || c.readable != nil && !isClosed(c.readable) {
		return
	}
	readable := make(chan struct{})
	c.readable = readable
	go func() {
		defer close(readable)
		// How the connection ends does not matter.
		_, _ = c.reader.Peek(1)
	}()
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// Read reads from the connection within a question.
func (c *heldConn) Read(p []byte) (int, error) {
	// Errors are not wrapped, as callers compare them with io.EOF.
	if c.raw != nil {
		return c.Conn.Read(p)
	}
	<-c.readable
	return c.reader.Read(p)
}

// isOpen reports whether nothing shows that the peer has closed the connection. It asks the kernel, as a goroutine that waits for the end may not have run yet on a busy host, or on one that was frozen. What a peer sends without a question is discarded, or ends the use of a connection that is no socket.
func (c *heldConn) isOpen() bool {
	if c.raw == nil {
		return !isClosed(c.readable)
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

// close closes the connection. Nothing is lost with it, so an error doesn't matter.
func (c *heldConn) close() {
	_ = c.Conn.Close()
}
