package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// poisonBody is the body of a request that crashes each server that begins to run it.
const poisonBody = "poison"

// serverOptions describe one server, which runs in a process of its own.
type serverOptions struct {
	ID      string
	Service string
	Addr    string
	Born    int64
	// Slots is how many requests run at once, and Queue how many more wait.
	Slots int
	Queue int
	// Work is how long a plain request runs. Events is the number of events of a stream, and EventGap the pause before each; without events the answer is plain.
	Work     time.Duration
	Events   int
	EventGap time.Duration
	// CrashAfter is how long a poisonous request runs until it kills the process, or 0 if it is sound.
	CrashAfter time.Duration
	// FailShare is the share of requests that end with the server's own status 500.
	FailShare float64
	// ColdFor is how long the server is cold after SIGUSR1.
	ColdFor time.Duration
	// UnframedShare is the share of answers that end with their connection, with neither a length nor chunks.
	UnframedShare float64
	// ForgetAfter is how long a connection rests without a request until the server forgets it, or 0.
	ForgetAfter time.Duration
	// Quiet leaves out of the output when requests arrive and end.
	Quiet bool
	// TellsLoad adds Server-Load to answers.
	TellsLoad bool
}

func (o serverOptions) args() []string {
	return []string{
		"server", "-id", o.ID, "-service", o.Service, "-addr", o.Addr, "-born", strconv.FormatInt(o.Born, 10),
		"-slots", strconv.Itoa(o.Slots), "-queue", strconv.Itoa(o.Queue), "-work", o.Work.String(),
		"-events", strconv.Itoa(o.Events), "-event-gap", o.EventGap.String(), "-crash-after", o.CrashAfter.String(),
		"-fail-share", strconv.FormatFloat(o.FailShare, 'g', -1, 64), "-unframed-share", strconv.FormatFloat(o.UnframedShare, 'g', -1, 64), "-forget-after", o.ForgetAfter.String(), "-cold-for", o.ColdFor.String(), "-quiet=" + strconv.FormatBool(o.Quiet), "-tells-load=" + strconv.FormatBool(o.TellsLoad),
	}
}

func parseServerOptions(args []string) (serverOptions, error) {
	var o serverOptions
	set := flag.NewFlagSet("server", flag.ContinueOnError)
	set.StringVar(&o.ID, "id", "", "id of the server")
	set.StringVar(&o.Service, "service", "", "service of the server")
	set.StringVar(&o.Addr, "addr", "", "address to listen on")
	set.Int64Var(&o.Born, "born", 0, "start of the server in Unix milliseconds")
	set.IntVar(&o.Slots, "slots", 1, "requests that run at once")
	set.IntVar(&o.Queue, "queue", 0, "requests that wait")
	set.DurationVar(&o.Work, "work", 0, "time that a plain request runs")
	set.IntVar(&o.Events, "events", 0, "events of a stream")
	set.DurationVar(&o.EventGap, "event-gap", 0, "pause before each event")
	set.DurationVar(&o.CrashAfter, "crash-after", 0, "time after which a poisonous request kills the server")
	set.Float64Var(&o.FailShare, "fail-share", 0, "share of requests that fail")
	set.Float64Var(&o.UnframedShare, "unframed-share", 0, "share of answers that end with their connection")
	set.DurationVar(&o.ForgetAfter, "forget-after", 0, "rest after which a connection is forgotten")
	set.DurationVar(&o.ColdFor, "cold-for", 0, "time for which the server is cold after SIGUSR1")
	set.BoolVar(&o.Quiet, "quiet", false, "write less")
	set.BoolVar(&o.TellsLoad, "tells-load", false, "add Server-Load to answers")
	if err := set.Parse(args); err != nil {
		return o, fmt.Errorf("parse arguments: %w", err)
	}
	return o, nil
}

