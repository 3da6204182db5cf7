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
	// haltWindow and haltRate say when a roll-out has to wait for the objective.
	haltWindow = time.Minute
	haltRate   = 10
	haltLeast  = 20
	// maxHistograms bounds the memory of latencies; accounts beyond it are counted without them.
	maxHistograms = 1000
)

// Entry is the end of one request.
type Entry struct {
	Account  string
	Pipeline string
	Outcome  wire.Outcome
	// InTime says that a whole answer was given before the deadline.
	InTime bool
	Took   time.Duration
	Stages []wire.StageReport
}

// Counter counts entries.
type Counter struct {
	mu sync.Mutex
	// counts is since the start, and fresh since the last call of Take.
	counts map[key]*count
	fresh  map[key]*count
	meter  burn.Meter
}

type key struct {
	account  string
	pipeline string
}

// count is a Count under construction.
type count struct {
	Count
	hist   *hdrhistogram.Histogram
	stages map[string]*Cost
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{
		counts: map[key]*count{},
		fresh:  map[key]*count{},
	}
}

// Add counts an entry that ended at now.
func (b *Counter) Add(now time.Time, e Entry) {
	b.meter.Add(now, e.InTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	k := key{
		account:  e.Account,
		pipeline: e.Pipeline,
	}
	for _, counts := range []map[key]*count{b.counts, b.fresh} {
		c, ok := counts[k]
		if !ok {
			c = newCount(k, len(counts) < maxHistograms)
			counts[k] = c
		}
		c.add(e)
	}
}

func newCount(k key, latencies bool) *count {
	c := &count{
		Count: Count{
			Account:  k.account,
			Pipeline: k.pipeline,
		},
		stages: map[string]*Cost{},
	}
	if latencies {
		c.hist = newHistogram()
	}
	return c
}

func (c *count) add(e Entry) {
	c.Sent++
	if e.InTime {
		c.InTime++
	}
	switch e.Outcome {
	case wire.Answered:
		c.Answered++
		if c.hist != nil {
			// The histogram covers ten minutes, and no request lives longer.
			_ = c.hist.RecordValue(e.Took.Microseconds())
		}
	case wire.NotRun:
		c.NotRun++
	case wire.Failed:
		c.Failed++
	default:
		c.Unknown++
	}
	for _, s := range e.Stages {
		c.stage(s.Stage).add(s)
	}
}

func (c *count) stage(name string) *Cost {
	s, ok := c.stages[name]
	if !ok {
		s = &Cost{
			Stage: name,
		}
		c.stages[name] = s
	}
	return s
}

// Counts returns what was counted since the start, in order of accounts and pipelines.
func (b *Counter) Counts() []Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	return export(b.counts)
}

// Take returns what was counted since it was called last.
func (b *Counter) Take() []Count {
	b.mu.Lock()
	fresh := b.fresh
	b.fresh = map[key]*count{}
	b.mu.Unlock()
	return export(fresh)
}

func export(counts map[key]*count) []Count {
	out := make([]Count, 0, len(counts))
	for _, c := range counts {
		out = append(out, c.export())
	}
	sortCounts(out)
	return out
}

func (c *count) export() Count {
	out := c.Count
	out.Stages = nil
	for _, s := range c.stages {
		out.Stages = append(out.Stages, *s)
	}
	slices.SortFunc(out.Stages, func(x, y Cost) int { return cmp.Compare(x.Stage, y.Stage) })
	out.Latency = encode(c.hist)
	return out
}

// Burn returns the burn of the objective at now.
func (b *Counter) Burn(now time.Time, objective float64) burn.Report {
	return b.meter.Over(now, objective)
}

// Burning reports whether the objective is missed so fast at now that a roll-out has to wait.
func (b *Counter) Burning(now time.Time, objective float64) bool {
	good, bad := b.meter.Sum(now, haltWindow)
	return good+bad >= haltLeast && burn.Rate(good, bad, objective) > haltRate
}

func sortCounts(cs []Count) {
	slices.SortFunc(cs, func(x, y Count) int {
		return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.Pipeline, y.Pipeline))
	})
}
