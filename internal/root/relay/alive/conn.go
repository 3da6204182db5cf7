package alive

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// secondLook is the last part of the time in which nothing may arrive. A process that was suspended reads what has arrived meanwhile, and what comes in answer to its own ping.
const secondLook = 400 * time.Millisecond

// Conn is a connection that is lost once nothing has arrived on it for a while. Something must be sent that the other end answers, such as pings. Its read deadlines are its own.
type Conn struct {
	net.Conn
	silence time.Duration
}

// New returns the connection, which is lost once nothing arrives for as long as silence.
func New(c net.Conn, silence time.Duration) *Conn {
	return &Conn{
		Conn:    c,
		silence: silence,
	}
}

// Read reads from the connection. It fails once nothing has arrived for too long.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.readWithin(b, c.silence-secondLook)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readWithin(b, secondLook)
	}
	return n, err
}

func (c *Conn) readWithin(b []byte, d time.Duration) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	// The error of a connection is passed on as it is, since io.EOF has a meaning of its own.
	return c.Conn.Read(b)
}

// Dial is a function that opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a function that opens connections by dial, which are lost once nothing arrives for as long as silence.
func Dialer(dial Dial, silence time.Duration) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("open connection: %w", err)
		}
		return New(c, silence), nil
	}
}

// listener accepts connections that are lost once nothing arrives for a while.
type listener struct {
	net.Listener
	silence time.Duration
}

// Listen returns a listener whose connections are lost once nothing arrives for as long as silence.
func Listen(ln net.Listener, silence time.Duration) net.Listener {
	return &listener{
		Listener: ln,
		silence:  silence,
	}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		// The server looks at the type of the error, so it is passed on as it is.
		return nil, err
	}
	return New(c, l.silence), nil
}
