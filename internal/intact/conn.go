package intact

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is the kernel's number for the state of a socket without a connection.
const stateClosed = 7

// ErrReset reports that a connection did not end in order, although a read could have taken it for ended.
var ErrReset = errors.New("connection was reset")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a function that opens connections whose reset is never read as their end.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		return NewConn(c), nil
	}
}

// Conn is a connection whose reset is never read as its end. The kernel reports a reset to one call only: if that is a write, the reads beside it find the connection ended without an error.
type Conn struct {
	net.Conn
	socket syscall.RawConn

	// writing is held during each write.
	writing  sync.Mutex
	writeErr error

	mu sync.Mutex
	// end is what every read returns after the first failure.
	end error
}

// NewConn returns the connection with resets kept apart from ends. One that is no socket of this host is returned as it is.
func NewConn(c net.Conn) net.Conn {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	socket, err := sys.SyscallConn()
	if err != nil {
		return c
	}
	return &Conn{
		Conn:   c,
		socket: socket,
	}
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	// The error is passed on as it is, since callers look for the types of package net.
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the peer has ended the connection in order, and ErrReset if it has not, though the kernel reports an end.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.ended(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.setEnd(err)
	}
	// The error is passed on as it is, since io.EOF has a meaning of its own.
	return n, err
}

func (c *Conn) ended() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

func (c *Conn) setEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == nil {
		c.end = err
	}
}

// endError returns io.EOF if the peer has ended the connection in order, as its state shows. A closed socket was reset, or has timed out, unless the peer had ended it in order before: the kernel then reports a broken pipe.
func (c *Conn) endError() error {
	state, pending, err := c.inspect()
	if err != nil {
		return fmt.Errorf("%w: its state is not known: %w", ErrReset, err)
	}
	if state != stateClosed {
		return io.EOF
	}
	if pending != nil {
		return orderOf(pending)
	}
	// The write that got the error may not have returned yet.
	c.writing.Lock()
	defer c.writing.Unlock()
	return orderOf(c.writeErr)
}

// orderOf returns io.EOF for the error of a connection that its peer had ended in order before, and ErrReset for any other and none.
func orderOf(err error) error {
	switch {
	case errors.Is(err, syscall.EPIPE):
		return io.EOF
	case err == nil:
		return ErrReset
	default:
		return fmt.Errorf("%w: %w", ErrReset, err)
	}
}

// inspect returns the state of the socket and the error that the kernel has not reported yet, or nil.
func (c *Conn) inspect() (state uint8, pending, err error) {
	var info *unix.TCPInfo
	var infoErr, optErr error
	var number int
	err = c.socket.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		number, optErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	if err = errors.Join(err, infoErr, optErr); err != nil {
		return 0, nil, fmt.Errorf("inspect socket: %w", err)
	}
	if number != 0 {
		pending = syscall.Errno(number)
	}
	return info.State, pending, nil
}

// Socket returns the socket below a connection that wraps others, or false if there is none.
func Socket(c net.Conn) (syscall.Conn, bool) {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	sys, ok := c.(syscall.Conn)
	return sys, ok
}
