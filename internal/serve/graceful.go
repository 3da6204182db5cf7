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
	"github.com/cornelwing/cornelwing/internal/guard"
)

// Limits bounds the time and header size that a client may use, and the duration of a graceful stop.
type Limits struct {
	// HeaderTimeout is the time that a client has to send the request headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// HeaderBytes is the maximum size of the request headers. 0 selects the default of net/http.
	HeaderBytes int
	// DrainWait is the time for which a stopping server still accepts requests, so that the load balancer can remove it.
	DrainWait time.Duration
	// DrainTimeout is the time that the server then waits for requests in flight.
	DrainTimeout time.Duration
	// AnswerTime is the last part of DrainTimeout, for the final responses of requests that have not ended by themselves.
	AnswerTime time.Duration
}

// Graceful is an HTTP server with a two-step stop. It first accepts requests for DrainWait, so that the load balancer notices that it is leaving. It then waits up to DrainTimeout for requests in flight, which learn from their Stop by when they must end.
type Graceful struct {
	common.Deps
	addr    string
	handler http.Handler
	limits  Limits
	// onLeave is called when the stop begins.
	onLeave func()
	// onDrain is called after DrainWait, before new requests are rejected.
	onDrain func()
	// conns and memory bound what clients hold, if they are set.
	conns      *guard.Conns
	memory     *guard.Memory
	leaving    atomic.Bool
	stop       *Stop
	listenAddr atomic.Pointer[string]
}

// Option changes a Graceful under construction.
type Option func(*Graceful)

// WithLeaveHook sets a function that is called when a stop begins, while requests are still accepted.
func WithLeaveHook(f func()) Option {
	return func(g *Graceful) {
		g.onLeave = f
	}
}

// WithDrainHook sets a function that is called when DrainWait has passed, just before the listener is closed.
func WithDrainHook(f func()) Option {
	return func(g *Graceful) {
		g.onDrain = f
	}
}

// WithBounds bounds the connections of clients, and the memory that the host holds for them unless memory is nil.
func WithBounds(conns *guard.Conns, memory *guard.Memory) Option {
	return func(g *Graceful) {
		g.conns = conns
		g.memory = memory
	}
}

// New returns a server that will listen on addr, a TCP address, once Run is called.
func New(deps common.Deps, addr string, handler http.Handler, limits Limits, opts ...Option) *Graceful {
	g := &Graceful{
		Deps:    deps,
		addr:    addr,
		handler: handler,
		limits:  limits,
		onLeave: func() {},
		onDrain: func() {},
		stop:    NewStop(),
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Addr returns the address that the server listens on. It is "" before the server listens and after serving has failed.
func (g *Graceful) Addr() string {
	if a := g.listenAddr.Load(); a != nil {
		return *a
	}
	return ""
}

// Leaving reports whether a stop has begun.
func (g *Graceful) Leaving() bool {
	return g.leaving.Load()
}

// Run serves requests until ctx ends, then stops gracefully. It calls up() once the server listens. It returns an error if the address is not available, serving fails, or requests are still in flight after DrainTimeout.
func (g *Graceful) Run(ctx context.Context, up func()) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", g.addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", g.addr, err)
	}
	listenAddr := ln.Addr().String()
	g.listenAddr.Store(&listenAddr)
	srv := &http.Server{
		Handler:           g.withConnectionClose(g.handler),
		ReadHeaderTimeout: g.limits.HeaderTimeout,
		IdleTimeout:       g.limits.IdleTimeout,
		MaxHeaderBytes:    g.limits.HeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return WithStop(context.Background(), g.stop) },
		// net/http must not answer OPTIONS * itself: only the handler may answer a request with success.
		DisableGeneralOptionsHandler: true,
	}
	if g.conns != nil {
		ln = &gate{
			Listener: ln,
			conns:    g.conns,
			memory:   g.memory,
		}
		srv.Handler = trackRequests(srv.Handler)
		srv.ConnContext = withConn
		srv.ConnState = onState
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	g.Log.Infof("Listening on %s.", listenAddr)
	up()
	select {
	case err := <-serveErr:
		g.listenAddr.Store(nil)
		return fmt.Errorf("serve on %s: %w", listenAddr, err)
	case <-ctx.Done():
	}
	return g.drain(srv)
}

// withConnectionClose adds "Connection: close" to the responses of a stopping server, so that clients open their next connection to another host.
func (g *Graceful) withConnectionClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (g *Graceful) drain(srv *http.Server) error {
	g.leaving.Store(true)
	if g.limits.AnswerTime > 0 {
		g.stop.Begin(time.Now().Add(g.limits.DrainWait + g.limits.DrainTimeout - g.limits.AnswerTime))
	}
	g.onLeave()
	g.Log.Infof("Stop requested. Still accepting requests for %s.", g.limits.DrainWait)
	time.Sleep(g.limits.DrainWait)
	g.onDrain()
	ctx, cancel := context.WithTimeout(context.Background(), g.limits.DrainTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			g.Log.Warn("Drain timeout expired with requests in flight.")
		}
		return fmt.Errorf("drain requests in flight: %w", err)
	}
	return nil
}
