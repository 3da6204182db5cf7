package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// burstTime is the time in which an unused share of a limit accumulates, so that a request that comes a little later is not refused.
	burstTime = 250 * time.Millisecond
	// maxRetry is the longest time after which a host asks again. The limit may be raised meanwhile.
	maxRetry = 2 * time.Second
)

// Grants hands out the requests that limited upstreams take. One host at a time does this for each upstream. It is safe for concurrent use.
type Grants struct {
	mu      sync.Mutex
	buckets map[route.Incarnation]*rate.Limiter
}

// NewGrants returns Grants for upstreams that all have used up their limit: another host may have granted requests until now.
func NewGrants() *Grants {
	return &Grants{
		buckets: map[route.Incarnation]*rate.Limiter{},
	}
}

// Take grants one request to an upstream with the limit, or returns how long to wait before another try.
func (g *Grants) Take(now time.Time, i route.Incarnation, perSecond float64) (granted bool, retry time.Duration) {
	bucket := g.bucket(now, i, perSecond)
	r := bucket.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait <= 0 {
		return true, 0
	}
	r.CancelAt(now)
	return false, min(wait, maxRetry)
}

// bucket returns the token bucket of an upstream, with the limit as it is now.
func (g *Grants) bucket(now time.Time, i route.Incarnation, perSecond float64) *rate.Limiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	burst := max(1, int(perSecond*burstTime.Seconds()))
	bucket, ok := g.buckets[i]
	if !ok {
		if len(g.buckets) >= maxEntries {
			g.buckets = map[route.Incarnation]*rate.Limiter{}
		}
		bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		bucket.AllowN(now, burst)
		g.buckets[i] = bucket
		return bucket
	}
	if bucket.Limit() != rate.Limit(perSecond) {
		bucket.SetLimitAt(now, rate.Limit(perSecond))
		bucket.SetBurstAt(now, burst)
	}
	return bucket
}
