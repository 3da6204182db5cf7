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

// Limits of the stand-in, in calls a second and bytes.
const (
	DefaultWrites = 400
	DefaultReads  = 2000
	maxBody       = 64 << 20
	maxList       = 1000
)

// Server speaks the platform's interface over HTTP.
type Server struct {
	Rows   *Rows
	Faults *fault.Switch

	writes *rate.Limiter
	reads  *rate.Limiter

	mu      sync.Mutex
	objects map[string][]byte
	hosts   plat.HostList
}

// Option changes a Server under construction.
type Option func(*Server)

// WithRates sets the writes and reads a second that the server takes.
func WithRates(writes, reads int) Option {
	return func(s *Server) {
		s.writes = rate.NewLimiter(rate.Limit(writes), max(1, writes/10))
		s.reads = rate.NewLimiter(rate.Limit(reads), max(1, reads/10))
	}
}

// New returns an empty platform that misbehaves as the switch says.
func New(faults *fault.Switch, opts ...Option) *Server {
	s := &Server{
		Rows:    NewRows(),
		Faults:  faults,
		objects: map[string][]byte{},
	}
	WithRates(DefaultWrites, DefaultReads)(s)
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetHosts replaces the host list; its version grows by one.
func (s *Server) SetHosts(hosts []plat.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = plat.HostList{
		Version: s.hosts.Version + 1,
		Hosts:   hosts,
	}
}

// Handler returns the platform's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/commit", s.commit)
	mux.HandleFunc("GET /v1/rows/{table}/{key}", s.row)
	mux.HandleFunc("GET /v1/rows/{table}", s.list)
	mux.HandleFunc("PUT /v1/objects/{key}", s.putObject)
	mux.HandleFunc("GET /v1/objects/{key}", s.object)
	mux.HandleFunc("GET /v1/hosts", s.hostList)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.misbehave(r.Context())
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) misbehave(ctx context.Context) {
	f := s.Faults.Get()
	if f.Frozen {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if f.SlowMS == 0 {
		return
	}
	select {
	case <-time.After(f.Slow()):
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// loseAnswer drops the connection after a write took effect.
func (s *Server) loseAnswer() {
	if s.Faults.Get().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if _, hit := s.Faults.Roll(1); hit {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	if !s.writes.Allow() {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	var txn plat.Txn
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	failed := s.Rows.Commit(txn)
	s.loseAnswer()
	if len(failed) > 0 {
		reply(w, http.StatusConflict, plat.Conflict{
			Failed: failed,
		})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) row(w http.ResponseWriter, r *http.Request) {
	if !s.allowRead(w) {
		return
	}
	row, ok := s.Rows.Get(r.PathValue("table"), r.PathValue("key"))
	if !ok {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, row)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.allowRead(w) {
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxList {
		limit = maxList
	}
	reply(w, http.StatusOK, plat.Rows{
		Rows: s.Rows.List(r.PathValue("table"), q.Get("prefix"), q.Get("after"), limit),
	})
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	if !s.writes.Allow() {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("key")] = data
	s.mu.Unlock()
	s.loseAnswer()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) object(w http.ResponseWriter, r *http.Request) {
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
	// A caller that has gone away needs no answer.
	_, _ = w.Write(data)
}

func (s *Server) hostList(w http.ResponseWriter, r *http.Request) {
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
	reply(w, http.StatusOK, list)
}

func (s *Server) allowRead(w http.ResponseWriter) bool {
	if s.reads.Allow() {
		return true
	}
	http.Error(w, "too many reads", http.StatusTooManyRequests)
	return false
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
