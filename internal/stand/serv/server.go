package serv

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand"
)

// Run is one request that a server has started to run.
type Run struct {
	At     time.Time
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
}

// Arrival is one request or call that has reached a server.
type Arrival struct {
	At time.Time
	// ID is the ID of the request, or empty for a call of stages.
	ID string
	// Leaving reports that the server stated in its response that it was leaving, and RetryAfter is the time with which it turned the request away, or empty.
	Leaving    bool
	RetryAfter string
}

// Server is one instance of a service.
type Server struct {
	ID      string
	Service string
	// Zone is the server's zone, or empty for z.
	Zone string
	// Version is the version of the server's software, or empty for v1.
	Version string
	// StartedAtMS is the start time of the server in milliseconds, or 0 for 1.
	StartedAtMS int64
	// HidesStart leaves the start time out of reports.
	HidesStart bool
	// ListenAddr is the loopback address that the server listens on, or empty for a free one.
	ListenAddr string
	// Events is the number of events in a streamed response. If it is 0, the response has a plain body.
	Events int
	// NeedsInputs rejects requests without an Inputs header, which carries the results of stages.
	NeedsInputs bool
	// FetchDelay is how long after a request has arrived the server fetches the results of its stages, and HasResult, if set, reports whether one still exists. A request with a missing one is not run.
	FetchDelay time.Duration
	HasResult  func(handle string) bool
	// Room is how many requests the server runs at once. It turns away further ones, and states its load. 0 means no bound.
	Room int
	// WorkTime is how long the server runs a request before it responds.
	WorkTime time.Duration
	// BodyBytes is the minimum size of a plain body, which is padded to it.
	BodyBytes int
	// EventDelay is the pause before each event of a streamed response.
	EventDelay time.Duration
	// IgnoresLastEvent begins each stream with its first event, whatever Last-Event-Id says.
	IgnoresLastEvent bool
	// RepeatedEvent is the number of the event that a stream has twice in succession, or 0 for none.
	RepeatedEvent int
	// HasID, if set, reports whether the event with the number has an id.
	HasID func(event int) bool
	// EventSuffix is the text at the end of the data of each event.
	EventSuffix string
	// ColdMS is how long the server states in its row that it stays cold, in milliseconds.
	ColdMS int
	// Unframed sends responses with neither a length nor chunks, so that only the end of the connection marks their end.
	Unframed bool
	// OnArrival and OnRun, if set, are called for each request or call that arrives, and for each request that begins to run, before anything is sent back.
	OnArrival func(Arrival)
	OnRun     func(Run)
	// End, if set, ends the whole process of the server. It is called where the server would otherwise close its listener and connections.
	End func()

	addr string
	http *http.Server

	mu sync.Mutex
	// running counts the requests that run, and full holds the times at which one was turned away for want of room.
	running int
	full    []time.Time
	// brittle is how many requests a second the server may turn away for want of room without falling over, or 0 for any number. falls counts how often it fell over.
	brittle      int
	brittleSince time.Time
	falls        int
	// downUntil is when the server is back after it fell over.
	downUntil time.Time
	// crashOn is the request body that crashes the server. If crashOn is empty, no request crashes the server.
	crashOn string
	// crashPart is the ID of the prompt part that crashes the server as soon as it begins to respond to a request with it, unless it is the last part. Empty means none.
	crashPart string
	// stopped is closed when the server is closed or crashes.
	stopped chan struct{}
	// pause, if not empty, is the Retry-After text with which the server turns away all requests. turnedAway holds the times at which it did so.
	pause      string
	turnedAway []time.Time
	// limit, if not empty, is the value of the header Server-Limit in all responses.
	limit    string
	arrivals []Arrival
	// endless counts the bytes of responses without an end.
	endless int
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

// Start starts the server on a loopback address.
func (s *Server) Start() error {
	// Servers of tests that run at the same time have the same IDs, so the address of a closed one must not be assigned to another.
	addr, err := s.chooseAddr()
	if err != nil {
		return fmt.Errorf("find address for server %s: %w", s.ID, err)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for server %s: %w", s.ID, err)
	}
	s.addr = addr
	s.results = map[string]bool{}
	s.stopped = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/stage-run", s.runPieces)
	mux.HandleFunc("POST /v1/stage-free", s.freeResults)
	mux.HandleFunc("/", s.serveRequest)
	// A report is no request: it is neither counted nor turned away.
	root := http.NewServeMux()
	root.HandleFunc("GET /v1/report", s.report)
	root.Handle("/", s.withServerHeaders(mux))
	s.http = &http.Server{
		Handler:           root,
		ReadHeaderTimeout: time.Second,
	}
	go func() {
		defer close(s.stopped)
		// Serve returns an error in any case when the server is closed.
		_ = s.http.Serve(ln)
	}()
	return nil
}

// chooseAddr returns the address to listen on.
func (s *Server) chooseAddr() (string, error) {
	if s.ListenAddr != "" {
		return s.ListenAddr, nil
	}
	addr, err := stand.FreeAddr()
	if err != nil {
		return "", fmt.Errorf("choose a free address: %w", err)
	}
	return addr, nil
}

// report sends the server's report on itself.
func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	start := fmt.Sprintf(`,"born":%d`, cmp.Or(s.StartedAtMS, 1))
	if s.HidesStart {
		start = ""
	}
	// A write error means that the client has disconnected.
	_, _ = fmt.Fprintf(w, `{"queue_depth":0,"in_flight":0%s}`, start)
}

