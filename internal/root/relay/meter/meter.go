package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
)

const (
	// maxLatencyMs is the highest latency that the histograms record, in milliseconds; higher ones are counted as maxLatencyMs. significantDigits is their precision in decimal digits.
	maxLatencyMs      = 60_000
	significantDigits = 1
	// maxRoutes bounds how many routes have their own counters. All others share the counters named otherRoutes.
	maxRoutes   = 64
	otherRoutes = "other"
)

// Outcome is how a request ended from its caller's view.
type Outcome string

// The outcomes.
const (
	// Answered is a complete response of an upstream, and Truncated a response that was interrupted.
	Answered  Outcome = "answered"
	Truncated Outcome = "cut"
	// Refused is an error response stating that nothing was run, and Failed one after which the request may have run.
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Rejected is a request that is invalid or not permitted.
	Rejected Outcome = "rejected"
)

// Entry is one request that ended.
type Entry struct {
	Route   string
	Outcome Outcome
	// Cause is the last problem in serving the request, or "" if there was none.
	Cause   string
	Latency time.Duration
	// FirstByte is the time from the request's arrival to the start of its response, or 0 if there was none.
	FirstByte time.Duration
	// Sends is the number of upstreams that the request was sent to.
	Sends int
	// Unframed reports that the last upstream's response had neither a length nor chunks, so that its body ended with its connection.
	Unframed bool
	// OnTime reports that the response was complete, was no server error, and started within the route's objective.
	OnTime bool
	// Eligible reports that the request counts for the service-level objective: it was not rejected, and its caller did not disconnect while waiting.
	Eligible bool
}

// routeCounters holds the counters and histograms of one route.
type routeCounters struct {
	outcomes  map[Outcome]int64
	causes    map[string]int64
	sends     int64
	unframed  int64
	eligible  int64
	onTime    int64
	latency   *hdrhistogram.Histogram
	firstByte *hdrhistogram.Histogram
}

// Meter counts entries. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	routes map[string]*routeCounters
	burn   burn.Meter
}

// New returns a meter with all counters at zero.
func New() *Meter {
	return &Meter{
		routes: map[string]*routeCounters{},
	}
}

// BurnRates reports how fast the error budget is used up, over windows that end at now. objective is the share of eligible requests that must be on time.
func (m *Meter) BurnRates(now time.Time, objective float64) burn.Report {
	return m.burn.ReportAt(now, objective)
}

// Add counts an entry that ended at now.
func (m *Meter) Add(now time.Time, e Entry) {
	if e.Eligible {
		m.burn.Add(now, e.OnTime)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.routeCounters(e.Route)
	r.outcomes[e.Outcome]++
	if e.Cause != "" {
		r.causes[e.Cause]++
	}
	r.sends += int64(e.Sends)
	if e.Unframed {
		r.unframed++
	}
	if e.Eligible {
		r.eligible++
	}
	if e.Eligible && e.OnTime {
		r.onTime++
	}
	record(r.latency, e.Latency)
	if e.FirstByte > 0 {
		record(r.firstByte, e.FirstByte)
	}
}

func (m *Meter) routeCounters(name string) *routeCounters {
	if _, ok := m.routes[name]; !ok && (name == "" || len(m.routes) >= maxRoutes) {
		name = otherRoutes
	}
	r, ok := m.routes[name]
	if !ok {
		r = &routeCounters{
			outcomes:  map[Outcome]int64{},
			causes:    map[string]int64{},
			latency:   hdrhistogram.New(1, maxLatencyMs, significantDigits),
			firstByte: hdrhistogram.New(1, maxLatencyMs, significantDigits),
		}
		m.routes[name] = r
	}
	return r
}

// record adds a latency to the histogram, clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMs))
}

// LatencySummary summarizes a histogram, in milliseconds.
type LatencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P90   int64 `json:"p90_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}

// RouteStats holds the counts and latencies of one route.
type RouteStats struct {
	Outcomes map[Outcome]int64 `json:"outcomes"`
	Causes   map[string]int64  `json:"causes"`
	// Sends counts sends to upstreams, including retries.
	Sends int64 `json:"sends"`
	// Unframed counts requests whose last response from an upstream had neither a length nor chunks.
	Unframed int64 `json:"unframed"`
	// Eligible counts the requests that count for the service-level objective, and OnTime those of them that met it.
	Eligible  int64          `json:"owed"`
	OnTime    int64          `json:"on_time"`
	Latency   LatencySummary `json:"took"`
	FirstByte LatencySummary `json:"begun"`
}

// Routes returns the statistics so far, by route name.
func (m *Meter) Routes() map[string]RouteStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]RouteStats, len(m.routes))
	for name, r := range m.routes {
		stats := RouteStats{
			Outcomes:  map[Outcome]int64{},
			Causes:    map[string]int64{},
			Sends:     r.sends,
			Unframed:  r.unframed,
			Eligible:  r.eligible,
			OnTime:    r.onTime,
			Latency:   summarize(r.latency),
			FirstByte: summarize(r.firstByte),
		}
		for k, v := range r.outcomes {
			stats.Outcomes[k] = v
		}
		for k, v := range r.causes {
			stats.Causes[k] = v
		}
		out[name] = stats
	}
	return out
}
