package rows

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

// Fault is a failure mode of one listener of the store.
type Fault int32

// The failure modes of a listener.
const (
	// None serves every call normally.
	None Fault = iota
	// Busy rejects every call with status 503, and Limited with 429.
	Busy
	Limited
	// Silent accepts calls and never responds, and Reset closes the connection of every call.
	Silent
	Reset
	// LoseAnswers executes every call and closes its connection without a response.
	LoseAnswers
)

// serversTable is the table in which servers register themselves, and hostsTable that in which entry hosts do.
const (
	serversTable = "servers"
	hostsTable   = "hosts"
)

// maxPageRows is the maximum number of rows in one response to a read.
const maxPageRows = 500

// Listener is one address of the store. Each host can use a listener of its own, so that a fault affects that host only.
type Listener struct {
	store *Store
	fault atomic.Int32
	http  *http.Server
	addr  string
	// mapAddr, if set, returns the address that stands for that of a server in the rows that this listener sends.
	mapAddr atomic.Pointer[func(addr string) string]
	// mapHost, if set, does the same for entry hosts.
	mapHost atomic.Pointer[func(addr string) string]
}

// Listen opens a new loopback address of the store.
func (s *Store) Listen() (*Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on an address of the store: %w", err)
	}
	l := &Listener{
		store: s,
		addr:  ln.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", l.tx)
	mux.HandleFunc("GET /v1/rows-get", l.sendRows)
	mux.HandleFunc("GET /v1/rows-feed", l.sendChanges)
	l.http = &http.Server{
		Handler:           l.withFault(mux),
		ReadHeaderTimeout: time.Second,
	}
	// Serve ends when the listener is closed.
	go func() { _ = l.http.Serve(ln) }()
	return l, nil
}

// MapAddresses makes the rows of servers that the listener sends name other addresses than their own. It must be called before a host reads them.
func (l *Listener) MapAddresses(f func(addr string) string) {
	l.mapAddr.Store(&f)
}

// MapHosts makes the rows of entry hosts that the listener sends name other addresses than their own. It must be called before a host reads them.
func (l *Listener) MapHosts(f func(addr string) string) {
	l.mapHost.Store(&f)
}

// mapped returns the rows with the addresses that MapAddresses and MapHosts ask for.
func (l *Listener) mapped(rows []Row) []Row {
	server, host := l.mapAddr.Load(), l.mapHost.Load()
	out := slices.Clone(rows)
	for i, r := range out {
		switch {
		case r.Table == serversTable && !r.Deleted && server != nil:
			out[i].Value = mapAddress(r.Value, "address", *server)
		case r.Table == hostsTable && !r.Deleted && host != nil:
			out[i].Value = mapAddress(r.Value, "addr", *host)
		}
	}
	return out
}

// mapAddress replaces the address in a field of a row. A row that holds none stays as it is.
func mapAddress(value []byte, field string, f func(addr string) string) []byte {
	var fields map[string]any
	if json.Unmarshal(value, &fields) != nil {
		return value
	}
	addr, ok := fields[field].(string)
	if !ok {
		return value
	}
	fields[field] = f(addr)
	b, err := json.Marshal(fields)
	if err != nil {
		// What has just been decoded can be encoded.
		panic(err)
	}
	return b
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() string {
	return l.addr
}

// Close closes the listener and every open connection.
func (l *Listener) Close() error {
	if err := l.http.Close(); err != nil {
		return fmt.Errorf("close the store's listener: %w", err)
	}
	return nil
}

// SetFault sets the fault that is injected into the calls from now on.
func (l *Listener) SetFault(f Fault) {
	l.fault.Store(int32(f))
}

// withFault wraps h so that every call is counted, and then rejected, blocked, aborted or served according to the current fault.
func (l *Listener) withFault(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.store.mu.Lock()
		l.store.calls[r.URL.Path]++
		if era := l.store.era; era != "" {
			w.Header().Set("Store-Era", era)
		}
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
			h.ServeHTTP(discardResponse{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// discardResponse is a response writer that discards the response.
type discardResponse struct {
	header http.Header
}

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}

type response struct {
	Rows []Row `json:"rows,omitempty"`
	More bool  `json:"has_more,omitempty"`
	Ver  int64 `json:"ver"`
	Now  int64 `json:"now_ms"`
}

func (l *Listener) writeResponse(w http.ResponseWriter, status int, a response) {
	a.Now = time.Since(l.store.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body, err := json.Marshal(a)
	if err != nil {
		// A response consists of rows and numbers only.
		panic(err)
	}
	l.store.mu.Lock()
	l.store.sentBytes += len(body)
	l.store.mu.Unlock()
	// A write error means that the client has disconnected and needs no response.
	_, _ = w.Write(body)
}

// tx runs the transaction in the request body. It rejects writes to the tables op and servers, which belong to the platform.
func (l *Listener) tx(w http.ResponseWriter, r *http.Request) {
	var tx Tx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range append(tx.Puts, tx.Remove...) {
		if row.Table == "op" || row.Table == serversTable {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
	}
	if failed := l.store.Run(tx); failed != nil {
		l.writeResponse(w, http.StatusPreconditionFailed, response{
			Rows: failed,
		})
		return
	}
	l.writeResponse(w, http.StatusOK, response{})
}

// sendRows responds with one page of the rows in the table and part that the query names.
func (l *Listener) sendRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			http.Error(w, "limit is a number above 0", http.StatusBadRequest)
			return
		}
		limit = min(n, maxPageRows)
	}
	rows, more, ver := l.store.readPage(q.Get("table"), q.Get("part"), q.Get("from"), limit)
	if r.Context().Err() == nil {
		l.store.countRead(q.Get("table"))
	}
	l.writeResponse(w, http.StatusOK, response{
		Rows: l.mapped(rows),
		More: more,
		Ver:  ver,
	})
}

// sendChanges responds with the changes after a version. If there are none, it waits for the next change for up to wait_ms.
func (l *Listener) sendChanges(w http.ResponseWriter, r *http.Request) {
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
		rows, ver, changed, ok := l.store.changesSince(q.Get("table"), after)
		if !ok {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(rows) > 0 || ctx.Err() != nil {
			l.writeResponse(w, http.StatusOK, response{
				Rows: l.mapped(rows),
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
