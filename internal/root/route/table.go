package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/stage"
)

const (
	// sampleSize is the number of random candidates that are compared for one choice.
	sampleSize = 2
	// maxDraws is the number of random draws for one candidate before the list is searched in order.
	maxDraws = 8
	// crossDomainCost is the round-trip time that is added to the cost of an upstream in another failure domain.
	crossDomainCost = 3 * time.Millisecond
	// affinityLoadFactor is the maximum load of an affinity upstream as a multiple of the mean load.
	// The affinity upstream of a prompt is the one that most likely has the prompt's prefix cached.
	affinityLoadFactor = 1.25
	// affinityFreeShare is the share of busy slots up to which an affinity upstream is chosen regardless of the mean load.
	affinityFreeShare = 0.5
	// maxEjectedShare is the share of a pool that repeated failures may eject at the same time.
	maxEjectedShare = 0.5
)

// PoolSpec holds the configured properties of a pool, which apply until load reports and finished attempts give more precise values.
type PoolSpec struct {
	Name string
	// Slots is the number of requests that one upstream runs at the same time.
	Slots int
	// Expected is the expected service time of a request.
	Expected time.Duration
}

type pool struct {
	spec     PoolSpec
	slots    int
	expected time.Duration
	entries  []*entry
	// byDomain groups the entries by failure domain.
	byDomain map[string][]*entry
	// total is the last computed pressure, and totalAt the time of the computation.
	// Between computations, each attempt of this host adds the number of hosts to total.Load when it begins and subtracts it when it ends.
	total   Pressure
	totalAt time.Time
	// returns spreads the callers that come back when a paused upstream can be used again.
	returns retry.Returns
	// even holds what is learned of the upstreams if they state their pace.
	even evenPool
}

// Table holds the upstreams of all pools, with the load, service time and failures of each. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	domain string
	hosts  int
	pools  map[string]*pool
	byName map[string]*entry
	// cold holds the upstreams that are cold, also those that are not known otherwise yet.
	cold map[Incarnation]Cold
	// byHash holds the same entries by the hash of their names.
	byHash map[uint64]*entry
	// pickedAt is the time of the last choice.
	pickedAt time.Time
}

// New returns an empty table for a host in the failure domain.
func New(domain string) *Table {
	return &Table{
		domain: domain,
		hosts:  1,
		pools:  map[string]*pool{},
		byName: map[string]*entry{},
		cold:   map[Incarnation]Cold{},
		byHash: map[uint64]*entry{},
	}
}

// Sync replaces the pools, their upstreams and the number of hosts. Upstreams that remain retain their load, service time and failures.
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
			byDomain: map[string][]*entry{},
		}
		if old, ok := t.pools[s.Name]; ok {
			pools[s.Name].returns = old.returns
			pools[s.Name].even = old.even
		}
	}
	names := make(map[string]*entry, len(ups))
	hashes := make(map[uint64]*entry, len(ups))
	added := map[*pool][]*entry{}
	for _, u := range ups {
		p, ok := pools[u.Pool]
		if !ok {
			continue
		}
		e := t.entryFor(u)
		if e != t.byName[u.Name] {
			added[p] = append(added[p], e)
		}
		names[u.Name] = e
		hashes[e.hash] = e
		p.entries = append(p.entries, e)
		p.byDomain[u.Domain] = append(p.byDomain[u.Domain], e)
	}
	for p, entries := range added {
		p.inheritBrittle(t.pickedAt, t.hosts, entries)
	}
	t.pools = pools
	t.byName = names
	t.byHash = hashes
}

// entryFor returns the entry of an upstream. It returns a new entry if the upstream is new, has another address or has restarted.
func (t *Table) entryFor(u Upstream) *entry {
	old, ok := t.byName[u.Name]
	if !ok || old.up.Addr != u.Addr || old.up.StartedAtMS != u.StartedAtMS {
		e := newEntry(u)
		e.cold = t.cold[u.Incarnation()]
		return e
	}
	old.up = u
	return old
}

// Report stores the load report of an upstream that was valid at the given time. It ignores reports that are older than the stored one.
func (t *Table) Report(name string, load stage.Load, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[name]
	if !ok || at.Before(e.reportAt) {
		return
	}
	e.setReport(load, at)
	e.reportShared = false
	t.pools[e.up.Pool].even.recordReport(e)
}

