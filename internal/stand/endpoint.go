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

// Endpoint is one stand-in with an address of its own. It can be taken down and reopened on the same address.
type Endpoint struct {
	Name   string
	Faults *fault.Switch

	handler http.Handler

	mu     sync.Mutex
	addr   string
	server *http.Server
	ln     net.Listener
	// reservation reserves the port while the endpoint is down, and is nil otherwise.
	reservation *portReservation
}

func newEndpoint(name, addr string, faults *fault.Switch, handler http.Handler) *Endpoint {
	return &Endpoint{
		Name:    name,
		Faults:  faults,
		handler: handler,
		addr:    addr,
	}
}

// Addr returns the address that the endpoint listens on. If its port was set to 0, the address is final only after the first listen.
func (e *Endpoint) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Apply replaces the active faults, and closes or opens the listener depending on f.Down.
func (e *Endpoint) Apply(f fault.Faults) error {
	e.Faults.Set(f)
	if f.Down {
		return e.takeDown()
	}
	return e.open()
}

func (e *Endpoint) open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	if e.reservation != nil {
		e.reservation.release()
		e.reservation = nil
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
		// Serve returns only after the server or its listener was closed, so its error is ignored.
		_ = s.Serve(ln)
	}(e.server)
	return nil
}

// takeDown closes the endpoint and reserves its port, so that requests to the endpoint can't reach another server.
func (e *Endpoint) takeDown() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.close(); err != nil || e.reservation != nil {
		return err
	}
	reservation, err := reservePort(e.addr)
	if err != nil {
		return fmt.Errorf("keep the port of %s: %w", e.Name, err)
	}
	e.reservation = reservation
	return nil
}

// Close closes the endpoint with all of its connections, and releases its port.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reservation != nil {
		e.reservation.release()
		e.reservation = nil
	}
	return e.close()
}

// close closes the server. The caller holds mu.
func (e *Endpoint) close() error {
	if e.server == nil {
		return nil
	}
	err := e.server.Close()
	// Closes the listener as well: if the goroutine has not called Serve yet, the server does not know the listener and has not closed it.
	_ = e.ln.Close()
	e.server = nil
	if err != nil {
		return fmt.Errorf("close %s: %w", e.Name, err)
	}
	return nil
}
