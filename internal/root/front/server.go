package front

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/front/tally"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/internal/setup"
)

// answerTime is the most time that a stopping host takes for the final responses of requests that have not ended by themselves.
const answerTime = time.Second

// idleTimeout is how long a caller's connection may be idle between requests.
const idleTimeout = 2 * time.Minute

// Server is the HTTP server for callers.
type Server struct {
	common.Deps
	http     *serve.Graceful
	reader   RequestReader
	service  *Service
	admitter *Admitter
	onLeave  func()
	notReady func() string
	bounds   serve.Option
}

// Option configures a Server.
type Option func(*Server)

// WithLeaveHook sets the function that notifies peers when this host starts to shut down.
func WithLeaveHook(f func()) Option {
	return func(s *Server) {
		s.onLeave = f
	}
}

// WithReady sets the function that returns why the host is not ready to serve, or "" if it is ready.
func WithReady(f func() string) Option {
	return func(s *Server) {
		s.notReady = f
	}
}

// WithBounds sets the bounds of what callers hold.
func WithBounds(conns *guard.Conns, memory *guard.Memory) Option {
	return func(s *Server) {
		s.bounds = serve.WithBounds(conns, memory)
	}
}

// New returns a server that accepts callers' requests on addr once Run is called.
func New(deps common.Deps, addr string, limits setup.Limits, active *watch.Active, admitter *Admitter, claims *claim.Manager, runner *chain.Runner, opts ...Option) *Server {
	deps = deps.WithPart("front")
	s := &Server{
		Deps: deps,
		reader: RequestReader{
			Deps:        deps,
			active:      active,
			maxBody:     limits.MaxBodyBytes,
			bodyTimeout: limits.BodyTimeout.D(),
		},
		service: &Service{
			Deps:     deps,
			admitter: admitter,
			claims:   claims,
			runner:   runner,
			tally:    tally.NewCounter(),
		},
		admitter: admitter,
		onLeave:  func() {},
		notReady: func() string { return "" },
		bounds:   func(*serve.Graceful) {},
	}
	for _, o := range opts {
		o(s)
	}
	s.http = serve.New(deps, addr, s.Handler(), serve.Limits{
		HeaderTimeout: limits.HeaderTimeout.D(),
		IdleTimeout:   idleTimeout,
		DrainWait:     limits.DrainWait.D(),
		DrainTimeout:  limits.DrainTimeout.D(),
		AnswerTime:    min(answerTime, limits.DrainTimeout.D()/4),
	}, serve.WithLeaveHook(func() { s.onLeave() }), serve.WithDrainHook(admitter.Drain), s.bounds)
	return s
}

// Name returns the name of the part in the supervision tree.
func (s *Server) Name() string {
	return "front"
}

// Addr returns the address that the server listens on, or "" if it is not listening yet.
func (s *Server) Addr() string {
	return s.http.Addr()
}

// Tally returns the counter of request outcomes.
func (s *Server) Tally() *tally.Counter {
	return s.service.tally
}

// Run serves requests until ctx ends. It then serves for another limits.DrainWait, so that the load balancer can notice
// that the host is leaving, and waits up to limits.DrainTimeout for the requests in flight.
func (s *Server) Run(ctx context.Context, up func()) error {
	if err := s.http.Run(ctx, up); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// unreadyReason returns why the load balancer should not send requests to this host, or "" if it should.
func (s *Server) unreadyReason() string {
	if s.http.Leaving() {
		return "leaving"
	}
	return s.notReady()
}
