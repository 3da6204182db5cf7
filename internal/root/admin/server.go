package admin

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/admin/forms"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	maxChangeBytes  = 16 << 20
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
	// maxSummary bounds the time that one summary covers.
	maxSummary = 24 * time.Hour
)

// Server listens to operators.
type Server struct {
	*Service
	addr      string
	operators []setup.Operator
	bound     atomic.Pointer[string]
}

// New returns a server for operators on the address.
func New(service *Service, addr string, operators []setup.Operator) *Server {
	service.Deps = service.WithPart("admin")
	return &Server{
		Service:   service,
		addr:      addr,
		operators: operators,
	}
}

// Name is the part's name in the supervision tree.
func (s *Server) Name() string {
	return "admin"
}

// Addr returns the address that the server listens on, or "" before it does.
func (s *Server) Addr() string {
	if a := s.bound.Load(); a != nil {
		return *a
	}
	return ""
}

// Run listens until ctx ends.
func (s *Server) Run(ctx context.Context, up func()) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen to operators: %w", err)
	}
	bound := ln.Addr().String()
	s.bound.Store(&bound)
	srv := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	s.Log.Infof("Listening to operators on %s.", bound)
	up()
	select {
	case err := <-failed:
		return fmt.Errorf("serve operators: %w", err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		return fmt.Errorf("stop serving operators: %w", err)
	}
	return nil
}

// Handler returns the operators' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathConfig, s.allow(setup.Viewer, s.getConfig))
	mux.Handle("PUT "+PathConfig, s.allow(setup.Approver, s.putConfig))
	mux.Handle("GET "+PathHistory, s.allow(setup.Viewer, s.getHistory))
	mux.Handle("GET "+PathStatus, s.allow(setup.Viewer, s.getStatus))
	mux.Handle("GET "+PathUpstreams, s.allow(setup.Viewer, s.getUpstreams))
	mux.Handle("GET "+PathReport, s.allow(setup.Viewer, s.getReport))
	mux.Handle("GET "+PathSummary, s.allow(setup.Viewer, s.getSummary))
	mux.Handle("GET "+PathOrders, s.allow(setup.Viewer, s.getOrders))
	mux.Handle("/console/", s.console().Handler())
	mux.Handle("GET /{$}", http.RedirectHandler("/console/", http.StatusSeeOther))
	mux.Handle("GET /debug/vars", s.allow(setup.Viewer, func(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
		expvar.Handler().ServeHTTP(w, r)
	}))
	mux.Handle("GET /debug/pprof/profile", s.allow(setup.Approver, func(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
		pprof.Profile(w, r)
	}))
	mux.Handle("GET /debug/pprof/", s.allow(setup.Approver, func(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
		pprof.Index(w, r)
	}))
	return mux
}

// console returns the forms over the same service.
func (s *Server) console() *forms.Console {
	return forms.New(s.Deps, s.operators, s.Revisions, rand.Text,
		forms.WithStatus(func() any { return s.Status() }),
		forms.WithReport(func() any { return s.Report() }),
		forms.WithOffer(func(r config.Revision) { s.Holder.Offer(r) }))
}

type handler func(w http.ResponseWriter, r *http.Request, who setup.Operator)

// allow lets only operators of the role or a higher one through.
func (s *Server) allow(role setup.Role, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		who, ok := s.operator(r)
		if !ok {
			refuse(w, http.StatusUnauthorized, Refusal{Reason: "Authorization must be Bearer and the token of an operator"})
			return
		}
		if !who.Role.Has(role) {
			refuse(w, http.StatusForbidden, Refusal{Reason: fmt.Sprintf("%s is %s, and this takes %s", who.Name, who.Role, role)})
			return
		}
		h(w, r, who)
	})
}

func (s *Server) operator(r *http.Request) (setup.Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return setup.Operator{}, false
	}
	sum := config.HashKey(token)
	for _, o := range s.operators {
		if o.KeySHA256 == sum {
			return o, true
		}
	}
	return setup.Operator{}, false
}

// getConfig reads the newest revision from the table service, or the one in force here while that is out.
func (s *Server) getConfig(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
	rev, err := s.Revisions.Newest(r.Context())
	if err == nil {
		reply(w, http.StatusOK, rev)
		return
	}
	if held, ok := s.Holder.Current(); ok {
		reply(w, http.StatusOK, held)
		return
	}
	fail(w, err)
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request, who setup.Operator) {
	var c Change
	if err := json.NewDecoder(io.LimitReader(r.Body, maxChangeBytes)).Decode(&c); err != nil {
		refuse(w, http.StatusBadRequest, Refusal{Reason: err.Error()})
		return
	}
	done, err := s.Apply(r.Context(), who.Name, c)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, done)
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
	revs, err := s.Revisions.History(r.Context(), maxHistory)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, History{Revisions: revs})
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request, _ setup.Operator) {
	reply(w, http.StatusOK, s.Status())
}

func (s *Server) getUpstreams(w http.ResponseWriter, _ *http.Request, _ setup.Operator) {
	reply(w, http.StatusOK, s.Upstreams())
}

func (s *Server) getReport(w http.ResponseWriter, _ *http.Request, _ setup.Operator) {
	reply(w, http.StatusOK, s.Report())
}

// getSummary takes the length of the time and the account from the query.
func (s *Server) getSummary(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
	length, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || length <= 0 || length > maxSummary {
		refuse(w, http.StatusBadRequest, Refusal{Reason: fmt.Sprintf("for must be a duration above 0 and at most %s", maxSummary)})
		return
	}
	sum, err := s.Summary(r.Context(), length, r.URL.Query().Get("account"))
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, sum)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request, _ setup.Operator) {
	reply(w, http.StatusOK, Orders{
		Host:  s.Host,
		Pools: s.Orders.Progress(),
	})
}

// fail tells the operator's own mistakes from a race and from a store that is out.
func fail(w http.ResponseWriter, err error) {
	var faults *strict.Error
	var race *watch.RaceError
	switch {
	case errors.As(err, &faults):
		refuse(w, http.StatusUnprocessableEntity, Refusal{
			Reason: faults.Error(),
			Faults: faults.Faults,
		})
	case errors.As(err, &race):
		refuse(w, http.StatusConflict, Refusal{
			Reason: race.Error(),
			Winner: &race.Winner,
		})
	case errors.Is(err, watch.ErrNone):
		refuse(w, http.StatusNotFound, Refusal{Reason: err.Error()})
	default:
		refuse(w, http.StatusServiceUnavailable, Refusal{Reason: err.Error()})
	}
}

func refuse(w http.ResponseWriter, status int, r Refusal) {
	reply(w, status, r)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator who has gone away can ask again.
	_ = json.NewEncoder(w).Encode(body)
}
