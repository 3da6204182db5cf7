package route

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

// evenCounts sums up the choices by expected time in a pool.
type evenCounts struct {
	choices, reported int64
	// reportAge is the sum of the ages of the reports used, and expected and took those of the expected and of the actual times until the first event.
	reportAge      time.Duration
	answers        int64
	expected, took time.Duration
}

func (c *evenCounts) add(s Estimate) {
	c.choices++
	if s.ReportAge < 0 || s.ReportAge > reportTTL {
		return
	}
	c.reported++
	c.reportAge += s.ReportAge
}

func (c *evenCounts) addWait(expected, took time.Duration) {
	c.answers++
	c.expected += expected
	c.took += took
}

// EvenStats shows how evenly the upstreams of a pool are loaded, and what the choices by expected time rest on.
type EvenStats struct {
	// Choices counts the choices by expected time, and WithoutReport those of an upstream without a current load report.
	Choices       int64 `json:"choices"`
	WithoutReport int64 `json:"without_report"`
	// ReportAgeMS is the mean age of the reports used, in milliseconds.
	ReportAgeMS float64 `json:"report_age_ms"`
	// ExpectedMS and TookMS are the mean expected and actual times until the first event, in milliseconds.
	ExpectedMS float64 `json:"expected_ms"`
	TookMS     float64 `json:"took_ms"`
	// Pace is the mean of the usual paces of the upstreams.
	Pace float64 `json:"pace"`
	// BusiestToMean compares the busiest upstream with the mean by current reports, in requests running and waiting, or is 0 if there are none.
	BusiestToMean float64 `json:"busiest_to_mean"`
	// Queued is the number of requests that wait at the upstreams by current reports.
	Queued int `json:"queued"`
}

// EvenStats returns the statistics of the pools whose upstreams state their pace, by the pool's name.
func (t *Table) EvenStats(now time.Time) map[string]EvenStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]EvenStats{}
	for name, p := range t.pools {
		if p.even.paced() {
			out[name] = p.evenStats(now)
		}
	}
	return out
}

func (p *pool) evenStats(now time.Time) EvenStats {
	c := p.even.stats
	s := EvenStats{
		Choices:       c.choices,
		WithoutReport: c.choices - c.reported,
		ReportAgeMS:   meanMillis(c.reportAge, c.reported),
		ExpectedMS:    meanMillis(c.expected, c.answers),
		TookMS:        meanMillis(c.took, c.answers),
		Pace:          p.even.pace,
	}
	sum, most, reports := 0, 0, 0
	for _, e := range p.entries {
		if e.reportStale(now) {
			continue
		}
		load := e.report.Busy + e.report.Queued
		reports++
		sum += load
		most = max(most, load)
		s.Queued += e.report.Queued
	}
	if sum > 0 {
		s.BusiestToMean = float64(most*reports) / float64(sum)
	}
	return s
}

// meanMillis returns the mean of n durations with the given sum in milliseconds, or 0 if there are none.
func meanMillis(sum time.Duration, n int64) float64 {
	if n == 0 {
		return 0
	}
	return common.Millis(sum) / float64(n)
}
