package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

// request is one attempt of a client, and what it got.
type request struct {
	ID string
	// First is the ID of the stream's first attempt if this one takes the stream up, and Before holds the events that earlier attempts got.
	First  string
	Before string
	// BreaksAfter is the number of events after which the connection breaks at the client, or 0 if it does not.
	BreaksAfter int
	Host        int
	// HTTP10 reports that the client sent HTTP/1.0.
	HTTP10 bool
	Route  route
	Key    string
	// Crashing reports that the request has the part of a prompt that crashes engines.
	Crashing bool
	Sent     time.Time
	Ended    time.Time
	// Status is 0 if there was no whole head of a response. Err is empty if the response came whole.
	Status int
	Err    string
	Body   string
	// Stamped reports that the response has the signature of a server, EchoedID is the request ID in it, and Leaving reports that the server stated that it is leaving.
	Stamped  bool
	EchoedID string
	Leaving  bool
}

// whole reports whether the request got a successful response with the signature of a server.
func (r *request) whole() bool {
	return r.Status >= 200 && r.Status < 300 && r.Err == "" && r.Stamped
}

// disturbance is a time in which a fault held a host: it was ended, frozen, or could not use the store or reach servers.
type disturbance struct {
	Host     int
	From, To time.Time
	// CutOff reports that the host could not use the store or reach servers, and was disturbed in nothing else.
	CutOff bool
}

// freeze is a time in which a fault had stopped the process of a server.
type freeze struct {
	Server   string
	From, To time.Time
}

// limitation is a limit that a server named.
type limitation struct {
	Server    string
	PerSecond float64
	From, To  time.Time
}

// serverLog is what a server has seen: the requests and calls that reached it, and the IDs of those that it began to run.
type serverLog struct {
	ID       string
	Service  string
	Zone     string
	Arrivals []serv.Arrival
	Runs     []string
}

// Violation is a broken rule.
type Violation struct {
	Rule   string
	Detail string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return v.Rule + ": " + v.Detail
}

// history is what the clients saw, and when which fault held which host. It is safe for concurrent use.
type history struct {
	mu           sync.Mutex
	requests     []request
	disturbances []disturbance
	freezes      []freeze
	limits       []limitation
	evacuations  []evacuation
	violations   []Violation
}

func (h *history) addRequest(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

func (h *history) addDisturbance(d disturbance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, d)
}

func (h *history) addFreeze(f freeze) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freezes = append(h.freezes, f)
}

func (h *history) addLimit(server string, perSecond float64, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.limits = append(h.limits, limitation{
		Server:    server,
		PerSecond: perSecond,
		From:      now,
		To:        now.Add(d),
	})
}

func (h *history) addViolation(rule, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, Violation{
		Rule:   rule,
		Detail: detail,
	})
}

func (h *history) addViolationf(rule, format string, args ...any) {
	h.addViolation(rule, fmt.Sprintf(format, args...))
}
