package stand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/fault"
)

const headerTimeout = 5 * time.Second

// Endpoint is one stand-in on an address of its own that can be taken down and brought back.
type Endpoint struct {
	Name   string
	Faults *fault.Switch

	handler http.Handler

	mu     sync.Mutex
	addr   string
	server *http.Server
	ln     net.Listener
	// held keeps the port while the endpoint is down.
	held *port
}

func newEndpoint(name, addr string, faults *fault.Switch, handler http.Handler) *Endpoint {
	return &Endpoint{
		Name:    name,
		Faults:  faults,
		handler: handler,
		addr:    addr,
	}
}

// Addr returns the address that the endpoint listens on.
func (e *Endpoint) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Apply puts faults in force, and closes or opens the listener as they say.
func (e *Endpoint) Apply(f fault.Faults) error {
	e.Faults.Set(f)
	if f.Down {
		return e.down()
	}
	return e.open()
}

func (e *Endpoint) open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	if e.held != nil {
		e.held.release()
		e.held = nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp", e.addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", e.Name, err)
	}
	e.addr = ln.Addr().String()
	e.ln = ln
	e.server = &http.Server{
		Handler:           e.handler,
		ReadHeaderTimeout: headerTimeout,
	}
	go func(s *http.Server) {
		// Serve ends with the listener, which only Close does.
		_ = s.Serve(ln)
	}(e.server)
	return nil
}

// down closes the endpoint and keeps its port, so that a request meant for it reaches nobody else.
func (e *Endpoint) down() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.close(); err != nil || e.held != nil {
		return err
	}
	held, err := holdPort(e.addr)
	if err != nil {
		return fmt.Errorf("keep the port of %s: %w", e.Name, err)
	}
	e.held = held
	return nil
}

// Close ends the endpoint with all of its connections.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held != nil {
		e.held.release()
		e.held = nil
	}
	return e.close()
}

// close ends the server; the lock is held.
func (e *Endpoint) close() error {
	if e.server == nil {
		return nil
	}
	err := e.server.Close()
	// The server may not have begun to serve, and then does not know its listener.
	_ = e.ln.Close()
	e.server = nil
	if err != nil {
		return fmt.Errorf("close %s: %w", e.Name, err)
	}
	return nil
}
