package room

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of a new sample in the moving average of a pace.
	paceWeight = 0.1
	// paceDecay is the time constant with which a pace returns to 1 while there are no samples.
	paceDecay = 4 * time.Second
	// minPace is the least pace that counts, so that a pool that fails goes on being tried.
	minPace = 0.1
)

// Pace is how much work the workers of a queue do while work waits, as a share of what full calls at workers of normal speed would do. The zero value is a pace of 1.
type Pace struct {
	lack float64
	at   time.Time
}

// Observe adds that work was done in a span of a worker's time.
func (p *Pace) Observe(now time.Time, work, span time.Duration) {
	if span <= 0 {
		return
	}
	lack := 1 - min(1, float64(work)/float64(span))
	old := 1 - p.Value(now)
	p.lack = old + paceWeight*(lack-old)
	p.at = now
}

// Value returns the pace, between minPace and 1.
func (p *Pace) Value(now time.Time) float64 {
	return max(minPace, 1-p.lack*math.Exp(-float64(now.Sub(p.at))/float64(paceDecay)))
}
