package demo

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/stand/runner"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	maxMicros     = int64(10 * time.Minute / time.Microsecond)
	histogramSigs = 3
)

// ErrBroken says that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// Result is what became of a workload.
type Result struct {
	Sent       int     `json:"sent"`
	Answered   int     `json:"answered"`
	NotRun     int     `json:"not_run"`
	Failed     int     `json:"failed"`
	Unknown    int     `json:"unknown"`
	DoubleRuns int     `json:"double_runs"`
	Lost       int     `json:"lost"`
	Misrouted  int     `json:"misrouted"`
	FalseNo    int     `json:"false_not_run"`
	Attainment float64 `json:"attainment"`
	P50MS      float64 `json:"p50_ms"`
	P95MS      float64 `json:"p95_ms"`
	P99MS      float64 `json:"p99_ms"`
	FirstP50MS float64 `json:"first_token_p50_ms"`
	FirstP95MS float64 `json:"first_token_p95_ms"`
	Retries    int     `json:"retries"`
	Kinds      []Kind  `json:"kinds"`
	Stages     []Stage `json:"stages"`
}

// Kind sums up one sort of request.
type Kind struct {
	Name     string  `json:"name"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	P50MS    float64 `json:"p50_ms"`
	P95MS    float64 `json:"p95_ms"`
	hist     *hdrhistogram.Histogram
}

// Stage sums up the cost of one stage.
type Stage struct {
	Name   string  `json:"name"`
	Cost   float64 `json:"cost"`
	Wasted float64 `json:"wasted"`
}

// Recorder collects outcomes while a workload runs.
type Recorder struct {
	mu     sync.Mutex
	result Result
	all    *hdrhistogram.Histogram
	first  *hdrhistogram.Histogram
	kinds  map[string]*Kind
	stages map[string]*Stage
	notRun []Order
	once   []Order
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		all:    newHistogram(),
		first:  newHistogram(),
		kinds:  map[string]*Kind{},
		stages: map[string]*Stage{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, histogramSigs)
}

// Add takes the outcome of an order; text is what was streamed, or the answer's output.
func (b *Recorder) Add(o Order, a wire.Answer, text string, gaps int, took time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Sent++
	k := b.kind(o.Kind())
	k.Sent++
	if o.Once != "" {
		b.once = append(b.once, o)
	}
	if err != nil {
		b.addError(o, err)
		return
	}
	if a.Output != o.Want || text != o.Want || gaps > 0 {
		b.result.Misrouted++
		return
	}
	b.result.Answered++
	k.Answered++
	// The histogram covers ten minutes, and no request lives longer.
	_ = b.all.RecordValue(took.Microseconds())
	_ = k.hist.RecordValue(took.Microseconds())
	if a.FirstTokenMS > 0 {
		_ = b.first.RecordValue(int64(a.FirstTokenMS * 1000))
	}
	b.addStages(a.Stages)
}

func (b *Recorder) addError(o Order, err error) {
	var p wire.Problem
	if !errors.As(err, &p) {
		b.result.Lost++
		return
	}
	switch p.Outcome {
	case wire.NotRun:
		b.result.NotRun++
		b.notRun = append(b.notRun, o)
	case wire.Failed:
		b.result.Failed++
	default:
		b.result.Unknown++
	}
}

func (b *Recorder) addStages(reports []wire.StageReport) {
	for _, r := range reports {
		s, ok := b.stages[r.Stage]
		if !ok {
			s = &Stage{
				Name: r.Stage,
			}
			b.stages[r.Stage] = s
		}
		s.Cost += r.Cost
		s.Wasted += r.Wasted
		b.result.Retries += r.Attempts - 1
	}
}

func (b *Recorder) kind(name string) *Kind {
	k, ok := b.kinds[name]
	if !ok {
		k = &Kind{
			Name: name,
			hist: newHistogram(),
		}
		b.kinds[name] = k
	}
	return k
}

// Close checks the outcomes against what the upstreams ran, and sums up.
func (b *Recorder) Close(log *runner.RunLog) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.result
	for _, o := range b.once {
		if n := log.Count(o.Once, o.OnceInput); n > 1 {
			r.DoubleRuns += n - 1
		}
	}
	for _, o := range b.notRun {
		if log.Count(o.First, o.Call.Request.Input) > 0 {
			r.FalseNo++
		}
	}
	if r.Sent > 0 {
		r.Attainment = float64(r.Answered) / float64(r.Sent)
	}
	r.P50MS = quantile(b.all, 50)
	r.P95MS = quantile(b.all, 95)
	r.P99MS = quantile(b.all, 99)
	r.FirstP50MS = quantile(b.first, 50)
	r.FirstP95MS = quantile(b.first, 95)
	for _, k := range b.kinds {
		k.P50MS = quantile(k.hist, 50)
		k.P95MS = quantile(k.hist, 95)
		r.Kinds = append(r.Kinds, *k)
	}
	for _, s := range b.stages {
		r.Stages = append(r.Stages, *s)
	}
	slices.SortFunc(r.Kinds, func(x, y Kind) int { return compare(x.Name, y.Name) })
	slices.SortFunc(r.Stages, func(x, y Stage) int { return compare(x.Name, y.Name) })
	return r
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Check returns ErrBroken if a promise was broken.
func (r Result) Check() error {
	if r.DoubleRuns+r.Lost+r.Misrouted+r.FalseNo > 0 {
		return fmt.Errorf("double_runs %d, lost %d, misrouted %d, false_not_run %d: %w",
			r.DoubleRuns, r.Lost, r.Misrouted, r.FalseNo, ErrBroken)
	}
	return nil
}

// Print writes the result as tables.
func (r Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "sent\tanswered\tnot run\tfailed\tunknown\tattainment\tretries\t\n")
	fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%.2f %%\t%d\t\n\n", r.Sent, r.Answered, r.NotRun, r.Failed, r.Unknown, 100*r.Attainment, r.Retries)
	fmt.Fprintf(t, "latency\tp50\tp95\tp99\tfirst token p50\tp95\t\n")
	fmt.Fprintf(t, "ms\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n\n", r.P50MS, r.P95MS, r.P99MS, r.FirstP50MS, r.FirstP95MS)
	fmt.Fprintf(t, "request\tsent\tanswered\tp50 ms\tp95 ms\t\n")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t\n", k.Name, k.Sent, k.Answered, k.P50MS, k.P95MS)
	}
	fmt.Fprintf(t, "\nstage\tcost\twasted\t\n")
	for _, s := range r.Stages {
		fmt.Fprintf(t, "%s\t%.2f\t%.2f\t\n", s.Name, s.Cost, s.Wasted)
	}
	fmt.Fprintf(t, "\npromise\tbroken\t\n")
	fmt.Fprintf(t, "runs twice what may run once\t%d\t\n", r.DoubleRuns)
	fmt.Fprintf(t, "loses a request\t%d\t\n", r.Lost)
	fmt.Fprintf(t, "gives a wrong or partial answer\t%d\t\n", r.Misrouted)
	fmt.Fprintf(t, "says \"not run\" of what ran\t%d\t\n", r.FalseNo)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}
