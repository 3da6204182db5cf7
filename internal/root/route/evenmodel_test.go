package route

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// The model lets real tables of many hosts choose among simple queue models of upstreams, in virtual time and without a network.

const (
	modelDomains = 4
	// modelRead is the time to read a prompt token at pace 1, and modelToken the time between two generated tokens.
	modelRead  = 25 * time.Microsecond
	modelToken = 7 * time.Millisecond
	// modelSlots is the number of requests that an upstream runs at the same time.
	modelSlots = 32
	// modelPrefixes is the number of prefixes that an upstream keeps.
	modelPrefixes = 30
	// slowdownTime is how long each slowdown of an upstream lasts, slowdownShare their share of the time and slowdownPace the pace during one.
	slowdownTime  = 600 * time.Millisecond
	slowdownShare = 0.15
	slowdownPace  = 2.5
)

// modelKind is a kind of requests, with its share of them and the time within which the first event is due.
type modelKind struct {
	share     float64
	prompt    Prompt
	generated int
	prefixes  int
	due       time.Duration
}

var modelKinds = []modelKind{
	{0.36, Prompt{9190, 6300}, 52, 675, time.Second},
	{0.43, Prompt{2368, 568}, 24, 1212, 2 * time.Second},
	{0.21, Prompt{715, 172}, 260, 582, 2 * time.Second},
}

// modelRequest is one request of the model.
type modelRequest struct {
	kind   modelKind
	prefix uint64
	up     Upstream
	sentAt time.Time
}

// modelUpstream reads prompts one after the other, and then generates tokens for each of them in a slot.
type modelUpstream struct {
	speed   float64
	seed    uint64
	down    bool
	busy    int
	waiting []modelRequest
	reading bool
	// cached holds the prefixes that the upstream keeps, the latest last.
	cached []uint64
	// served is the time in seconds for which it has read prompts.
	served float64
}

// pace returns how long work takes at a time, as a multiple of the usual time.
func (u *modelUpstream) pace(at time.Time) float64 {
	slot := uint64(at.UnixNano()) / uint64(slowdownTime)
	if rand.New(rand.NewPCG(u.seed, slot)).Float64() < slowdownShare {
		return u.speed * slowdownPace
	}
	return u.speed
}

// readTime returns how long the prompt of a request takes to read.
func (u *modelUpstream) readTime(r modelRequest, at time.Time) time.Duration {
	tokens := r.kind.prompt.Tokens
	if slices.Contains(u.cached, r.prefix) {
		tokens -= r.kind.prompt.Shared
	}
	return time.Duration(u.pace(at) * float64(tokens) * float64(modelRead))
}

// keep records that the upstream has read a prefix, and drops the oldest one if it keeps too many.
func (u *modelUpstream) keep(prefix uint64) {
	u.cached = append(slices.DeleteFunc(u.cached, func(p uint64) bool { return p == prefix }), prefix)
	if len(u.cached) > modelPrefixes {
		u.cached = u.cached[1:]
	}
}

// modelEvent is an action at a time.
type modelEvent struct {
	at  time.Time
	act func()
}

// modelQueue holds the events to come, the earliest first.
type modelQueue []modelEvent

