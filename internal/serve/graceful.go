package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Limits bounds what a peer may take and how long a stop may take.
type Limits struct {
	// HeaderTimeout is how long a peer may take to send the headers, and IdleTimeout how long a connection may stay without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// HeaderBytes bounds the headers, or 0 for the default of net/http.
	HeaderBytes int
	// DrainWait is how long a stopping server goes on taking requests, and DrainTimeout how long it then waits for those in flight.
	DrainWait    time.Duration
	DrainTimeout time.Duration
}

// Graceful is an HTTP server that goes on until the balancer has seen that it is leaving, and lets every request in flight end.
type Graceful struct {
	common.Deps
	addr    string
	handler http.Handler
	limits  Limits
	// onLeave is called as the stop begins, and onDrain as no more requests are taken.
	onLeave func()
	onDrain func()
	leaving atomic.Bool
	bound   atomic.Pointer[string]
}

// Option changes a Graceful under construction.
type Option func(*Graceful)

// WithLeave sets a function that is called as a stop begins.
func WithLeave(f func()) Option {
	return func(g *Graceful) {
		g.onLeave = f
	}
}

// WithDrain sets a function that is called once a stopping server takes no more requests.
func WithDrain(f func()) Option {
	return func(g *Graceful) {
		g.onDrain = f
	}
}

// New returns a server on the address.
func New(deps common.Deps, addr string, handler http.Handler, limits Limits, opts ...Option) *Graceful {
	g := &Graceful{
		Deps:    deps,
		addr:    addr,
		handler: handler,
		limits:  limits,
		onLeave: func() {},
		onDrain: func() {},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Addr returns the address that the server listens on, or "" before it does and after it failed.
func (g *Graceful) Addr() string {
	if a := g.bound.Load(); a != nil {
		return *a
	}
	return ""
}

// Leaving reports whether the server is stopping.
func (g *Graceful) Leaving() bool {
	return g.leaving.Load()
}

// Run serves until ctx ends and the requests in flight have ended.
func (g *Graceful) Run(ctx context.Context, up func()) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", g.addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", g.addr, err)
	}
	bound := ln.Addr().String()
	g.bound.Store(&bound)
	srv := &http.Server{
		Handler:           g.closing(g.handler),
		ReadHeaderTimeout: g.limits.HeaderTimeout,
		IdleTimeout:       g.limits.IdleTimeout,
		MaxHeaderBytes:    g.limits.HeaderBytes,
		// The handler answers every request, as no success may be this host's own.
		DisableGeneralOptionsHandler: true,
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	g.Log.Infof("Listening on %s.", bound)
	up()
	select {
	case err := <-failed:
		g.bound.Store(nil)
		return fmt.Errorf("serve on %s: %w", bound, err)
	case <-ctx.Done():
	}
	return g.drain(srv)
}

// closing tells the callers of a leaving host to send their next request over another connection.
func (g *Graceful) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (g *Graceful) drain(srv *http.Server) error {
	g.leaving.Store(true)
	g.onLeave()
	g.Log.Infof("Leaving. Serving for %s more.", g.limits.DrainWait)
	time.Sleep(g.limits.DrainWait)
	g.onDrain()
	ctx, cancel := context.WithTimeout(context.Background(), g.limits.DrainTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			g.Log.Warn("Stopped with requests in flight.")
		}
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}