// serverEvent is one line that a server writes to its standard output.
type serverEvent struct {
	AtUS   int64  `json:"at_us"`
	What   string `json:"what"`
	ID     string `json:"id,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// server is a model server or a plain one.
type server struct {
	serverOptions
	slots chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	// coldUntil is when the server is warm again after it has become cold once more.
	coldUntil time.Time
}

func runServer(args []string) error {
	o, err := parseServerOptions(args)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if o.ForgetAfter > 0 {
		ln = &forgetter{
			Listener: ln,
			after:    o.ForgetAfter,
			to:       keeperFD,
		}
	}
	s := &server{
		serverOptions: o,
		slots:         make(chan struct{}, o.Slots),
	}
	s.emit("started", "", "")
	go s.awaitCold()
	// The parent ends the process.
	return http.Serve(ln, http.HandlerFunc(s.serve))
}

// emit writes one line for the parent. Lines are short, so each is one write.
func (s *server) emit(what, id, detail string) {
	if s.Quiet && (what == "arrived" || what == "ran" || what == "dropped") {
		return
	}
	b, err := json.Marshal(serverEvent{
		AtUS:   time.Now().UnixMicro(),
		What:   what,
		ID:     id,
		Detail: detail,
	})
	if err != nil {
		return
	}
	_, _ = os.Stdout.Write(append(b, '\n'))
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"queue_depth":%d,"in_flight":%d,"born":%d}`, s.count(&s.waiting, 0), s.count(&s.running, 0), s.Born)
		return
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", s.ID)
		w.Header().Set("Cold-Ms", strconv.FormatInt(s.coldLeft().Milliseconds(), 10))
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	s.request(w, r)
}

// awaitCold makes the server cold for ColdFor at each SIGUSR1.
func (s *server) awaitCold() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		s.mu.Lock()
		s.coldUntil = time.Now().Add(s.ColdFor)
		s.mu.Unlock()
		s.emit("cold", "", s.ColdFor.String())
	}
}

// coldLeft returns how much longer the server is cold.
func (s *server) coldLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Until(s.coldUntil))
}

// count adds to a counter and returns it.
func (s *server) count(n *int, add int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += add
	return *n
}

func (s *server) reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	s.addLoad(w.Header())
	w.WriteHeader(status)
}

func (s *server) addLoad(h http.Header) {
	if s.TellsLoad {
		h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.count(&s.running, 0), s.count(&s.waiting, 0), s.Slots))
	}
}

// request runs one request once a slot is free. It drops it if its connection closes or its deadline passes before that.
func (s *server) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.emit("arrived", id, string(body))
	w.Header().Set("Request-Id", id)
	if id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	deadline := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	if s.count(&s.waiting, 1) > s.Queue+s.Slots-s.count(&s.running, 0) {
		s.count(&s.waiting, -1)
		s.emit("rejected", id, "full")
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		s.count(&s.waiting, -1)
	case <-r.Context().Done():
		s.count(&s.waiting, -1)
		s.emit("dropped", id, "connection closed while the request waited")
		return
	case <-timer.C:
		s.count(&s.waiting, -1)
		s.emit("rejected", id, "deadline passed while the request waited")
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	s.count(&s.running, 1)
	defer func() {
		s.count(&s.running, -1)
		<-s.slots
	}()
	s.run(w, r, id, string(body))
}

// run runs one request.
func (s *server) run(w http.ResponseWriter, r *http.Request, id, body string) {
	s.emit("runs", id, body)
	w.Header().Set("Server-Stamp", "stamp."+s.ID+"."+id)
	if s.CrashAfter > 0 && strings.HasPrefix(body, poisonBody) {
		time.AfterFunc(s.CrashAfter, func() {
			s.emit("crashes", id, "")
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		})
	}
	if s.FailShare > 0 && rand.Float64() < s.FailShare {
		s.emit("fails", id, "")
		s.addLoad(w.Header())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.Events > 0 {
		s.stream(w, r, id)
		return
	}
	if !s.sleep(r, id, s.Work) {
		return
	}
	s.addLoad(w.Header())
	_, _ = io.WriteString(w, bodyOf(id))
	s.emit("ran", id, "")
}

// bodyOf returns the plain answer to a request.
func bodyOf(id string) string {
	return "body of " + id
}

// sleep works for a time, and returns false if the client left.
func (s *server) sleep(r *http.Request, id string, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		s.emit("dropped", id, "connection closed while the request ran")
		return false
	}
}

// stream sends the events after the one that Last-Event-Id names.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if rand.Float64() < s.UnframedShare {
		s.emit("unframed", id, "")
		// net/http then adds neither a length nor chunks.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	s.addLoad(w.Header())
	for n := last + 1; n <= s.Events; n++ {
		if !s.sleep(r, id, s.EventGap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	s.emit("ran", id, "")
}
