package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/guard"
)

// gate is a listener that bounds its connections and what they hold.
type gate struct {
	net.Listener
	conns  *guard.Conns
	memory *guard.Memory
}

// Accept returns the next connection that may stay open.
func (g *gate) Accept() (net.Conn, error) {
	for {
		nc, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(nc, g)
		if g.conns.Admit(c) {
			return c, nil
		}
		// An error means that the client has closed it already.
		_ = nc.Close()
	}
}

// trackRequests lets the connections know which part of a request they carry.
func trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		hasBody := r.ContentLength != 0
		c.beginRequest(hasBody)
		if !hasBody {
			h.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{
			ReadCloser: r.Body,
			conn:       c,
		}
		r.Body = body
		h.ServeHTTP(w, r)
		if !body.whole {
			// net/http waits for the rest of the body before it sends the response. An error means that the connection is closed.
			_ = c.SetReadDeadline(time.Now().Add(restTimeout))
		}
	})
}

// resetIncomplete makes the connections of HTTP/1.0 requests end with a reset until their handlers have returned. Such a response may have nothing but the end of the connection to mark its own, and an end in order would make a part of it look whole.
func resetIncomplete(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil || r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		c.beginIncomplete()
		h.ServeHTTP(w, r)
		// A handler that panics leaves an incomplete response.
		c.endIncomplete()
	})
}

// trackedBody notices the end of a body.
type trackedBody struct {
	io.ReadCloser
	conn  *conn
	whole bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.whole {
		b.whole = true
		b.conn.arrived()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, fmt.Errorf("read from client: %w", err)
	}
	return n, err
}

// onState ends the request of a connection that has become idle.
func onState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && s == http.StateIdle {
		c.endRequest()
	}
}