// Stopped returns a channel that is closed when the server has been closed or has crashed.
func (s *Server) Stopped() <-chan struct{} {
	return s.stopped
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
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":8,"state":%q,"cold_remaining_ms":%d,"sequence":1,"born":%d}`, s.Service, s.addr, cmp.Or(s.Zone, "z"), cmp.Or(s.Version, "v1"), state, s.ColdMS, cmp.Or(s.StartedAtMS, 1)))
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

// SetLimit sets the value of the header Server-Limit in all responses from now on. Empty means none.
func (s *Server) SetLimit(perSecond string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// Arrivals returns the times at which requests and calls arrived, oldest first.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []time.Time
	for _, a := range s.arrivals {
		out = append(out, a.At)
	}
	return out
}

// ArrivalLog returns the requests and calls that have arrived, oldest first.
func (s *Server) ArrivalLog() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
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
		a := Arrival{
			At:         time.Now(),
			ID:         r.Header.Get("Request-Id"),
			Leaving:    s.leaving,
			RetryAfter: s.pause,
		}
		s.arrivals = append(s.arrivals, a)
		if s.limit != "" {
			w.Header().Set("Server-Limit", s.limit)
		}
		if s.leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		if s.brittle > 0 {
			w.Header().Set("Server-Brittle", strconv.Itoa(s.brittle))
		}
		s.mu.Unlock()
		if s.OnArrival != nil {
			s.OnArrival(a)
		}
		h.ServeHTTP(w, r)
	})
}

// CrashOn sets the request body that crashes the server.
func (s *Server) CrashOn(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = body
}

// CrashOnPart sets the ID of the prompt part that crashes the server, unless it is the last part of the prompt.
func (s *Server) CrashOnPart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPart = id
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

// fetchesInputs fetches the results of the request's stages. It rejects the request and returns false if one is missing.
func (s *Server) fetchesInputs(w http.ResponseWriter, r *http.Request) bool {
	if s.HasResult == nil {
		return true
	}
	time.Sleep(s.FetchDelay)
	for _, handle := range strings.Split(r.Header.Get("Inputs"), ",") {
		if !s.HasResult(strings.TrimSpace(handle)) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusConflict)
			return false
		}
	}
	return true
}

// HoldsResult reports whether the server holds the result of a stage.
func (s *Server) HoldsResult(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.results[handle]
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

// crashesOnPart reports whether a part of the prompt other than its last crashes the server.
func (s *Server) crashesOnPart(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(prefix, ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); s.crashPart != "" && id == s.crashPart {
			return true
		}
	}
	return false
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
	if !s.enter(w) {
		return
	}
	defer s.leave()
	b := s.nextBehavior()
	if s.crashesOn(string(body)) {
		b = Crash
	}
	if s.crashesOnPart(r.Header.Get("Prompt-Prefix")) {
		b = CrashAfterHead
	}
	if id == "" || b == Full || (s.NeedsInputs && r.Header.Get("Inputs") == "") {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.fetchesInputs(w, r) {
		return
	}
	run := Run{
		At:     time.Now(),
		ID:     id,
		Method: r.Method,
		Target: r.RequestURI,
		Header: r.Header.Clone(),
		Body:   string(body),
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	if s.OnRun != nil {
		s.OnRun(run)
	}
	s.respond(w, r, id, b)
}
