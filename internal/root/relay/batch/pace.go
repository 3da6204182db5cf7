package batch

import (
	"math"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// rateOver is the time constant of the moving average of arrivals.
	rateOver = time.Second
	// fullSpacing divides the spacing where a call is as large as it is going to be.
	fullSpacing = 2
)

// pace spaces the calls of a pool evenly, by the rate at which pieces arrive.
type pace struct {
	// rate is the moving average of arrivals, in pieces a second, as of seen.
	rate float64
	seen time.Time
	last time.Time
}

// arrived counts pieces.
func (p *pace) arrived(now time.Time, pieces int) {
	p.rate = p.rateAt(now) + float64(pieces)/rateOver.Seconds()
	p.seen = now
}

func (p *pace) rateAt(now time.Time) float64 {
	if p.seen.IsZero() {
		return 0
	}
	return p.rate * math.Exp(-float64(now.Sub(p.seen))/float64(rateOver))
}

// called records that a call began.
func (p *pace) called(now time.Time) {
	p.last = now
}

// holds reports whether a call with the pieces that wait would be too soon after the one before: workers that begin together end together, so that what comes just after waits for a whole call.
func (p *pace) holds(now time.Time, waiting, workers int, spec plan.Worker) bool {
	size := p.size(now, workers, spec)
	if size < 1 {
		return false
	}
	period := spec.Call + time.Duration(size*float64(spec.Item))
	spacing := period / time.Duration(workers)
	if waiting >= spec.Batch || float64(waiting) >= size {
		spacing /= fullSpacing
	}
	return now.Sub(p.last) < spacing
}

// size is how many pieces a call has at the rate at which they come, at the most a full call's.
func (p *pace) size(now time.Time, workers int, spec plan.Worker) float64 {
	perWorker := p.rateAt(now) / float64(workers)
	// A worker that takes n pieces a call keeps up if n / (call + n*item) is the rate that comes to it.
	left := 1 - perWorker*spec.Item.Seconds()
	if left <= 0 {
		return float64(spec.Batch)
	}
	return min(perWorker*spec.Call.Seconds()/left, float64(spec.Batch))
}
