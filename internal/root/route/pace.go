package route

import (
	"math"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
)

const (
	// paceMemory is after how long a stated pace has mostly given way to the upstream's usual one, as short slowdowns pass.
	paceMemory = 600 * time.Millisecond
	// usualPaceWeight is the weight of a new sample in the usual pace of an upstream, once it rests on many.
	usualPaceWeight = 0.05
	// usualPaceMemory is after how long without a report the usual pace of an upstream has mostly given way to that of its pool, so that one that was slow for long is tried again.
	usualPaceMemory = 30 * time.Second
)

// paceBook learns how long work takes at an upstream apart from its load, from the paces that the upstream states.
type paceBook struct {
	// usual is the moving average of the stated paces, or 0 if there is none, and samples their number.
	usual   float64
	samples int
	// stated is the last stated pace, and statedAt the time at which it was valid.
	stated   float64
	statedAt time.Time
}

// record adds the pace of a load report that was valid at the given time. A report without a pace changes nothing.
func (b *paceBook) record(load stage.Load, at time.Time) {
	if load.Pace <= 0 {
		return
	}
	b.samples++
	weight := max(1/float64(b.samples), usualPaceWeight)
	b.usual += weight * (load.Pace - b.usual)
	b.stated = load.Pace
	b.statedAt = at
}

// known reports whether the upstream has stated a pace.
func (b *paceBook) known() bool {
	return b.samples > 0
}

// usualAt returns the usual pace of the upstream, given the mean of its pool.
func (b *paceBook) usualAt(now time.Time, mean float64) float64 {
	if !b.known() {
		return mean
	}
	return decayed(b.usual, mean, now.Sub(b.statedAt), usualPaceMemory)
}

// at returns the pace that is expected of the upstream now, given the mean of its pool.
func (b *paceBook) at(now time.Time, mean float64) float64 {
	usual := b.usualAt(now, mean)
	if !b.known() {
		return usual
	}
	return decayed(b.stated, usual, now.Sub(b.statedAt), paceMemory)
}

// decayed returns a value that approaches limit from start, with the time constant memory.
func decayed(start, limit float64, age, memory time.Duration) float64 {
	return limit + (start-limit)*math.Exp(-max(0, age.Seconds())/memory.Seconds())
}
