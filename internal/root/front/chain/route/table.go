package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stage"
)

const (
	// sampled is how many candidates of a failure domain are compared for one choice.
	sampled = 2
	// tries bounds the draws for one candidate before the pool is searched in order.
	tries = 8
	// wayCost is what crossing to another failure domain costs, both ways.
	wayCost = 3 * time.Millisecond
	// affinityBound is how far above the mean load a preferred upstream may be.
	affinityBound = 1.25
	// affinityFree is the share of its slots up to which a preferred upstream is taken whatever the mean load is.
	affinityFree = 0.5
	// maxOutShare is the share of a pool that may be ejected at the same time.
	maxOutShare = 0.5
	// sumEvery is how long the summed pressure of a pool is used.
	sumEvery = 5 * time.Millisecond
)

// PoolSpec is what a pool promises while nothing else is known of its upstreams.
type PoolSpec struct {
	Name     string
	Slots    int
	Expected time.Duration
}

// Query asks for an upstream of a pool.
type Query struct {
	Pool string
	// Affinity is the hash of the prompt's prefix, or 0 where none is preferred.
	Affinity uint64
	// Near is the failure domain in which the upstream should be, or "" for the host's own.
	Near string
	// Exclude names upstreams that were tried already.
	Exclude []string
	// Allow, where set, leaves only some upstreams to choose from.
	Allow func(upstream string) bool
	// far leaves only upstreams of other domains to choose from.
	far bool
}

// takes reports whether the query may be given the upstream.
func (q Query) takes(now time.Time, e *entry) bool {
	if !e.usable(now) || slices.Contains(q.Exclude, e.up.Name) || (q.far && e.up.Domain == q.Near) {
		return false
	}
	return q.Allow == nil || q.Allow(e.up.Name)
}

// Pressure is how much a pool has in hand against what it can work on.
type Pressure struct {
	Load     int
	Slots    int
	Service  time.Duration
	Upstream int
}

// Utilization is the load for each slot.
func (p Pressure) Utilization() float64 {
	if p.Slots == 0 {
		return 1
	}
	return float64(p.Load) / float64(p.Slots)
}

// Wait predicts how long a request waits for a slot.
func (p Pressure) Wait() time.Duration {
	if p.Slots == 0 {
		return p.Service
	}
	over := float64(p.Load+1-p.Slots) / float64(p.Slots)
	return time.Duration(max(0, over) * float64(p.Service))
}

type pool struct {
	spec     PoolSpec
	slots    int
	expected time.Duration
	entries  []*entry
	// near holds the entries by their failure domains.
	near map[string][]*entry
	// sum is the pressure as it was summed up last; own attempts are counted in as they begin and end.
	sum   Pressure
	sumAt time.Time
}

// Table holds the upstreams of all pools and what is known of each.
type Table struct {
	mu     sync.Mutex
	domain string
	hosts  int
	pools  map[string]*pool
	byName map[string]*entry
}

// New returns an empty table for a host in the failure domain.
func New(domain string) *Table {
	return &Table{
		domain: domain,
		hosts:  1,
		pools:  map[string]*pool{},
		byName: map[string]*entry{},
	}
}

// Sync replaces the members and keeps what is known of those that stay.
func (t *Table) Sync(specs []PoolSpec, ups []Upstream, hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(1, hosts)
	pools := make(map[string]*pool, len(specs))
	for _, s := range specs {
		pools[s.Name] = &pool{
			spec:     s,
			slots:    s.Slots,
			expected: s.Expected,
			near:     map[string][]*entry{},
		}
	}
	names := make(map[string]*entry, len(ups))
	for _, u := range ups {
		p, ok := pools[u.Pool]
		if !ok {
			continue
		}
		e := t.keep(u)
		names[u.Name] = e
		p.entries = append(p.entries, e)
		p.near[u.Domain] = append(p.near[u.Domain], e)
	}
	t.pools = pools
	t.byName = names
}

// keep returns the entry of an upstream, a new one if it is new or has moved.
func (t *Table) keep(u Upstream) *entry {
	old, ok := t.byName[u.Name]
	if !ok || old.up.Addr != u.Addr || old.up.Born != u.Born {
		return newEntry(u)
	}
	old.up = u
	return old
}

// Report takes an upstream's load report that was true at the time given.
func (t *Table) Report(name string, load stage.Load, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[name]
	if !ok || at.Before(e.reportAt) {
		return
	}
	e.take(load, at)
}

// Pick chooses an upstream and counts an attempt on it; false says that none is usable.
func (t *Table) Pick(now time.Time, rng *rand.Rand, q Query) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[q.Pool]
	if !ok || len(p.entries) == 0 {
		return Upstream{}, false
	}
	if q.Near == "" {
		q.Near = t.domain
	}
	e := t.preferred(now, p, q)
	if e == nil {
		e = t.sample(now, rng, p, q)
	}
	if e == nil {
		return Upstream{}, false
	}
	e.setOwn(now, e.own+1)
	p.sum.Load += t.hosts
	up := e.up
	up.Probe = e.outs > 0
	return up, true
}

// PickAny is Pick with the process's own source of chance.
func (t *Table) PickAny(now time.Time, q Query) (Upstream, bool) {
	return t.Pick(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), q)
}

// Home returns the failure domain of the upstream that most likely holds the prefix, over all domains.
func (t *Table) Home(now time.Time, name string, affinity uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[name]
	if !ok || affinity == 0 {
		return t.domain
	}
	best := highest(now, p.entries, Query{
		Affinity: affinity,
	})
	if best == nil {
		return t.domain
	}
	return best.up.Domain
}

