package table

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
)

// Limits of the stand-in: calls per second, bytes of a request body, and rows in one response to a list call.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
	maxBodyBytes     = 64 << 20
	maxListRows      = 1000
)

// Server is a platform with its HTTP API.
type Server struct {
	Rows   *Rows
	Faults *fault.Switch

	writes *rate.Limiter
	reads  *rate.Limiter

	mu      sync.Mutex
	objects map[string][]byte
	hosts   plat.HostList
}

// Option configures a Server in New.
type Option func(*Server)

// WithRates sets how many writes and reads the server accepts per second. A burst may be a tenth of each.
func WithRates(writes, reads int) Option {
	return func(s *Server) {
		s.writes = rate.NewLimiter(rate.Limit(writes), max(1, writes/10))
		s.reads = rate.NewLimiter(rate.Limit(reads), max(1, reads/10))
	}
}

// New returns an empty platform that injects the faults of the switch.
func New(faults *fault.Switch, opts ...Option) *Server {
	s := &Server{
		Rows:    NewRows(),
		Faults:  faults,
		objects: map[string][]byte{},
	}
	WithRates(DefaultWriteRate, DefaultReadRate)(s)
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetHosts replaces the host list and increments its version.
func (s *Server) SetHosts(hosts []plat.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = plat.HostList{
		Version: s.hosts.Version + 1,
		Hosts:   hosts,
	}
}

// Handler returns the HTTP handler of the platform's API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/commit", s.commitTxn)
	mux.HandleFunc("GET /v1/rows/{table}/{key}", s.row)
	mux.HandleFunc("GET /v1/rows/{table}", s.listRows)
	mux.HandleFunc("PUT /v1/objects/{key}", s.putObject)
	mux.HandleFunc("GET /v1/objects/{key}", s.sendObject)
	mux.HandleFunc("GET /v1/hosts", s.sendHosts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.applyFaults(r.Context())
		mux.ServeHTTP(w, r)
	})
}

// applyFaults blocks until ctx ends if the platform is frozen, and delays slow calls.
func (s *Server) applyFaults(ctx context.Context) {
	f := s.Faults.Get()
	if f.Frozen {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if f.SlowMS == 0 {
		return
	}
	select {
	case <-time.After(f.Delay()):
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// dropResponseOnFault closes the connection of a write that took effect, if the LoseAnswers fault is active, or at random with the probability of the Chaos fault.
func (s *Server) dropResponseOnFault() {
	if s.Faults.Get().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if _, chaos := s.Faults.RollChaos(1); chaos {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) commitTxn(w http.ResponseWriter, r *http.Request) {
	if !s.writes.Allow() {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	var txn plat.Txn
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	failed := s.Rows.Commit(txn)
	s.dropResponseOnFault()
	if len(failed) > 0 {
		writeJSON(w, http.StatusConflict, plat.Conflict{
			Failed: failed,
		})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// row responds with one row.
func (s *Server) row(w http.ResponseWriter, r *http.Request) {
	if !s.allowRead(w) {
		return
	}
	row, ok := s.Rows.Get(r.PathValue("table"), r.PathValue("key"))
	if !ok {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	if !s.allowRead(w) {
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxListRows {
		limit = maxListRows
	}
	writeJSON(w, http.StatusOK, plat.Rows{
		Rows: s.Rows.List(r.PathValue("table"), q.Get("prefix"), q.Get("after"), limit),
	})
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	if !s.writes.Allow() {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("key")] = data
	s.mu.Unlock()
	s.dropResponseOnFault()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) sendObject(w http.ResponseWriter, r *http.Request) {
	if !s.allowRead(w) {
		return
	}
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	// A write error means that the client has disconnected and needs no response.
	_, _ = w.Write(data)
}

func (s *Server) sendHosts(w http.ResponseWriter, r *http.Request) {
	if !s.allowRead(w) {
		return
	}
	s.mu.Lock()
	list := s.hosts
	s.mu.Unlock()
	tag := strconv.Quote(strconv.FormatInt(list.Version, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) allowRead(w http.ResponseWriter) bool {
	if s.reads.Allow() {
		return true
	}
	http.Error(w, "too many reads", http.StatusTooManyRequests)
	return false
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(body)
}
