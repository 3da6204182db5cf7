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
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// ErrPromiseBroken is returned if a daemon broke at least one promise.
var ErrPromiseBroken = errors.New("a promise was broken")

// Result sums up the outcomes of a workload. The promises are that DoubleRuns, Lost, WrongAnswers and FalseNotRun are all 0. Latencies are in milliseconds.
type Result struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// DoubleRuns counts repeated runs of stages that must run at most once.
	DoubleRuns int `json:"double_runs"`
	// Lost counts requests without an outcome.
	Lost int `json:"lost"`
	// WrongAnswers counts answers that are incomplete or differ from the expected output.
	WrongAnswers int `json:"misrouted"`
	// FalseNotRun counts requests that were reported as not run although their first stage ran.
	FalseNotRun int `json:"false_not_run"`
	// Attainment is the fraction of requests that were answered.
	Attainment      float64 `json:"attainment"`
	P50MS           float64 `json:"p50_ms"`
	P95MS           float64 `json:"p95_ms"`
	P99MS           float64 `json:"p99_ms"`
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	Retries         int     `json:"retries"`
	Kinds           []Kind  `json:"kinds"`
	Stages          []Stage `json:"stages"`
}

// Kind sums up the requests of one kind. Latencies are in milliseconds.
type Kind struct {
	Name     string  `json:"name"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	P50MS    float64 `json:"p50_ms"`
	P95MS    float64 `json:"p95_ms"`
	hist     *hdrhistogram.Histogram
}

// Stage sums up the cost of one stage over all answered requests.
type Stage struct {
	Name   string  `json:"name"`
	Cost   float64 `json:"cost"`
	Wasted float64 `json:"wasted"`
}

// Recorder collects outcomes while a workload runs. It is safe for concurrent use.
type Recorder struct {
	mu             sync.Mutex
	result         Result
	latencies      *hdrhistogram.Histogram
	firstTokens    *hdrhistogram.Histogram
	kinds          map[string]*Kind
	stages         map[string]*Stage
	notRunRequests []WorkloadRequest
	onceRequests   []WorkloadRequest
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		latencies:   newHistogram(),
		firstTokens: newHistogram(),
		kinds:       map[string]*Kind{},
		stages:      map[string]*Stage{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

// Add records the outcome of a request. text is the concatenation of the streamed tokens, or the output of an answer that was not streamed. gaps is the number of tokens out of sequence.
func (rec *Recorder) Add(req WorkloadRequest, a wire.Answer, text string, gaps int, took time.Duration, err error) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.result.Sent++
	k := rec.kind(req.Kind())
	k.Sent++
	if req.OnceStage != "" {
		rec.onceRequests = append(rec.onceRequests, req)
	}
	if err != nil {
		rec.addError(req, err)
		return
	}
	if a.Output != req.WantOutput || text != req.WantOutput || gaps > 0 {
		rec.result.WrongAnswers++
		return
	}
	rec.result.Answered++
	k.Answered++
	// The error is ignored: the histograms cover ten minutes, and no request takes longer.
	_ = rec.latencies.RecordValue(took.Microseconds())
	_ = k.hist.RecordValue(took.Microseconds())
	if a.FirstTokenMS > 0 {
		_ = rec.firstTokens.RecordValue(int64(a.FirstTokenMS * 1000))
	}
	rec.addStages(a.Stages)
}

func (rec *Recorder) addError(req WorkloadRequest, err error) {
	var p wire.Problem
	if !errors.As(err, &p) {
		rec.result.Lost++
		return
	}
	switch p.Outcome {
	case wire.NotRun:
		rec.result.NotRun++
		rec.notRunRequests = append(rec.notRunRequests, req)
	case wire.Failed:
		rec.result.Failed++
	default:
		rec.result.Unknown++
	}
}

func (rec *Recorder) addStages(reports []wire.StageReport) {
	for _, r := range reports {
		s, ok := rec.stages[r.Stage]
		if !ok {
			s = &Stage{
				Name: r.Stage,
			}
			rec.stages[r.Stage] = s
		}
		s.Cost += r.Cost
		s.Wasted += r.Wasted
		rec.result.Retries += r.Attempts - 1
	}
}

func (rec *Recorder) kind(name string) *Kind {
	k, ok := rec.kinds[name]
	if !ok {
		k = &Kind{
			Name: name,
			hist: newHistogram(),
		}
		rec.kinds[name] = k
	}
	return k
}

// Close checks the recorded outcomes against the run log of the upstreams and returns the result.
func (rec *Recorder) Close(log *runner.RunLog) Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.result
	for _, req := range rec.onceRequests {
		if n := log.Count(req.OnceStage, req.OnceInput); n > 1 {
			r.DoubleRuns += n - 1
		}
	}
	for _, req := range rec.notRunRequests {
		if log.Count(req.FirstStage, req.Call.Request.Input) > 0 {
			r.FalseNotRun++
		}
	}
	if r.Sent > 0 {
		r.Attainment = float64(r.Answered) / float64(r.Sent)
	}
	r.P50MS = quantile(rec.latencies, 50)
	r.P95MS = quantile(rec.latencies, 95)
	r.P99MS = quantile(rec.latencies, 99)
	r.FirstTokenP50MS = quantile(rec.firstTokens, 50)
	r.FirstTokenP95MS = quantile(rec.firstTokens, 95)
	for _, k := range rec.kinds {
		k.P50MS = quantile(k.hist, 50)
		k.P95MS = quantile(k.hist, 95)
		r.Kinds = append(r.Kinds, *k)
	}
	for _, s := range rec.stages {
		r.Stages = append(r.Stages, *s)
	}
	slices.SortFunc(r.Kinds, func(x, y Kind) int { return compareNames(x.Name, y.Name) })
	slices.SortFunc(r.Stages, func(x, y Stage) int { return compareNames(x.Name, y.Name) })
	return r
}

func compareNames(a, b string) int {
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

// Check returns ErrPromiseBroken, with the counts, if a promise was broken.
func (r Result) Check() error {
	if r.DoubleRuns+r.Lost+r.WrongAnswers+r.FalseNotRun > 0 {
		return fmt.Errorf("double_runs %d, lost %d, misrouted %d, false_not_run %d: %w",
			r.DoubleRuns, r.Lost, r.WrongAnswers, r.FalseNotRun, ErrPromiseBroken)
	}
	return nil
}

// Print writes the result to w as tables for a terminal.
func (r Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "sent\tanswered\tnot run\tfailed\tunknown\tattainment\tretries\t\n")
	fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%.2f %%\t%d\t\n\n", r.Sent, r.Answered, r.NotRun, r.Failed, r.Unknown, 100*r.Attainment, r.Retries)
	fmt.Fprintf(t, "latency\tp50\tp95\tp99\tfirst token p50\tp95\t\n")
	fmt.Fprintf(t, "ms\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n\n", r.P50MS, r.P95MS, r.P99MS, r.FirstTokenP50MS, r.FirstTokenP95MS)
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
	fmt.Fprintf(t, "gives a wrong or partial answer\t%d\t\n", r.WrongAnswers)
	fmt.Fprintf(t, "says \"not run\" of what ran\t%d\t\n", r.FalseNotRun)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}
