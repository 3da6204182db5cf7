package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
)

// Relay stands between two ends of TCP connections, and can lose track of those that are open.
type Relay struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	conns []*relayed
}

// relayed is one connection through a relay.
type relayed struct {
	mu     sync.Mutex
	silent bool
	ends   [2]net.Conn
}

// NewRelay returns a relay to the address that listens on a port of its own.
func NewRelay(to string) (*Relay, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for relay: %w", err)
	}
	r := &Relay{
		ln: ln,
		to: to,
	}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string {
	return r.ln.Addr().String()
}

// Forget makes every open connection silent for good, while new ones work, and returns how many there were.
func (r *Relay) Forget() int {
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

// Close ends the relay.
func (r *Relay) Close() {
	// Nothing depends on how a listener of a test closes.
	_ = r.ln.Close()
}

func (r *Relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			// The other end sees that its connection is closed.
			_ = in.Close()
			continue
		}
		c := &relayed{
			ends: [2]net.Conn{in, out},
		}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.copy(out, in)
		go c.copy(in, out)
	}
}

// copy passes bytes on until an end closes; a silent connection swallows them, and hides that an end closed.
func (c *relayed) copy(dst, src net.Conn) {
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