func (q modelQueue) Len() int           { return len(q) }
func (q modelQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q modelQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)        { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelWay is a way to choose an upstream.
type modelWay int

const (
	// wayRandom chooses at random.
	wayRandom modelWay = iota
	// wayNoPace uses the table with reports that state no pace.
	wayNoPace
	// wayOwnReports uses the table with the reports that a host gets itself.
	wayOwnReports
	// wayShared uses the table with the reports of all hosts.
	wayShared
	// wayOracle knows the state of all upstreams now.
	wayOracle
)

var modelWayNames = []string{"random", "load alone", "own reports", "shared reports", "oracle"}

// modelLoad describes what a run of the model answers.
type modelLoad struct {
	hosts, ups int
	// perSecond is the number of requests a second, which is burst times as high in the third quarter of the run.
	perSecond, burst float64
	// reportAge is the greatest age of reports when other hosts learn them.
	reportAge time.Duration
	// hotShare is the share of the requests of each kind that have the same prefix.
	hotShare float64
	// speeds are the usual paces of the upstreams by turns.
	speeds []float64
	// lostShare is the share of the upstreams that end halfway, and lostHosts the number of hosts.
	lostShare float64
	lostHosts int
	length    time.Duration
}

// modelResult is what a run of the model measured.
type modelResult struct {
	// wait is the mean time until the first event, and wait99 the time that 1 in 100 exceeds.
	wait, wait99 time.Duration
	// busiest is the time for which the busiest upstream reads prompts, in relation to the mean.
	busiest float64
	// late is the share of the requests of the first kind whose first event is late.
	late float64
	// again is the share of the tokens of shared prefixes that are read although some upstream keeps them.
	again float64
	// failed counts requests without an upstream.
	failed int
}

// model is one run.
type model struct {
	load   modelLoad
	way    modelWay
	rng    *rand.Rand
	start  time.Time
	now    time.Time
	events modelQueue
	hosts  []*Table
	ups    []*modelUpstream
	names  []Upstream

	waits               []time.Duration
	first, firstLate    int
	shared, sharedAgain int
	failed              int
}

func runModel(load modelLoad, way modelWay, seed uint64) modelResult {
	m := &model{
		load:  load,
		way:   way,
		rng:   rand.New(rand.NewPCG(seed, seed)),
		start: time.Unix(1000, 0),
		now:   time.Unix(1000, 0),
	}
	for i := range load.ups {
		m.ups = append(m.ups, &modelUpstream{
			speed: load.speeds[i%len(load.speeds)],
			seed:  seed<<20 + uint64(i),
		})
		m.names = append(m.names, Upstream{
			Name:   fmt.Sprint(i),
			Domain: fmt.Sprint(i % modelDomains),
			Pool:   "p",
		})
	}
	for i := range load.hosts {
		m.hosts = append(m.hosts, New(fmt.Sprint(i%modelDomains)))
	}
	m.sync()
	m.schedule(load.length/2, m.lose)
	m.scheduleArrival()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.act()
	}
	return m.result()
}

func (m *model) schedule(after time.Duration, act func()) {
	heap.Push(&m.events, modelEvent{
		at:  m.now.Add(after),
		act: act,
	})
}

// sync tells all hosts which upstreams there are.
func (m *model) sync() {
	var up []Upstream
	for i, u := range m.names {
		if !m.ups[i].down {
			up = append(up, u)
		}
	}
	spec := []PoolSpec{{Name: "p", Slots: modelSlots, Expected: expected}}
	for _, t := range m.hosts {
		t.Sync(spec, up, len(m.hosts))
	}
}

// lose ends a share of the upstreams and a few hosts.
func (m *model) lose() {
	for i := range int(m.load.lostShare * float64(len(m.ups))) {
		m.ups[i].down = true
	}
	m.hosts = m.hosts[m.load.lostHosts:]
	m.sync()
}

func (m *model) scheduleArrival() {
	passed := m.now.Sub(m.start)
	if passed > m.load.length {
		return
	}
	rate := m.load.perSecond
	if passed > m.load.length/2 && passed < m.load.length*3/4 {
		rate *= max(1, m.load.burst)
	}
	m.schedule(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		m.arrive()
		m.scheduleArrival()
	})
}

func (m *model) arrive() {
	i := 0
	for x := m.rng.Float64() - modelKinds[0].share; x > 0 && i < len(modelKinds)-1; x -= modelKinds[i].share {
		i++
	}
	r := modelRequest{
		kind:   modelKinds[i],
		prefix: uint64(i)<<32 + 1,
		sentAt: m.now,
	}
	if m.rng.Float64() >= m.load.hotShare {
		r.prefix += uint64(m.rng.IntN(r.kind.prefixes))
	}
	r.prefix *= 0x9e3779b97f4a7c15
	host := m.hosts[m.rng.IntN(len(m.hosts))]
	var ok bool
	if r.up, ok = m.choose(host, r); !ok {
		m.failed++
		return
	}
	u := m.upstream(r.up)
	m.countShared(u, r)
	u.waiting = append(u.waiting, r)
	m.read(host, u)
}

func (m *model) upstream(up Upstream) *modelUpstream {
	return m.ups[slices.IndexFunc(m.names, func(o Upstream) bool { return o.Name == up.Name })]
}

