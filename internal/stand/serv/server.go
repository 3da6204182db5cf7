package serv

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/serve"
)

// Behavior is how a server handles one request.
type Behavior int

// The behaviors of a server.
const (
	// Good runs the request and responds to it.
	Good Behavior = iota
	// Full rejects the request with 503 and marks it as not executed.
	Full
	// Fail runs the request and responds with 500.
	Fail
	// DropResponse runs the request and closes the connection without a response.
	DropResponse
	// Truncate runs the request and closes the connection in the middle of the response. In a stream, it does so in the middle of an event.
	Truncate
	// TruncateHead runs the request and closes the connection after the head of the response.
	TruncateHead
	// Reset runs the request and resets the connection in the middle of the response. In a stream, it does so between two events.
	Reset
	// OtherRequestID responds with the ID of another request, and NoStamp without the server's stamp.
	OtherRequestID
	NoStamp
	// Hang runs the request and never responds.
	Hang
	// RespondTwice sends a second response directly after the first.
	RespondTwice
	// Crash starts to run the request, then closes the server with all its connections.
	Crash
)

// Run is one request that a server has started to run.
type Run struct {
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
}

// Server is one instance of a service.
type Server struct {
	ID      string
	Service string
	// Events is the number of events in a streamed response. If it is 0, the response has a plain body.
	Events int
	// NeedsInputs rejects requests without an Inputs header, which carries the results of stages.
	NeedsInputs bool
	// BodyBytes is the minimum size of a plain body, which is padded to it.
	BodyBytes int
	// Unframed sends responses with neither a length nor chunks, so that only the end of the connection marks their end.
	Unframed bool

	addr string
	http *http.Server

	mu sync.Mutex
	// crashOn is the request body that crashes the server. If crashOn is empty, no request crashes the server.
	crashOn string
	// pause, if not empty, is the Retry-After text with which the server turns away all requests. turnedAway holds the times at which it did so.
	pause      string
	turnedAway []time.Time
	// leaving adds the header Server-Leaving to all responses.
	leaving         bool
	nextBehaviors   []Behavior
	defaultBehavior Behavior
	runs            []Run
	results         map[string]bool
	resultSeq       int
	items           []Item
	// cancelled counts the requests with behavior Hang whose connection was closed by the client.
	cancelled int
}

// Item is one piece of a stage in the body of a stage-run request.
type Item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// Start starts the server on a loopback address.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for server %s: %w", s.ID, err)
	}
	s.addr = ln.Addr().String()
	s.results = map[string]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/stage-run", s.runPieces)
	mux.HandleFunc("POST /v1/stage-free", s.freeResults)
	mux.HandleFunc("/", s.serveRequest)
	s.http = &http.Server{
		Handler:           s.withServerHeaders(mux),
		ReadHeaderTimeout: time.Second,
	}
	// Serve ends when the server is closed.
	go func() { _ = s.http.Serve(ln) }()
	return nil
}

// Close closes the server and its connections.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close server %s: %w", s.ID, err)
	}
	return nil
}

// Addr returns the address that the server listens on. It is empty before Start.
func (s *Server) Addr() string {
	return s.addr
}

