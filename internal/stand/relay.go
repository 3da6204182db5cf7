package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
)

// Relay forwards TCP connections to a target. It can stop forwarding on the open connections without closing them.
type Relay struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is one forwarded connection: the connection accepted from the client and the connection to the target.
type relayedConn struct {
	mu     sync.Mutex
	silent bool
	ends   [2]net.Conn
}

// NewRelay returns a relay to the target address. It listens on a free loopback port.
func NewRelay(target string) (*Relay, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for relay: %w", err)
	}
	r := &Relay{
		ln:     ln,
		target: target,
	}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string {
	return r.ln.Addr().String()
}

// SilenceConns permanently stops forwarding on all current connections. Connections that are accepted later are forwarded. It returns the number of affected connections, including connections that were already closed.
func (r *Relay) SilenceConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	n := len(r.conns)
	r.conns = nil
	return n
}

// Close closes the listener. Connections that are open stay open.
func (r *Relay) Close() {
	// A close error is ignored: only tests use the relay, and they do not depend on a clean close of its listener.
	_ = r.ln.Close()
}

func (r *Relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			// The client observes that its connection was closed.
			_ = in.Close()
			continue
		}
		c := &relayedConn{
			ends: [2]net.Conn{in, out},
		}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.copy(out, in)
		go c.copy(in, out)
	}
}

// copy forwards bytes from src to dst until one end closes, and then closes both. On a silent connection it discards the bytes instead, and does not close the other end.
func (c *relayedConn) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, src)
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}
