package tally

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// ErrInconsistentCount is returned if the outcomes of a decoded count do not add up to the requests sent,
// or if it has more requests in time than answered ones.
var ErrInconsistentCount = errors.New("count does not add up")

// Cost is the accumulated cost of one stage, in the cost unit of its pool. Cost includes Wasted.
type Cost struct {
	Stage    string  `json:"stage"`
	Attempts int64   `json:"attempts"`
	Cost     float64 `json:"cost"`
	Wasted   float64 `json:"wasted"`
}

func (c *Cost) add(r wire.StageReport) {
	c.Attempts += int64(r.Attempts)
	c.Cost += r.Cost
	c.Wasted += r.Wasted
}

// Count holds the totals of the requests of one account on one pipeline.
type Count struct {
	Account  string `json:"account"`
	Pipeline string `json:"pipeline"`
	Sent     int64  `json:"sent"`
	Answered int64  `json:"answered"`
	InTime   int64  `json:"in_time"`
	NotRun   int64  `json:"not_run"`
	Failed   int64  `json:"failed"`
	Unknown  int64  `json:"unknown"`
	Stages   []Cost `json:"stages"`
	// Latency is a compressed HDR histogram of the answered requests, in microseconds.
	Latency []byte `json:"latency,omitempty"`
}

// UnmarshalJSON decodes a count. It returns ErrInconsistentCount if the numbers contradict each other.
func (c *Count) UnmarshalJSON(b []byte) error {
	type plain Count
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode count: %w", err)
	}
	if p.Answered+p.NotRun+p.Failed+p.Unknown != p.Sent || p.InTime > p.Answered {
		return fmt.Errorf("check count of %s on %s: %w", p.Account, p.Pipeline, ErrInconsistentCount)
	}
	*c = Count(p)
	return nil
}

// Attainment returns the fraction of requests that were answered completely and in time, or 1 if there were no requests.
func (c Count) Attainment() float64 {
	if c.Sent == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Sent)
}

// Total returns the cost of all stages, and how much of it was wasted.
func (c Count) Total() (cost, wasted float64) {
	for _, s := range c.Stages {
		cost += s.Cost
		wasted += s.Wasted
	}
	return cost, wasted
}

// Quantile returns the latency at a percentile from 0 to 100, or 0 if no request was answered or the histogram cannot be decoded.
func (c Count) Quantile(q float64) time.Duration {
	h, err := decodeHistogram(c.Latency)
	if err != nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Merge sums up the counts of several hosts. The result has one count for each account and pipeline, ordered by both.
func Merge(all []Count) []Count {
	sums := map[countKey]*accumulator{}
	for _, c := range all {
		k := countKey{
			account:  c.Account,
			pipeline: c.Pipeline,
		}
		sum, ok := sums[k]
		if !ok {
			sum = newAccumulator(k, true)
			sums[k] = sum
		}
		sum.merge(c)
	}
	return export(sums)
}

func (a *accumulator) merge(o Count) {
	a.Sent += o.Sent
	a.Answered += o.Answered
	a.InTime += o.InTime
	a.NotRun += o.NotRun
	a.Failed += o.Failed
	a.Unknown += o.Unknown
	for _, s := range o.Stages {
		sum := a.stage(s.Stage)
		sum.Attempts += s.Attempts
		sum.Cost += s.Cost
		sum.Wasted += s.Wasted
	}
	if h, err := decodeHistogram(o.Latency); err == nil {
		a.hist.Merge(h)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func encodeHistogram(h *hdrhistogram.Histogram) []byte {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		panic(fmt.Sprintf("histogram cannot be encoded: %v", err))
	}
	return b
}

func decodeHistogram(b []byte) (*hdrhistogram.Histogram, error) {
	if len(b) == 0 {
		return newHistogram(), nil
	}
	h, err := hdrhistogram.Decode(b)
	if err != nil {
		return nil, fmt.Errorf("decode histogram: %w", err)
	}
	return h, nil
}