// highest returns the usable entry that ranks highest for the query's prefix, or nil.
func highest(now time.Time, from []*entry, q Query) *entry {
	var best *entry
	var bestRank uint64
	for _, e := range from {
		if r := common.Mix(e.hash ^ q.Affinity); (best == nil || r > bestRank) && q.takes(now, e) {
			best = e
			bestRank = r
		}
	}
	return best
}

// preferred returns the upstream of the domain that most likely holds the prefix, unless it has too much in hand.
func (t *Table) preferred(now time.Time, p *pool, q Query) *entry {
	if q.Affinity == 0 {
		return nil
	}
	best := highest(now, p.near[q.Near], q)
	if best == nil {
		return nil
	}
	sum := t.pressure(now, p)
	mean := float64(sum.Load+1) / float64(max(1, sum.Upstream))
	load := float64(best.load(now, t.hosts) + 1)
	capacity := best.capacity(now, p.slots)
	if load > max(1, affinityBound*mean, affinityFree*capacity) || load > capacity {
		return nil
	}
	return best
}

// sample compares a few candidates of the domain, and others only where these have a queue.
func (t *Table) sample(now time.Time, rng *rand.Rand, p *pool, q Query) *entry {
	best, cost := t.best(now, rng, p, p.near[q.Near], q, 0)
	if best != nil && float64(best.load(now, t.hosts)+1) <= best.capacity(now, p.slots) && !t.slowFor(now, best, p) {
		return best
	}
	if len(p.near[q.Near]) == len(p.entries) {
		return best
	}
	q.far = true
	far, farCost := t.best(now, rng, p, p.entries, q, wayCost)
	if best == nil || (far != nil && farCost < cost) {
		return far
	}
	return best
}

// slowFor reports whether an upstream takes so much longer than expected that others are worth a look.
func (t *Table) slowFor(now time.Time, e *entry, p *pool) bool {
	return e.serviceTime(now, p.expected) > 2*p.expected
}

func (t *Table) best(now time.Time, rng *rand.Rand, p *pool, from []*entry, q Query, way time.Duration) (*entry, time.Duration) {
	var best *entry
	var cost time.Duration
	for range sampled {
		e := draw(now, rng, from, q)
		if e == nil {
			break
		}
		if c := e.wait(now, p, t.hosts) + way; best == nil || c < cost {
			best = e
			cost = c
		}
	}
	return best, cost
}

// draw returns a usable entry at random.
func draw(now time.Time, rng *rand.Rand, from []*entry, q Query) *entry {
	n := len(from)
	if n == 0 {
		return nil
	}
	for range tries {
		e := from[rng.IntN(n)]
		if q.takes(now, e) {
			return e
		}
	}
	start := rng.IntN(n)
	for i := range n {
		e := from[(start+i)%n]
		if q.takes(now, e) {
			return e
		}
	}
	return nil
}

// Done records the end of an attempt that Pick counted.
func (t *Table) Done(now time.Time, name string, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.byName[name]
	if !known {
		return
	}
	p := t.pools[e.up.Pool]
	over := float64(e.load(now, t.hosts)) / e.capacity(now, p.slots)
	e.setOwn(now, max(0, e.own-1))
	p.sum.Load -= t.hosts
	if ok {
		e.succeed(now, took, over)
		return
	}
	if e.fail(now, took, p.expected) && t.mayEject(now, p, e) {
		e.eject(now)
	}
}

// Eject takes an upstream that answers no probe out of the choice at once; the floor is for those that only seem bad.
func (t *Table) Eject(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[name]
	if ok && !e.isOut(now) {
		e.eject(now)
	}
}

// Release takes back an attempt that says nothing about the upstream.
func (t *Table) Release(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byName[name]; ok {
		e.setOwn(now, max(0, e.own-1))
		t.pools[e.up.Pool].sum.Load -= t.hosts
	}
}

// mayEject keeps a floor of upstreams in the pool.
func (t *Table) mayEject(now time.Time, p *pool, e *entry) bool {
	out := 1
	for _, o := range p.entries {
		if o != e && (o.isOut(now) || o.up.Leaving) {
			out++
		}
	}
	return float64(out) <= maxOutShare*float64(len(p.entries))
}

// Pressure sums up a pool for admission.
func (t *Table) Pressure(now time.Time, name string) Pressure {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[name]
	if !ok {
		return Pressure{}
	}
	return t.pressure(now, p)
}

// pressure sums the pool up anew only now and then, as that takes time in proportion to its size.
func (t *Table) pressure(now time.Time, p *pool) Pressure {
	if !p.sumAt.IsZero() && now.Sub(p.sumAt) < sumEvery {
		return p.sum
	}
	sum := Pressure{
		Service: p.expected,
	}
	var service time.Duration
	own := 0
	for _, e := range p.entries {
		if e.up.Leaving || e.isOut(now) {
			continue
		}
		sum.Upstream++
		sum.Load += e.total(now, t.hosts)
		own += e.own
		sum.Slots += int(e.capacity(now, p.slots))
		service += e.serviceTime(now, p.expected)
	}
	if sum.Upstream > 0 {
		sum.Service = service / time.Duration(sum.Upstream)
	}
	sum.Load = max(sum.Load, own)
	p.sum = sum
	p.sumAt = now
	return sum
}
