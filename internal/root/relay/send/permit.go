package send

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrPermitExpired is returned if the permit for a request has expired before its first byte was sent.
var ErrPermitExpired = errors.New("permit has expired")

// permitKey is the key of the function in a context that spends the permit.
type permitKey struct{}

// WithPermit returns a context for one request that is only sent if spend returns true just before its first byte. The connection must come from GuardDial.
func WithPermit(ctx context.Context, spend func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, spend)
}

// GuardDial returns a dial function whose connections send nothing after the permit in their context has expired.
func GuardDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		spend, ok := ctx.Value(permitKey{}).(func() bool)
		if err != nil || !ok {
			return c, err
		}
		return &guardedConn{
			Conn:     c,
			mayWrite: sync.OnceValue(spend),
		}, nil
	}
}

// guardedConn is a connection for one request with a permit.
type guardedConn struct {
	net.Conn
	// mayWrite spends the permit when it is first called.
	mayWrite func() bool
}

// NetConn returns the connection that c wraps.
func (c *guardedConn) NetConn() net.Conn {
	return c.Conn
}

// Write writes to the connection, or returns ErrPermitExpired if the permit had expired at the first write.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.mayWrite() {
		return 0, ErrPermitExpired
	}
	return c.Conn.Write(b)
}