// Pick chooses an upstream and counts an attempt on it, which the caller ends by Done or Release. It returns false if no upstream is usable.
func (t *Table) Pick(now time.Time, rng *rand.Rand, q Query) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pickedAt = now
	p, ok := t.pools[q.Pool]
	if !ok || len(p.entries) == 0 {
		return Upstream{}, false
	}
	if q.PreferDomain == "" {
		q.PreferDomain = t.domain
	}
	q.hosts = t.hosts
	e, estimate := t.choose(now, rng, p, q)
	if e == nil {
		return Upstream{}, false
	}
	if e.exceedsKnownRoom(now, t.hosts) {
		e.postponeProbe(now, t.hosts)
	}
	e.setInFlight(now, e.inFlight+1)
	e.sent.add(now)
	p.total.Load += t.hosts
	up := e.up
	up.Estimate = estimate
	up.Probe = e.ejections > 0
	up.Limited = e.rate(now) > 0
	up.Cold = e.cold.holds(now)
	return up, true
}

// choose returns the entry for the query, or nil if none is usable, and what is expected of it.
func (t *Table) choose(now time.Time, rng *rand.Rand, p *pool, q Query) (*entry, Estimate) {
	if q.LeastLoaded {
		return t.leastLoaded(now, p, q), Estimate{}
	}
	if p.even.paced() && q.Prompt.Tokens > 0 {
		return t.evenEntry(now, rng, p, q)
	}
	if e := t.affinityEntry(now, p, q); e != nil {
		return e, Estimate{}
	}
	return t.sampledEntry(now, rng, p, q), Estimate{}
}

// leastLoaded returns the usable entry with the fewest requests, or nil.
func (t *Table) leastLoaded(now time.Time, p *pool, q Query) *entry {
	var best *entry
	for _, e := range p.entries {
		if q.matches(now, e) && (best == nil || e.load(now, t.hosts) < best.load(now, t.hosts)) {
			best = e
		}
	}
	return best
}

// HasVersion reports whether a pool has an upstream of the software version in the regions that is not closed.
func (t *Table) HasVersion(pool, version string, regions place.Regions) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[pool]
	return ok && slices.ContainsFunc(p.entries, func(e *entry) bool { return e.isOpenIn(regions) && e.up.Version == version })
}

// PoolSize returns the number of upstreams of a pool.
func (t *Table) PoolSize(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[name]
	if !ok {
		return 0
	}
	return len(p.entries)
}

// PickRandomlySeeded is Pick with a randomly seeded generator.
func (t *Table) PickRandomlySeeded(now time.Time, q Query) (Upstream, bool) {
	return t.Pick(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), q)
}

// PreferredDomain returns the failure domain of the upstream that most likely has the prefix cached, over all domains in the regions. It returns the host's own domain if there is none.
func (t *Table) PreferredDomain(now time.Time, name string, affinity uint64, regions place.Regions) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[name]
	if !ok || affinity == 0 {
		return t.domain
	}
	q := Query{
		Affinity: affinity,
		Regions:  regions,
		hosts:    t.hosts,
	}
	best := highestRanked(now, p.entries, q)
	if p.even.paced() {
		best = highestRankedByPace(now, p, p.entries, q)
	}
	if best == nil {
		return t.domain
	}
	return best.up.Domain
}

// highestRanked returns the usable entry with the highest rendezvous hash for the query's prefix, or nil.
func highestRanked(now time.Time, from []*entry, q Query) *entry {
	var best *entry
	var bestRank uint64
	for _, e := range from {
		if r := common.MixBits(e.hash ^ q.Affinity); (best == nil || r > bestRank) && q.matches(now, e) {
			best = e
			bestRank = r
		}
	}
	return best
}

// affinityEntry returns the entry of the preferred domain that most likely has the prefix cached, or nil if its load is too high.
func (t *Table) affinityEntry(now time.Time, p *pool, q Query) *entry {
	if q.Affinity == 0 {
		return nil
	}
	best := highestRanked(now, p.byDomain[q.PreferDomain], q)
	if best == nil {
		return nil
	}
	sum := t.pressure(now, p)
	mean := float64(sum.Load+1) / float64(max(1, sum.Upstreams))
	load := float64(best.load(now, t.hosts) + 1)
	capacity := best.capacity(now, p.slots)
	if load > max(1, affinityLoadFactor*mean, affinityFreeShare*capacity) || load > capacity {
		return nil
	}
	return best
}

