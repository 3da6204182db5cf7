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
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	precision = 2
)

// ErrCount reports a count whose parts do not add up.
var ErrCount = errors.New("count does not add up")

// Cost is what one stage cost, in the unit of its pool.
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

// Count sums up the requests of one account on one pipeline.
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

// UnmarshalJSON decodes a count and checks that its outcomes add up.
func (c *Count) UnmarshalJSON(b []byte) error {
	type plain Count
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode count: %w", err)
	}
	if p.Answered+p.NotRun+p.Failed+p.Unknown != p.Sent || p.InTime > p.Answered {
		return fmt.Errorf("check count of %s on %s: %w", p.Account, p.Pipeline, ErrCount)
	}
	*c = Count(p)
	return nil
}

// Attainment is the share of requests answered whole in time, 1 where there were none.
func (c Count) Attainment() float64 {
	if c.Sent == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Sent)
}

// Total returns the cost of all stages and the wasted part of it.
func (c Count) Total() (cost, wasted float64) {
	for _, s := range c.Stages {
		cost += s.Cost
		wasted += s.Wasted
	}
	return cost, wasted
}

// Quantile returns a latency quantile, from 0 to 100, or 0 where nothing was answered.
func (c Count) Quantile(q float64) time.Duration {
	h, err := decode(c.Latency)
	if err != nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Merge returns the sum of counts over hosts, one for each account and pipeline.
func Merge(all []Count) []Count {
	sums := map[key]*count{}
	for _, c := range all {
		k := key{
			account:  c.Account,
			pipeline: c.Pipeline,
		}
		sum, ok := sums[k]
		if !ok {
			sum = newCount(k, true)
			sums[k] = sum
		}
		sum.merge(c)
	}
	return export(sums)
}

func (c *count) merge(o Count) {
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.InTime += o.InTime
	c.NotRun += o.NotRun
	c.Failed += o.Failed
	c.Unknown += o.Unknown
	for _, s := range o.Stages {
		sum := c.stage(s.Stage)
		sum.Attempts += s.Attempts
		sum.Cost += s.Cost
		sum.Wasted += s.Wasted
	}
	if h, err := decode(o.Latency); err == nil {
		c.hist.Merge(h)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, precision)
}

func encode(h *hdrhistogram.Histogram) []byte {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		panic(fmt.Sprintf("histogram cannot be encoded: %v", err))
	}
	return b
}

func decode(b []byte) (*hdrhistogram.Histogram, error) {
	if len(b) == 0 {
		return newHistogram(), nil
	}
	h, err := hdrhistogram.Decode(b)
	if err != nil {
		return nil, fmt.Errorf("decode histogram: %w", err)
	}
	return h, nil
}
