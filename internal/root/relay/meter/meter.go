package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
)

const (
	// longest is the longest latency that is told apart, in milliseconds, and digits the precision.
	longest = 60_000
	digits  = 1
	// maxRoutes bounds how many routes are counted apart; the rest are counted together.
	maxRoutes = 64
	otherName = "other"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// Answered is an upstream's whole answer, Cut one that was broken off.
	Answered Outcome = "answered"
	Cut      Outcome = "cut"
	// Refused is the promise that nothing has run, Failed an answer that promises nothing.
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Rejected is a request that is not proper.
	Rejected Outcome = "rejected"
)

// Entry is one request that ended.
type Entry struct {
	Route   string
	Outcome Outcome
	// Cause is why it was not answered at once, or "".
	Cause string
	Took  time.Duration
	// Begun is when its answer began, from its arrival, or 0.
	Begun time.Duration
	// Sends is how many upstreams it was sent to.
	Sends int
	// OnTime says that its answer was whole and began within the route's objective.
	OnTime bool
	// Owed says that it counts for the service-level objective: it was proper, and its caller waited.
	Owed bool
}

// route is what is counted for one route.
type route struct {
	outcomes map[Outcome]int64
	causes   map[string]int64
	sends    int64
	owed     int64
	onTime   int64
	took     *hdrhistogram.Histogram
	begun    *hdrhistogram.Histogram
}

// Meter counts entries.
type Meter struct {
	mu     sync.Mutex
	routes map[string]*route
	burn   burn.Meter
}

// New returns a meter that has counted nothing.
func New() *Meter {
	return &Meter{
		routes: map[string]*route{},
	}
}

// Burn returns how fast the objective, the part of what is owed that is to be on time, is missed.
func (m *Meter) Burn(now time.Time, objective float64) burn.Report {
	return m.burn.Over(now, objective)
}

// Add counts an entry that ended at now.
func (m *Meter) Add(now time.Time, e Entry) {
	if e.Owed {
		m.burn.Add(now, e.OnTime)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.route(e.Route)
	r.outcomes[e.Outcome]++
	if e.Cause != "" {
		r.causes[e.Cause]++
	}
	r.sends += int64(e.Sends)
	if e.Owed {
		r.owed++
	}
	if e.Owed && e.OnTime {
		r.onTime++
	}
	record(r.took, e.Took)
	if e.Begun > 0 {
		record(r.begun, e.Begun)
	}
}

func (m *Meter) route(name string) *route {
	if _, ok := m.routes[name]; !ok && (name == "" || len(m.routes) >= maxRoutes) {
		name = otherName
	}
	r, ok := m.routes[name]
	if !ok {
		r = &route{
			outcomes: map[Outcome]int64{},
			causes:   map[string]int64{},
			took:     hdrhistogram.New(1, longest, digits),
			begun:    hdrhistogram.New(1, longest, digits),
		}
		m.routes[name] = r
	}
	return r
}

// record counts a latency; one that is out of range counts as the nearest that is not.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range of the histogram, so that recording it never fails.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), longest))
}

// Latency is the digest of a histogram, in milliseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P90   int64 `json:"p90_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}

// Route is what was counted for one route.
type Route struct {
	Outcomes map[Outcome]int64 `json:"outcomes"`
	Causes   map[string]int64  `json:"causes"`
	// Sends counts sends to upstreams, those of retries among them.
	Sends int64 `json:"sends"`
	// Owed counts the proper requests whose callers waited, and OnTime those of them whose answers were whole and on time.
	Owed   int64   `json:"owed"`
	OnTime int64   `json:"on_time"`
	Took   Latency `json:"took"`
	Begun  Latency `json:"begun"`
}

// Routes returns what was counted so far, by the names of the routes.
func (m *Meter) Routes() map[string]Route {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Route, len(m.routes))
	for name, r := range m.routes {
		c := Route{
			Outcomes: map[Outcome]int64{},
			Causes:   map[string]int64{},
			Sends:    r.sends,
			Owed:     r.owed,
			OnTime:   r.onTime,
			Took:     latencyOf(r.took),
			Begun:    latencyOf(r.begun),
		}
		for k, v := range r.outcomes {
			c.Outcomes[k] = v
		}
		for k, v := range r.causes {
			c.Causes[k] = v
		}
		out[name] = c
	}
	return out
}