// choose returns the upstream for a request.
func (m *model) choose(host *Table, r modelRequest) (Upstream, bool) {
	switch m.way {
	case wayRandom:
		for {
			if i := m.rng.IntN(len(m.ups)); !m.ups[i].down {
				return m.names[i], true
			}
		}
	case wayOracle:
		return m.names[m.soonest(r)], true
	default:
		domain := host.PreferredDomain(m.now, "p", r.prefix, nil)
		return host.Pick(m.now, m.rng, Query{
			Pool:         "p",
			Affinity:     r.prefix,
			PreferDomain: domain,
			Prompt:       r.kind.prompt,
		})
	}
}

// soonest returns the index of the upstream that reads the prompt first.
func (m *model) soonest(r modelRequest) int {
	best, least := 0, time.Duration(0)
	for i, u := range m.ups {
		if u.down {
			continue
		}
		t := u.readTime(r, m.now)
		for _, w := range u.waiting {
			t += u.readTime(w, m.now)
		}
		if t += time.Duration(u.busy/modelSlots) * time.Second; least == 0 || t < least {
			best, least = i, t
		}
	}
	return best
}

// countShared counts the shared tokens that the upstream reads although another one keeps them.
func (m *model) countShared(u *modelUpstream, r modelRequest) {
	m.shared += r.kind.prompt.Shared
	kept := func(o *modelUpstream) bool { return !o.down && slices.Contains(o.cached, r.prefix) }
	if !kept(u) && slices.ContainsFunc(m.ups, kept) {
		m.sharedAgain += r.kind.prompt.Shared
	}
}

// read begins the next prompt that waits at the upstream.
func (m *model) read(host *Table, u *modelUpstream) {
	if u.reading || len(u.waiting) == 0 || u.busy >= modelSlots {
		return
	}
	u.reading = true
	r := u.waiting[0]
	took := u.readTime(r, m.now)
	u.served += took.Seconds()
	m.schedule(took, func() {
		u.reading = false
		u.waiting = u.waiting[1:]
		u.busy++
		u.keep(r.prefix)
		m.firstEvent(host, u, r)
		m.schedule(time.Duration(u.pace(m.now)*float64(r.kind.generated)*float64(modelToken)), func() {
			u.busy--
			if m.usesTable() {
				host.Done(m.now, r.up.Name, m.now.Sub(r.sentAt), true)
			}
			m.read(host, u)
		})
		m.read(host, u)
	})
}

func (m *model) usesTable() bool {
	return m.way != wayRandom && m.way != wayOracle
}

// firstEvent records the wait of a request and spreads the report that comes with its first event.
func (m *model) firstEvent(host *Table, u *modelUpstream, r modelRequest) {
	wait := m.now.Sub(r.sentAt)
	m.waits = append(m.waits, wait)
	if r.kind == modelKinds[0] {
		m.first++
		if wait > r.kind.due {
			m.firstLate++
		}
	}
	if !m.usesTable() {
		return
	}
	load := stage.Load{
		Busy:   u.busy,
		Queued: len(u.waiting),
		Slots:  modelSlots,
	}
	if m.way != wayNoPace {
		load.Pace = u.pace(m.now)
	}
	host.Report(r.up.Name, load, m.now)
	host.RecordFirstEvent(r.up, wait)
	if m.way == wayShared {
		m.share(host)
	}
}

// share tells all hosts the reports that this one has got, which are up to reportAge old when they learn them.
func (m *model) share(host *Table) {
	reports := host.SharedReports(m.now, 1, true)
	sent := m.now
	for _, t := range m.hosts {
		if t == host {
			continue
		}
		m.schedule(time.Duration(m.rng.Float64()*float64(m.load.reportAge)), func() {
			aged := slices.Clone(reports)
			for i := range aged {
				aged[i].AgeMS += m.now.Sub(sent).Milliseconds()
			}
			t.RecordShared(m.now, aged)
		})
	}
}

func (m *model) result() modelResult {
	slices.Sort(m.waits)
	sum := time.Duration(0)
	for _, w := range m.waits {
		sum += w
	}
	total := 0.0
	for _, u := range m.ups {
		total += u.served
	}
	most := slices.MaxFunc(m.ups, func(a, b *modelUpstream) int { return cmp.Compare(a.served, b.served) })
	return modelResult{
		wait:    sum / time.Duration(len(m.waits)),
		wait99:  m.waits[len(m.waits)*99/100],
		busiest: most.served * float64(len(m.ups)) / total,
		late:    float64(m.firstLate) / float64(m.first),
		again:   float64(m.sharedAgain) / float64(m.shared),
		failed:  m.failed,
	}
}
