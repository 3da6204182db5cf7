package serv

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Behavior is how a server treats one request.
type Behavior int

// The behaviors.
const (
	// Good runs the request and answers it.
	Good Behavior = iota
	// Full runs nothing and says so.
	Full
	// Fail runs the request and answers 500.
	Fail
	// Lose runs the request and closes the connection.
	Lose
	// Cut closes the connection in the middle of the answer.
	Cut
	// Foreign gives the answer to another request, and Unsigned one that no server has signed.
	Foreign
	Unsigned
	// Hang runs the request and says nothing.
	Hang
	// Extra gives a second answer after the first.
	Extra
	// Crash begins to run the request and ends the server with all its connections.
	Crash
)

// Run is one request that began to run.
type Run struct {
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
}

// Server is one server.
type Server struct {
	ID      string
	Service string
	// Events is how many events a stream has; 0 answers with a plain body.
	Events int
	// NeedsInputs refuses requests that carry no results of stages.
	NeedsInputs bool

	addr string
	http *http.Server

	mu sync.Mutex
	// crashOn is the body that crashes the server, or "".
	crashOn string
	next    []Behavior
	always  Behavior
	runs    []Run
	results map[string]bool
	made    int
	items   []Item
	// cancelled counts the requests whose connection closed while they hung.
	cancelled int
}

// Item is one piece of a call.
type Item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// Start opens the server on a loopback address.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for server %s: %w", s.ID, err)
	}
	s.addr = ln.Addr().String()
	s.results = map[string]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/stage-run", s.stageRun)
	mux.HandleFunc("POST /v1/stage-free", s.stageFree)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	// Serve ends when the server is closed.
	go func() { _ = s.http.Serve(ln) }()
	return nil
}

// Close ends the server and its connections.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close server %s: %w", s.ID, err)
	}
	return nil
}

// Addr returns the server's address.
func (s *Server) Addr() string {
	return s.addr
}

// Entry returns the entry by which the server registers itself in the store.
func (s *Server) Entry(state string) []byte {
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"sequence":1,"born":1}`, s.Service, s.addr, state))
}

// Next sets how the requests that come next are treated, one each.
func (s *Server) Next(list ...Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = list
}

// Always sets how all requests are treated that Next says nothing of.
func (s *Server) Always(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.always = b
}

// CrashOn sets the body of the requests that crash the server.
func (s *Server) CrashOn(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = body
}

// Runs returns the requests that began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Items returns the pieces that were worked on.
func (s *Server) Items() []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Item(nil), s.items...)
}

// Cancelled returns how many requests were cancelled while they hung.
func (s *Server) Cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// Held returns how many results the server holds.
func (s *Server) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

// Drop forgets every result.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.results)
}

func (s *Server) behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.next) == 0 {
		return s.always
	}
	b := s.next[0]
	s.next = s.next[1:]
	return b
}

func (s *Server) crashes(body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashOn != "" && s.crashOn == body
}

// expected refuses a request that means another server.
func (s *Server) expected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !s.expected(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	b := s.behavior()
	if s.crashes(string(body)) {
		b = Crash
	}
	if id == "" || b == Full || (s.NeedsInputs && r.Header.Get("Inputs") == "") {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{
		ID:     id,
		Method: r.Method,
		Target: r.RequestURI,
		Header: r.Header.Clone(),
		Body:   string(body),
	})
	s.mu.Unlock()
	s.answer(w, r, id, b)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, b Behavior) {
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Server-Stamp", "stamp."+s.ID)
	h.Set("Server-Load", "1,0,8")
	switch b {
	case Lose:
		panic(http.ErrAbortHandler)
	case Crash:
		// The connections are cut off with the listener, this one among them.
		_ = s.http.Close()
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return
	case Foreign:
		h.Set("Request-Id", "another")
	case Unsigned:
		h.Del("Server-Stamp")
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Extra:
		s.extra(w, id)
		return
	}
	if s.Events > 0 {
		s.stream(w, r, b == Cut)
		return
	}
	if b == Cut {
		h.Set("Content-Length", "100")
	}
	// A caller that has gone away needs no answer.
	_, _ = io.WriteString(w, "body of "+id)
	if b == Cut {
		panic(http.ErrAbortHandler)
	}
}

// extra writes two answers onto the connection.
func (s *Server) extra(w http.ResponseWriter, id string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := "body of " + id
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, s.ID, len(text), text)
	// The connection is closed at once, whatever has become of the bytes.
	_, _ = buf.WriteString(one + one)
	_ = buf.Flush()
}

// stream sends the events after the last one that the caller has, the last of them cut in the middle if asked.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, cut bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	rc := http.NewResponseController(w)
	for i := last + 1; i <= s.Events; i++ {
		if cut && i == (last+s.Events+1)/2 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", i)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		// A caller that has gone away needs no answer.
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = rc.Flush()
	}
}

type result struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) stageRun(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []Item `json:"items"`
	}
	if !s.expected(w, r) {
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if b := s.behavior(); b == Full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	} else if b == Lose {
		panic(http.ErrAbortHandler)
	}
	var out []result
	s.mu.Lock()
	for _, it := range call.Items {
		s.items = append(s.items, it)
		s.made++
		handle := fmt.Sprintf("%s/%s-%d-%d-%d", s.addr, it.ID, it.Stage, it.Piece, s.made)
		s.results[handle] = true
		out = append(out, result{
			Handle: handle,
		})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(map[string]any{"items": out})
}

func (s *Server) stageFree(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range call.Handles {
		delete(s.results, h)
	}
}
