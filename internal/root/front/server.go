package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/front/tally"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/setup"
)

// idleTimeout is how long a caller's connection may stay without a request.
const idleTimeout = 2 * time.Minute

// Server listens to callers.
type Server struct {
	common.Deps
	addr     string
	limits   setup.Limits
	intake   Intake
	service  *Service
	admitter *Admitter
	onLeave  func()
	notYet   func() string
	leaving  atomic.Bool
	bound    atomic.Pointer[string]
}

// Option changes a Server under construction.
type Option func(*Server)

// WithLeave sets a function that tells peers that this host is leaving.
func WithLeave(f func()) Option {
	return func(s *Server) {
		s.onLeave = f
	}
}

// WithReady sets a function that says why the host cannot serve yet, or "".
func WithReady(f func() string) Option {
	return func(s *Server) {
		s.notYet = f
	}
}

// New returns a server for callers on the address.
func New(deps common.Deps, addr string, limits setup.Limits, holder *watch.Holder, admitter *Admitter, keeper *claim.Keeper, runner *chain.Runner, opts ...Option) *Server {
	deps = deps.WithPart("front")
	s := &Server{
		Deps:   deps,
		addr:   addr,
		limits: limits,
		intake: Intake{
			Deps:        deps,
			holder:      holder,
			maxBody:     limits.MaxBodyBytes,
			bodyTimeout: limits.BodyTimeout.D(),
		},
		service: &Service{
			Deps:     deps,
			admitter: admitter,
			keeper:   keeper,
			runner:   runner,
			tally:    tally.NewCounter(),
		},
		admitter: admitter,
		onLeave:  func() {},
		notYet:   func() string { return "" },
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Name is the part's name in the supervision tree.
func (s *Server) Name() string {
	return "front"
}

// Addr returns the address that the server listens on, or "" before it does.
func (s *Server) Addr() string {
	if a := s.bound.Load(); a != nil {
		return *a
	}
	return ""
}

// Tally returns the counts of outcomes.
func (s *Server) Tally() *tally.Counter {
	return s.service.tally
}

// Run listens until ctx ends, then goes on until the balancer has seen that the host is leaving, and lets every request in flight end.
func (s *Server) Run(ctx context.Context, up func()) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen to callers: %w", err)
	}
	bound := ln.Addr().String()
	s.bound.Store(&bound)
	srv := &http.Server{
		Handler:           s.closing(s.Handler()),
		ReadHeaderTimeout: s.limits.HeaderTimeout.D(),
		IdleTimeout:       idleTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	s.Log.Infof("Listening to callers on %s.", bound)
	up()
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	return s.drain(srv)
}

// closing tells callers of a leaving host to send their next request over another connection.
func (s *Server) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) drain(srv *http.Server) error {
	s.leaving.Store(true)
	s.onLeave()
	s.Log.Infof("Leaving. Serving for %s more.", s.limits.DrainWait)
	time.Sleep(s.limits.DrainWait.D())
	s.admitter.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), s.limits.DrainTimeout.D())
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			s.Log.Warn("Stopped with requests in flight.")
		}
		return fmt.Errorf("drain callers: %w", err)
	}
	return nil
}

// unready says why the balancer should send nothing here, or "".
func (s *Server) unready() string {
	if s.leaving.Load() {
		return "leaving"
	}
	return s.notYet()
}
