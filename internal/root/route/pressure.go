package route

import "time"

// pressureMaxAge is how long the computed pressure of a pool is reused.
const pressureMaxAge = 5 * time.Millisecond

// Pressure compares the load of a pool with its capacity. It covers the upstreams that are neither closed nor ejected.
type Pressure struct {
	Load  int
	Slots int
	// Service is the mean service time of the upstreams, or the expected one of the pool if there are none.
	Service   time.Duration
	Upstreams int
}

// Utilization returns the load per slot, or 1 for a pool without slots.
func (p Pressure) Utilization() float64 {
	if p.Slots == 0 {
		return 1
	}
	return float64(p.Load) / float64(p.Slots)
}

// Wait predicts how long a new request waits for a slot.
func (p Pressure) Wait() time.Duration {
	if p.Slots == 0 {
		return p.Service
	}
	over := float64(p.Load+1-p.Slots) / float64(p.Slots)
	return time.Duration(max(0, over) * float64(p.Service))
}

// Pressure returns the pressure of a pool for admission control. The value may be up to pressureMaxAge old.
func (t *Table) Pressure(now time.Time, name string) Pressure {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[name]
	if !ok {
		return Pressure{}
	}
	return t.pressure(now, p)
}

// pressure returns the pressure of the pool. It recomputes the value at most once per pressureMaxAge, since a computation takes time proportional to the size of the pool.
func (t *Table) pressure(now time.Time, p *pool) Pressure {
	if !p.totalAt.IsZero() && now.Sub(p.totalAt) < pressureMaxAge {
		return p.total
	}
	total := Pressure{
		Service: p.expected,
	}
	var service time.Duration
	inFlight := 0
	for _, e := range p.entries {
		if e.up.Closed() || e.isEjected(now) || e.isPaused(now) || e.isHeld(now) || e.isWithheld(now) {
			continue
		}
		total.Upstreams++
		total.Load += e.scaledLoad(now, t.hosts)
		inFlight += e.inFlight
		total.Slots += int(e.capacity(now, p.slots))
		service += e.serviceTime(now, p.expected)
	}
	if total.Upstreams > 0 {
		total.Service = service / time.Duration(total.Upstreams)
	}
	total.Load = max(total.Load, inFlight)
	p.total = total
	p.totalAt = now
	return total
}
