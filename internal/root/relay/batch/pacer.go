package batch

import (
	"math"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// rateWindow is the time constant of the moving average of the arrival rate.
	rateWindow = time.Second
	// fullCallDivisor divides the spacing of calls once the waiting pieces fill a call or reach its expected size, because more waiting would not make the call larger.
	fullCallDivisor = 2
)

// pacer spaces the calls of a queue evenly, based on the rate at which pieces arrive.
type pacer struct {
	// rate is the moving average of the arrival rate, in pieces per second, as of updatedAt.
	rate      float64
	updatedAt time.Time
	lastCall  time.Time
}

// recordArrivals adds pieces that have arrived to the rate.
func (p *pacer) recordArrivals(now time.Time, pieces int) {
	p.rate = p.rateAt(now) + float64(pieces)/rateWindow.Seconds()
	p.updatedAt = now
}

func (p *pacer) rateAt(now time.Time) float64 {
	if p.updatedAt.IsZero() {
		return 0
	}
	return p.rate * math.Exp(-float64(now.Sub(p.updatedAt))/float64(rateWindow))
}

// recordCall records that a call started.
func (p *pacer) recordCall(now time.Time) {
	p.lastCall = now
}

// shouldDelay reports whether a call with the waiting pieces would follow the previous call too soon. If all workers started together, they would finish together, and pieces that arrive just after the start would wait for a whole call.
func (p *pacer) shouldDelay(now time.Time, waiting, workers int, spec plan.Worker) bool {
	expectedSize := p.expectedSize(now, workers, spec)
	if expectedSize < 1 {
		return false
	}
	period := spec.Call + time.Duration(expectedSize*float64(spec.PieceTime))
	spacing := period / time.Duration(workers)
	if waiting >= spec.Batch || float64(waiting) >= expectedSize {
		spacing /= fullCallDivisor
	}
	return now.Sub(p.lastCall) < spacing
}

// expectedSize returns how many pieces a call is expected to have at the current arrival rate, up to a full call.
func (p *pacer) expectedSize(now time.Time, workers int, spec plan.Worker) float64 {
	perWorker := p.rateAt(now) / float64(workers)
	// A worker that gets n pieces per call completes n / (call + n*item) pieces per second. The expected size is the n at which this rate equals the arrival rate per worker.
	left := 1 - perWorker*spec.PieceTime.Seconds()
	if left <= 0 {
		return float64(spec.Batch)
	}
	return min(perWorker*spec.Call.Seconds()/left, float64(spec.Batch))
}
