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
	// maxSummaryPeriod is the longest period that one summary may cover.
	maxSummaryPeriod = 24 * time.Hour
)

// Server is the HTTP server for operators.
type Server struct {
	*Service
	addr      string
	operators []setup.Operator
	boundAddr atomic.Pointer[string]
}

// New returns a server that listens on addr and accepts the tokens of the operators.
func New(service *Service, addr string, operators []setup.Operator) *Server {
	service.Deps = service.WithPart("admin")
	return &Server{
		Service:   service,
		addr:      addr,
		operators: operators,
	}
}

// Name returns the name of this part in the supervision tree.
func (s *Server) Name() string {
	return "admin"
}

// Addr returns the address that the server listens on, or "" before Run has opened the listener.
func (s *Server) Addr() string {
	if a := s.boundAddr.Load(); a != nil {
		return *a
	}
	return ""
}

// Run opens the listener, calls ready, and serves operators until ctx is done; it then waits up to shutdownTimeout for open requests.
func (s *Server) Run(ctx context.Context, ready func()) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	boundAddr := ln.Addr().String()
	s.boundAddr.Store(&boundAddr)
	srv := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	s.Log.Infof("Listening for operators on %s.", boundAddr)
	ready()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve operators: %w", err)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		return fmt.Errorf("stop serving operators: %w", err)
	}
	return nil
}

// Handler returns the handler for all paths of the operators' interface, the console included.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathConfig, s.requireRole(setup.Viewer, s.getConfig))
	mux.Handle("PUT "+PathConfig, s.requireRole(setup.Approver, s.putConfig))
	mux.Handle("GET "+PathHistory, s.requireRole(setup.Viewer, s.getHistory))
	mux.Handle("GET "+PathStatus, s.requireRole(setup.Viewer, s.getStatus))
	mux.Handle("GET "+PathUpstreams, s.requireRole(setup.Viewer, s.getUpstreams))
	mux.Handle("GET "+PathReport, s.requireRole(setup.Viewer, s.getReport))
	mux.Handle("GET "+PathSummary, s.requireRole(setup.Viewer, s.getSummary))
	mux.Handle("GET "+PathOrders, s.requireRole(setup.Viewer, s.getOrders))
	mux.Handle("/console/", s.console().Handler())
	mux.Handle("GET /{$}", http.RedirectHandler("/console/", http.StatusSeeOther))
	mux.Handle("GET /debug/vars", s.requireRole(setup.Viewer, func(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
		expvar.Handler().ServeHTTP(w, r)
	}))
	mux.Handle("GET /debug/pprof/profile", s.requireRole(setup.Approver, func(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
		pprof.Profile(w, r)
	}))
	mux.Handle("GET /debug/pprof/", s.requireRole(setup.Approver, func(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
		pprof.Index(w, r)
	}))
	return mux
}

// console returns the web console, which reads and changes the same service.
func (s *Server) console() *forms.Console {
	return forms.New(s.Deps, s.operators, s.Revisions, rand.Text,
		forms.WithStatus(func() any { return s.Status() }),
		forms.WithReport(func() any { return s.Report() }),
		forms.WithOnCommit(func(r config.Revision) { s.Active.PutIfNewer(r) }))
}

// operatorHandler handles the request of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator setup.Operator)

// requireRole calls h only for operators with the role or a higher one; it answers 401 to an unknown token and 403 to a lower role.
func (s *Server) requireRole(role setup.Role, h operatorHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := s.authenticate(r)
		if !ok {
			writeRefusal(w, http.StatusUnauthorized, Refusal{Reason: "Authorization must be Bearer and the token of an operator"})
			return
		}
		if !operator.Role.Includes(role) {
			writeRefusal(w, http.StatusForbidden, Refusal{Reason: fmt.Sprintf("%s is %s, and this takes %s", operator.Name, operator.Role, role)})
			return
		}
		h(w, r, operator)
	})
}

// authenticate returns the operator whose token is in the Authorization header.
func (s *Server) authenticate(r *http.Request) (setup.Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return setup.Operator{}, false
	}
	sum := config.HashToken(token)
	for _, o := range s.operators {
		if o.KeySHA256 == sum {
			return o, true
		}
	}
	return setup.Operator{}, false
}

// getConfig answers with the newest revision in the table service, or with the revision in force on this host if the table service cannot be read.
func (s *Server) getConfig(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
	rev, err := s.Revisions.Newest(r.Context())
	if err == nil {
		writeJSON(w, http.StatusOK, rev)
		return
	}
	if current, ok := s.Active.Current(); ok {
		writeJSON(w, http.StatusOK, current)
		return
	}
	writeError(w, err)
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request, operator setup.Operator) {
	var c Change
	if err := json.NewDecoder(io.LimitReader(r.Body, maxChangeBytes)).Decode(&c); err != nil {
		writeRefusal(w, http.StatusBadRequest, Refusal{Reason: err.Error()})
		return
	}
	result, err := s.Apply(r.Context(), operator.Name, c)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
	revs, err := s.Revisions.History(r.Context(), maxHistory)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, History{Revisions: revs})
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request, _ setup.Operator) {
	writeJSON(w, http.StatusOK, s.Status())
}

func (s *Server) getUpstreams(w http.ResponseWriter, _ *http.Request, _ setup.Operator) {
	writeJSON(w, http.StatusOK, s.Upstreams())
}

func (s *Server) getReport(w http.ResponseWriter, _ *http.Request, _ setup.Operator) {
	writeJSON(w, http.StatusOK, s.Report())
}

// getSummary answers with the summary of one period, which ends now. The query parameter "for" is the length of the period, and "account" selects the client account.
func (s *Server) getSummary(w http.ResponseWriter, r *http.Request, _ setup.Operator) {
	period, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || period <= 0 || period > maxSummaryPeriod {
		writeRefusal(w, http.StatusBadRequest, Refusal{Reason: fmt.Sprintf("for must be a duration above 0 and at most %s", maxSummaryPeriod)})
		return
	}
	sum, err := s.Summary(r.Context(), period, r.URL.Query().Get("account"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, sum)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request, _ setup.Operator) {
	writeJSON(w, http.StatusOK, Orders{
		Host:  s.Host,
		Pools: s.Orders.Progress(),
	})
}

// writeError answers 422 for an invalid document, 409 for a lost race, 404 if there is no configuration, and 503 for any other error, such as an unreachable store.
func writeError(w http.ResponseWriter, err error) {
	var invalid *strict.Error
	var staleErr *watch.StaleBaseError
	switch {
	case errors.As(err, &invalid):
		writeRefusal(w, http.StatusUnprocessableEntity, Refusal{
			Reason: invalid.Error(),
			Faults: invalid.Faults,
		})
	case errors.As(err, &staleErr):
		writeRefusal(w, http.StatusConflict, Refusal{
			Reason: staleErr.Error(),
			Winner: &staleErr.Winner,
		})
	case errors.Is(err, watch.ErrNoRevision):
		writeRefusal(w, http.StatusNotFound, Refusal{Reason: err.Error()})
	default:
		writeRefusal(w, http.StatusServiceUnavailable, Refusal{Reason: err.Error()})
	}
}

func writeRefusal(w http.ResponseWriter, status int, r Refusal) {
	writeJSON(w, status, r)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error is ignored: it means that the operator has disconnected and can send the request again.
	_ = json.NewEncoder(w).Encode(body)
}
