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

// trackRequests lets the connections know which part of a request or response they carry.
func trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.beginResponse(r.Method)
		c.serve(h, w, r)
		// A handler that panics breaks its response off.
		c.endResponse()
	})
}

// serve runs the handler and tracks the body of the request.
func (c *conn) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
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