// sampledEntry compares a few random entries of the preferred domain and returns the cheapest. If there is none, or if the cheapest has no free slot or is slow, it also compares entries of the other domains.
func (t *Table) sampledEntry(now time.Time, rng *rand.Rand, p *pool, q Query) *entry {
	cheapest, cost := t.cheapest(now, rng, p, p.byDomain[q.PreferDomain], q, 0)
	if cheapest != nil && float64(cheapest.load(now, t.hosts)+1) <= cheapest.capacity(now, p.slots) && !t.isSlow(now, cheapest, p) {
		return cheapest
	}
	if len(p.byDomain[q.PreferDomain]) == len(p.entries) {
		return cheapest
	}
	q.remote = true
	remote, remoteCost := t.cheapest(now, rng, p, p.entries, q, crossDomainCost)
	if cheapest == nil || (remote != nil && remoteCost < cost) {
		return remote
	}
	return cheapest
}

// isSlow reports whether the upstream takes more than twice the expected time, so that other domains should be considered.
func (t *Table) isSlow(now time.Time, e *entry, p *pool) bool {
	return e.serviceTime(now, p.expected) > 2*p.expected
}

func (t *Table) cheapest(now time.Time, rng *rand.Rand, p *pool, from []*entry, q Query, extraCost time.Duration) (*entry, time.Duration) {
	var cheapest *entry
	var cost time.Duration
	for range sampleSize {
		e := drawUsable(now, rng, from, q)
		if e == nil {
			break
		}
		if c := e.expectedTime(now, p, t.hosts) + extraCost; cheapest == nil || c < cost {
			cheapest = e
			cost = c
		}
	}
	return cheapest, cost
}

// drawUsable returns a random entry that matches the query, or nil if there is none.
func drawUsable(now time.Time, rng *rand.Rand, from []*entry, q Query) *entry {
	n := len(from)
	if n == 0 {
		return nil
	}
	for range maxDraws {
		e := from[rng.IntN(n)]
		if q.matches(now, e) {
			return e
		}
	}
	start := rng.IntN(n)
	for i := range n {
		e := from[(start+i)%n]
		if q.matches(now, e) {
			return e
		}
	}
	return nil
}

// Done records the end of an attempt that Pick counted, its duration and whether it succeeded. Repeated failures eject the upstream.
func (t *Table) Done(now time.Time, name string, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.byName[name]
	if !known {
		return
	}
	p := t.pools[e.up.Pool]
	loadRatio := float64(e.load(now, t.hosts)) / e.capacity(now, p.slots)
	e.setInFlight(now, max(0, e.inFlight-1))
	p.total.Load -= t.hosts
	if ok {
		e.slotFreedAt = now
		e.recordSuccess(now, took, loadRatio)
		return
	}
	if e.brittle > 0 {
		e.postponeProbe(now, t.hosts)
	}
	if e.recordFailure(now, took, p.expected) && t.mayEject(now, p, e) {
		e.eject(now)
	}
}

// Eject ejects an upstream that did not answer a probe. It ignores maxEjectedShare, which is for upstreams that may only appear to be faulty.
func (t *Table) Eject(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[name]
	if ok && !e.isEjected(now) {
		e.eject(now)
	}
}

// Release ends an attempt that Pick counted without recording a success or failure, because the way it ended says nothing about the upstream.
func (t *Table) Release(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byName[name]; ok {
		e.setInFlight(now, max(0, e.inFlight-1))
		t.pools[e.up.Pool].total.Load -= t.hosts
	}
}

// RecordAnswering records that an upstream has begun to answer a request. An upstream on trial is then used as before its ejection, although the request may last for long.
func (t *Table) RecordAnswering(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byName[name]; ok && e.ejections > 0 && !e.isEjected(now) {
		e.readmit(now)
	}
}

// mayEject reports whether the entry may be ejected without exceeding maxEjectedShare. Closed upstreams count as ejected.
func (t *Table) mayEject(now time.Time, p *pool, e *entry) bool {
	unavailable := 1
	for _, o := range p.entries {
		if o != e && (o.isEjected(now) || o.up.Closed()) {
			unavailable++
		}
	}
	return float64(unavailable) <= maxEjectedShare*float64(len(p.entries))
}
