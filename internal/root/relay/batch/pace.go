package batch

import (
	"math"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// rateOver is the time constant of the moving average of arrivals.
const rateOver = time.Second

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

// holds reports whether a call with the pieces that wait would be too small and too soon after the one before.
func (p *pace) holds(now time.Time, waiting, workers int, spec plan.Worker) bool {
	rate := p.rateAt(now)
	perWorker := rate / float64(workers)
	// A worker that takes n pieces a call keeps up if n / (call + n*item) is the rate that comes to it.
	left := 1 - perWorker*spec.Item.Seconds()
	if left <= 0 {
		return false
	}
	size := perWorker * spec.Call.Seconds() / left
	if size < 1 || waiting >= spec.Batch || float64(waiting) >= size {
		return false
	}
	period := spec.Call + time.Duration(min(size, float64(spec.Batch))*float64(spec.Item))
	return now.Sub(p.last) < period/time.Duration(workers)
}