// RegistrationJSON returns the JSON value of the store row by which the server registers itself with the given state.
func (s *Server) RegistrationJSON(state string) []byte {
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"sequence":1,"born":1}`, s.Service, s.addr, state))
}

// SetNextBehaviors sets the behaviors for the following requests, one per request. It replaces the behaviors that are still unused.
func (s *Server) SetNextBehaviors(list ...Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextBehaviors = list
}

// SetDefaultBehavior sets the behavior for all requests that are not covered by SetNextBehaviors.
func (s *Server) SetDefaultBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.defaultBehavior = b
}

// SetLeaving sets whether the server states in all its responses that it is leaving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetPause sets the Retry-After text with which the server turns away all requests and calls from now on. An empty text ends that.
func (s *Server) SetPause(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = retryAfter
}

// TurnedAway returns the times at which the server turned a request away because of SetPause.
func (s *Server) TurnedAway() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.turnedAway...)
}

// turnsAway responds with 503 and a Retry-After header if SetPause says so.
func (s *Server) turnsAway(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pause == "" {
		return false
	}
	s.turnedAway = append(s.turnedAway, time.Now())
	w.Header().Set("Retry-After", s.pause)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// withServerHeaders adds the headers that all responses of the server have.
func (s *Server) withServerHeaders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		s.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

// CrashOn sets the request body that crashes the server.
func (s *Server) CrashOn(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = body
}

// Runs returns the requests that the server has started to run, oldest first.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Items returns the pieces that the server has run, oldest first.
func (s *Server) Items() []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Item(nil), s.items...)
}

// Cancelled returns how many requests with behavior Hang were cancelled by their client.
func (s *Server) Cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// ResultCount returns the number of stage results that the server holds.
func (s *Server) ResultCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

// DropResults deletes every stage result.
func (s *Server) DropResults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.results)
}

// nextBehavior removes and returns the first behavior set by SetNextBehaviors. If none is left, it returns the behavior set by SetDefaultBehavior.
func (s *Server) nextBehavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.nextBehaviors) == 0 {
		return s.defaultBehavior
	}
	b := s.nextBehaviors[0]
	s.nextBehaviors = s.nextBehaviors[1:]
	return b
}

func (s *Server) crashesOn(body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashOn != "" && s.crashOn == body
}

// checkInstance returns whether the request is meant for this server. If not, it responds with 421.
func (s *Server) checkInstance(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !s.checkInstance(w, r) || s.turnsAway(w) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	b := s.nextBehavior()
	if s.crashesOn(string(body)) {
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
	s.respond(w, r, id, b)
}

// respond handles a request with behavior b. The caller has already recorded the request as run.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, id string, b Behavior) {
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Server-Stamp", "stamp."+s.ID)
	h.Set("Server-Load", "1,0,8")
	if s.Unframed {
		// net/http then neither adds a length nor uses chunks.
		h.Set("Transfer-Encoding", "identity")
	}
	switch b {
	case DropResponse:
		panic(http.ErrAbortHandler)
	case Crash:
		// Close closes the listener and all connections, including the one of this request.
		_ = s.http.Close()
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return
	case OtherRequestID:
		h.Set("Request-Id", "another")
	case NoStamp:
		h.Del("Server-Stamp")
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case RespondTwice:
		s.writeTwoResponses(w, id)
		return
	case TruncateHead:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if s.Events > 0 {
		s.writeStream(w, r, b)
		return
	}
	s.writePlain(w, id, b)
}

// Body returns the plain body of the response to the request with the id.
func (s *Server) Body(id string) string {
	body := "body of " + id
	return body + strings.Repeat(".", max(0, s.BodyBytes-len(body)))
}

// writePlain sends a plain body. With the behaviors Truncate and Reset, it ends the connection before the last byte. Truncate states the length of the whole body first, even if responses are unframed, as nothing else would show that a part is missing.
func (s *Server) writePlain(w http.ResponseWriter, id string, b Behavior) {
	body := s.Body(id)
	if b == Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if b == Truncate || b == Reset {
		body = body[:len(body)-1]
	}
	// A write error means that the client has disconnected and needs no response.
	_, _ = io.WriteString(w, body)
	if b == Truncate || b == Reset {
		// Without a flush, a short body and the head before it would not be sent at all.
		_ = http.NewResponseController(w).Flush()
	}
	switch b {
	case Truncate:
		panic(http.ErrAbortHandler)
	case Reset:
		// If the client has disconnected, there is no connection left to reset.
		_ = serve.ResetConn(w)
	}
}

// writeTwoResponses writes two complete responses to the connection.
func (s *Server) writeTwoResponses(w http.ResponseWriter, id string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := "body of " + id
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, s.ID, len(text), text)
	// Write errors are ignored, as the connection is closed right afterwards.
	_, _ = buf.WriteString(response + response)
	_ = buf.Flush()
}

// writeStream sends the events after the one named by the Last-Event-Id header. With the behaviors Truncate and Reset, it ends the connection after half of them.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, b Behavior) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	rc := http.NewResponseController(w)
	for i := last + 1; i <= s.Events; i++ {
		middle := i == (last+s.Events+1)/2
		switch {
		case b == Truncate && middle:
			_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", i)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		case b == Reset && middle:
			// If the client has disconnected, there is no connection left to reset.
			_ = serve.ResetConn(w)
			return
		}
		// A write error means that the client has disconnected and needs no response.
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = rc.Flush()
	}
}

type result struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// runPieces records the pieces of a call as run and responds with a handle to the result of each piece. Only the behaviors Full and DropResponse affect it, and neither of them runs a piece.
func (s *Server) runPieces(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []Item `json:"items"`
	}
	if !s.checkInstance(w, r) || s.turnsAway(w) {
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if b := s.nextBehavior(); b == Full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	} else if b == DropResponse {
		panic(http.ErrAbortHandler)
	}
	var out []result
	s.mu.Lock()
	for _, item := range call.Items {
		s.items = append(s.items, item)
		s.resultSeq++
		handle := fmt.Sprintf("%s/%s-%d-%d-%d", s.addr, item.ID, item.Stage, item.Piece, s.resultSeq)
		s.results[handle] = true
		out = append(out, result{
			Handle: handle,
		})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(map[string]any{"items": out})
}

// freeResults deletes the results with the handles in the request.
func (s *Server) freeResults(w http.ResponseWriter, r *http.Request) {
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
