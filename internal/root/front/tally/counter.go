package tally

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// A roll-out has to wait if the burn rate over the last haltWindow exceeds haltRate, given at least haltMinRequests requests.
	haltWindow      = time.Minute
	haltRate        = 10
	haltMinRequests = 20
	// maxHistograms limits the memory for latency histograms. Further combinations of account and pipeline are counted without latencies.
	maxHistograms = 1000
)

// Entry describes one request that has ended, with any outcome.
type Entry struct {
	Account  string
	Pipeline string
	Outcome  wire.Outcome
	// InTime is set if a complete answer was given before the deadline.
	InTime  bool
	Latency time.Duration
	Stages  []wire.StageReport
}

// Counter counts ended requests by account and pipeline. It is safe for concurrent use.
type Counter struct {
	mu sync.Mutex
	// counts holds the totals since the start, delta those since the last call of TakeDelta.
	counts map[countKey]*accumulator
	delta  map[countKey]*accumulator
	meter  burn.Meter
}

type countKey struct {
	account  string
	pipeline string
}

// accumulator builds up a Count. hist is nil if latencies are not recorded.
type accumulator struct {
	Count
	hist   *hdrhistogram.Histogram
	stages map[string]*Cost
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{
		counts: map[countKey]*accumulator{},
		delta:  map[countKey]*accumulator{},
	}
}

// Add counts a request that ended at the time now.
func (t *Counter) Add(now time.Time, e Entry) {
	t.meter.Add(now, e.InTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	k := countKey{
		account:  e.Account,
		pipeline: e.Pipeline,
	}
	for _, counts := range []map[countKey]*accumulator{t.counts, t.delta} {
		acc, ok := counts[k]
		if !ok {
			acc = newAccumulator(k, len(counts) < maxHistograms)
			counts[k] = acc
		}
		acc.add(e)
	}
}

func newAccumulator(k countKey, withLatency bool) *accumulator {
	a := &accumulator{
		Count: Count{
			Account:  k.account,
			Pipeline: k.pipeline,
		},
		stages: map[string]*Cost{},
	}
	if withLatency {
		a.hist = newHistogram()
	}
	return a
}

func (a *accumulator) add(e Entry) {
	a.Sent++
	if e.InTime {
		a.InTime++
	}
	switch e.Outcome {
	case wire.Answered:
		a.Answered++
		if a.hist != nil {
			// RecordValue fails only for values above ten minutes, and no request takes that long.
			_ = a.hist.RecordValue(e.Latency.Microseconds())
		}
	case wire.NotRun:
		a.NotRun++
	case wire.Failed:
		a.Failed++
	default:
		a.Unknown++
	}
	for _, s := range e.Stages {
		a.stage(s.Stage).add(s)
	}
}

func (a *accumulator) stage(name string) *Cost {
	s, ok := a.stages[name]
	if !ok {
		s = &Cost{
			Stage: name,
		}
		a.stages[name] = s
	}
	return s
}

// Counts returns the totals since the start, ordered by account and pipeline.
func (t *Counter) Counts() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	return export(t.counts)
}

// TakeDelta returns the totals since the last call of TakeDelta, ordered by account and pipeline.
func (t *Counter) TakeDelta() []Count {
	t.mu.Lock()
	delta := t.delta
	t.delta = map[countKey]*accumulator{}
	t.mu.Unlock()
	return export(delta)
}

func export(counts map[countKey]*accumulator) []Count {
	out := make([]Count, 0, len(counts))
	for _, c := range counts {
		out = append(out, c.export())
	}
	sortCounts(out)
	return out
}

func (a *accumulator) export() Count {
	out := a.Count
	out.Stages = nil
	for _, s := range a.stages {
		out.Stages = append(out.Stages, *s)
	}
	slices.SortFunc(out.Stages, func(x, y Cost) int { return cmp.Compare(x.Stage, y.Stage) })
	out.Latency = encodeHistogram(a.hist)
	return out
}

// Burn returns the burn rates and the alert state of the objective at the time now.
func (t *Counter) Burn(now time.Time, objective float64) burn.Report {
	return t.meter.ReportAt(now, objective)
}

// MustHaltRollout reports whether the burn rate at the time now is so high that a roll-out has to wait.
func (t *Counter) MustHaltRollout(now time.Time, objective float64) bool {
	good, bad := t.meter.Sum(now, haltWindow)
	return good+bad >= haltMinRequests && burn.Rate(good, bad, objective) > haltRate
}

func sortCounts(cs []Count) {
	slices.SortFunc(cs, func(x, y Count) int {
		return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.Pipeline, y.Pipeline))
	})
}
