package rows

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Fault is a way in which a listener of the store fails.
type Fault int32

// The faults.
const (
	// None serves every call.
	None Fault = iota
	// Busy refuses every call with 503, and Limited with 429.
	Busy
	Limited
	// Silent accepts calls and never answers, and Reset closes their connections.
	Silent
	Reset
	// LoseAnswers does what is asked and closes the connection.
	LoseAnswers
)

// pageLimit is how many rows one answer holds at the most.
const pageLimit = 500

// Listener is one address of the store; each host can be given its own, so that it fails for that host alone.
type Listener struct {
	store *Store
	fault atomic.Int32
	http  *http.Server
	addr  string
}

// Listen opens an address of the store.
func (s *Store) Listen() (*Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	l := &Listener{
		store: s,
		addr:  ln.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", l.tx)
	mux.HandleFunc("GET /v1/rows-get", l.get)
	mux.HandleFunc("GET /v1/rows-feed", l.feed)
	l.http = &http.Server{
		Handler:           l.failing(mux),
		ReadHeaderTimeout: time.Second,
	}
	// Serve ends when the listener is closed.
	go func() { _ = l.http.Serve(ln) }()
	return l, nil
}

// Addr returns the address.
func (l *Listener) Addr() string {
	return l.addr
}

// Close ends every connection and closes the address.
func (l *Listener) Close() error {
	if err := l.http.Close(); err != nil {
		return fmt.Errorf("close the store's listener: %w", err)
	}
	return nil
}

// Fail switches the fault.
func (l *Listener) Fail(f Fault) {
	l.fault.Store(int32(f))
}

func (l *Listener) failing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.store.mu.Lock()
		l.store.calls++
		l.store.mu.Unlock()
		switch Fault(l.fault.Load()) {
		case Busy:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case Limited:
			http.Error(w, "limited", http.StatusTooManyRequests)
		case Silent:
			<-r.Context().Done()
		case Reset:
			panic(http.ErrAbortHandler)
		case LoseAnswers:
			h.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// discard drops an answer.
type discard struct {
	header http.Header
}

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

type answer struct {
	Rows []Row `json:"rows,omitempty"`
	More bool  `json:"has_more,omitempty"`
	Ver  int64 `json:"ver"`
	Now  int64 `json:"now_ms"`
}

func (l *Listener) reply(w http.ResponseWriter, status int, a answer) {
	a.Now = time.Since(l.store.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(a)
}

func (l *Listener) tx(w http.ResponseWriter, r *http.Request) {
	var tx Tx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range append(tx.Puts, tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
	}
	if failed := l.store.Run(tx); failed != nil {
		l.reply(w, http.StatusPreconditionFailed, answer{
			Rows: failed,
		})
		return
	}
	l.reply(w, http.StatusOK, answer{})
}

func (l *Listener) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rows, more, ver := l.store.read(q.Get("table"), q.Get("part"), q.Get("from"), pageLimit)
	l.reply(w, http.StatusOK, answer{
		Rows: rows,
		More: more,
		Ver:  ver,
	})
}

func (l *Listener) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		rows, ver, changed, ok := l.store.since(q.Get("table"), after)
		if !ok {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(rows) > 0 || ctx.Err() != nil {
			l.reply(w, http.StatusOK, answer{
				Rows: rows,
				Ver:  ver,
			})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
