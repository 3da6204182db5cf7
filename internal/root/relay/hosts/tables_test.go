package hosts

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/root/relay/fanout"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/grant"
)

// tableSeeds is how many random courses the test of leases plays.
var tableSeeds = flag.Uint64("table-seeds", 200, "number of random courses of reading tables")

const (
	// testTerm is the term of a lease, testTableWait how long a call to the store waits, and testStoreTimeout by how much longer it lasts if there is no answer.
	testTerm         = 4750 * time.Millisecond
	testTableWait    = 1500 * time.Millisecond
	testStoreTimeout = 700 * time.Millisecond
	testTable        = "configurations"
	revokedRow       = "revoked"
	theStore         = "store"
)

var errTestLost = errors.New("message is lost")

// tableStore is a store with one table, which can be cut from hosts.
type tableStore struct {
	mu      sync.Mutex
	era     int64
	version int64
	rows    map[string]int64
	// slow is by how much longer each call takes.
	slow time.Duration
	// values holds the values of rows that have one.
	values  map[string][]byte
	changed chan struct{}
	calls   int
	// cutUntil holds until when hosts are cut from the store, by name.
	cutUntil map[string]time.Time
}

func (s *tableStore) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *tableStore) since(version int64) ([]follow.Row, follow.Position, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []follow.Row
	for key, v := range s.rows {
		if v > version {
			out = append(out, follow.Row{
				Key:   key,
				Value: s.values[key],
			})
		}
	}
	return out, follow.Position{
		Era:     follow.EraOf(s.era),
		Version: s.version,
	}, s.changed
}

func (s *tableStore) isCut(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.cutUntil[host])
}

// tableHost is a host that follows the table, or hears it from others.
type tableHost struct {
	c      *tableCluster
	host   Host
	roster *Roster
	peers  *Peers
	tables *Tables
	table  *Table
	lease  *grant.Lease

	mu sync.Mutex
	// seed is the seed of the host's own sources, so that hosts that run at the same time don't draw from each other's, and randoms holds them by the name of the other host.
	seed        uint64
	randoms     map[string]*rand.Rand
	frozenUntil time.Time
	deadAt      time.Time
	revoked     bool
	// large is the value of the large row.
	large []byte
	// trace holds what the host did, and when.
	trace []string
}

// note adds a line to the trace of the host.
func (h *tableHost) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trace = append(h.trace, fmt.Sprintf("%v ", time.Since(h.c.start))+fmt.Sprintf(format, args...))
}

// outcome returns what a trace says of the end of a call.
func outcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "answered"
}

func (h *tableHost) Reset(rows []follow.Row)   { h.Apply(rows) }
func (h *tableHost) Restore(rows []follow.Row) { h.Apply(rows) }
func (h *tableHost) Apply(rows []follow.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range rows {
		h.revoked = h.revoked || r.Key == revokedRow
		if r.Key == largeRow {
			h.large = r.Value
		}
	}
}

func (h *tableHost) knowsRevocation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revoked
}

// awaitThaw waits as long as the host is frozen.
func (h *tableHost) awaitThaw() {
	h.mu.Lock()
	wait := time.Until(h.frozenUntil)
	h.mu.Unlock()
	time.Sleep(max(0, wait))
}

// ReadAll reads the whole table from the store.
func (h *tableHost) ReadAll(ctx context.Context) ([]follow.Row, follow.Position, error) {
	return h.callStore(ctx, -1, 0)
}

// WaitForChanges reads changes from the store.
func (h *tableHost) WaitForChanges(ctx context.Context, after follow.Position, wait time.Duration) ([]follow.Row, follow.Position, error) {
	return h.callStore(ctx, after.Version, wait)
}

func (h *tableHost) callStore(ctx context.Context, after int64, wait time.Duration) (rows []follow.Row, position follow.Position, err error) {
	h.note("asks the store, wait %v", wait)
	defer func() { h.note("the store: %s, version %d", outcome(err), position.Version) }()
	s := h.c.store
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	h.awaitThaw()
	sentIn, _ := h.tables.eras.Current()
	common.Sleep(ctx, h.delay(theStore))
	end := time.Now().Add(wait)
	for {
		rows, position, changed := s.since(after)
		if s.isCut(h.host.Name) {
			common.Sleep(ctx, wait+testStoreTimeout)
			h.awaitThaw()
			return nil, follow.Position{}, errTestLost
		}
		if len(rows) > 0 || !time.Now().Before(end) || after < 0 {
			common.Sleep(ctx, h.delay(theStore)+s.slow)
			h.c.transfer(ctx, h.host, rows)
			h.awaitThaw()
			if _, err := h.tables.eras.Observe(sentIn, position.Era); err != nil {
				return nil, follow.Position{}, err
			}
			return rows, position, ctx.Err()
		}
		timer := time.NewTimer(time.Until(end))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, follow.Position{}, ctx.Err()
		}
		timer.Stop()
	}
}

// tableCluster is hosts of two failure domains that exchange messages without a network.
type tableCluster struct {
	store *tableStore
	hosts []*tableHost
	start time.Time
	// thin, if set, carries the messages of hosts over thin links.
	thin *thinNetwork
	// mutate, if set, changes the answers that hosts hear.
	mutate func(a *tableAnswer, elapsed time.Duration)

	mu     sync.Mutex
	random *rand.Rand
	// lossShare is the share of messages that are lost.
	lossShare float64
	// cuts holds until when pairs of hosts are cut, and heard counts the answers between hosts.
	cuts  map[[2]string]time.Time
	heard int
}

// delay returns how long a message is on its way: mostly some milliseconds.
func (h *tableHost) delay(to string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	random := h.randomTo(to)
	if random.IntN(50) == 0 {
		return time.Duration(random.Int64N(int64(400 * time.Millisecond)))
	}
	return time.Duration(random.Int64N(int64(5 * time.Millisecond)))
}

// randomTo returns the source for messages to another host or the store. Each has its own, as a host may wait for several at the same time. The caller holds the lock.
func (h *tableHost) randomTo(to string) *rand.Rand {
	if _, ok := h.randoms[to]; !ok {
		h.randoms[to] = rand.New(rand.NewPCG(h.seed, xxhash.Sum64String(to)))
	}
	return h.randoms[to]
}

// loses reports whether a message to or from the other host is lost.
func (h *tableHost) loses(other string) bool {
	h.mu.Lock()
	drawn := h.randomTo(other).Float64()
	h.mu.Unlock()
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	until := max(h.c.cuts[[2]string{h.host.Name, other}].UnixNano(), h.c.cuts[[2]string{other, h.host.Name}].UnixNano())
	return drawn < h.c.lossShare || time.Now().UnixNano() < until
}

func (c *tableCluster) byName(name string) *tableHost {
	for _, h := range c.hosts {
		if h.host.Name == name {
			return h
		}
	}
	return nil
}

// newTableCluster returns hosts of two domains, all of which know each other.
func newTableCluster(hosts int, random *rand.Rand) *tableCluster {
	c := &tableCluster{
		store: &tableStore{
			rows:     map[string]int64{},
			values:   map[string][]byte{},
			changed:  make(chan struct{}),
			cutUntil: map[string]time.Time{},
		},
		start:  time.Now(),
		random: random,
		cuts:   map[[2]string]time.Time{},
	}
	var all []Host
	for i := range hosts {
		all = append(all, Host{
			Name:   fmt.Sprintf("h%d", i),
			Addr:   fmt.Sprintf("10.0.0.%d:1", i),
			Domain: fmt.Sprintf("d%d", i%2),
		})
	}
	for _, host := range all {
		c.hosts = append(c.hosts, c.newHost(host, all))
	}
	return c
}

// newRandom returns a source that is seeded by the course.
func (c *tableCluster) newRandom() *rand.Rand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}

func (c *tableCluster) sinceBoot() time.Duration { return time.Since(c.start) + time.Hour }

func (c *tableCluster) newHost(host Host, all []Host) *tableHost {
	deps := common.NewQuietDeps(host.Name, host.Domain)
	deps.Now = time.Now
	h := &tableHost{
		c:       c,
		host:    host,
		roster:  NewRoster(deps, host),
		lease:   grant.New(c.sinceBoot, testTerm),
		seed:    c.newRandom().Uint64(),
		randoms: map[string]*rand.Rand{},
	}
	h.roster.Reset(rowsOf(all...))
	h.peers = NewPeers(deps, host.Addr, h.roster, &fakeLocalQueues{})
	h.tables = NewTables(deps, h.peers, follow.NewEras(deps), c.sinceBoot, WithSharedReads(true), WithRandom(c.newRandom()))
	h.tables.post = h.post
	h.table = h.tables.Add(testTable, h, fanout.Limits{
		Within: changeBound,
		Wait:   testTableWait,
	})
	return h
}

// post carries a question to another host and its answer back.
func (h *tableHost) post(ctx context.Context, to Host, _ string, timeouts jhttp.Timeouts, body, into any) (_ time.Duration, err error) {
	q := body.(tableQuestion)
	h.note("asks %s, wait %d ms, heard %t, at most %v", to.Name, q.WaitMS, q.Heard, timeouts.Head)
	defer func() {
		if err != nil {
			h.note("%s: %v", to.Name, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, timeouts.Head)
	defer cancel()
	h.awaitThaw()
	askedAt := time.Now()
	peer := h.c.byName(to.Name)
	if !h.reaches(ctx, peer) {
		return 0, errTestLost
	}
	answered := make(chan tableAnswer, 1)
	go func() { answered <- peer.table.tell(ctx, q) }()
	var a tableAnswer
	select {
	case a = <-answered:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	// What was said before the host froze is on its way, or leaves it once it wakes.
	if !h.reaches(ctx, peer) {
		return 0, errTestLost
	}
	h.awaitThaw()
	if h.c.mutate != nil {
		h.c.mutate(&a, time.Since(askedAt))
	}
	h.c.mu.Lock()
	h.c.heard++
	h.c.mu.Unlock()
	h.note("%s: %s, version %d, held %d ms, %d ms old", to.Name, a.State, a.Version, a.HeldMS, a.AgeMS)
	*into.(*tableAnswer) = a
	return 0, nil
}

// reaches waits as long as a message to or from the other host is on its way. It returns false if the message is lost or that host silent for so long that the connection counts as lost.
func (h *tableHost) reaches(ctx context.Context, peer *tableHost) bool {
	const connectionLost = callerSilence
	peer.mu.Lock()
	frozen, dead := time.Until(peer.frozenUntil), !peer.deadAt.IsZero()
	peer.mu.Unlock()
	if dead || frozen > connectionLost || h.loses(peer.host.Name) {
		common.Sleep(ctx, connectionLost)
		return false
	}
	return common.Sleep(ctx, max(0, frozen)+h.delay(peer.host.Name))
}

// run runs the feeds of all hosts, and the probes of those that are down, until the returned function is called.
func (c *tableCluster) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, h := range c.hosts {
		feed := follow.NewFeed(h.tables.Deps, h.tables.eras, testTable, h.table, h, testTableWait, follow.WithConfirmation(func() func() {
			return func() {
				h.lease.Confirm(h.table.ConfirmedAt())
				// Those that wait for an answer get it before the next read, or the course would not repeat.
				time.Sleep(time.Nanosecond)
			}
		}), follow.WithRandom(c.newRandom()))
		go func() { _ = feed.Run(ctx, func() {}) }()
		go func() {
			for common.Sleep(ctx, probeInterval) {
				h.probe()
			}
		}()
	}
	return func() {
		cancel()
		// All that freezes or waits ends within this time.
		time.Sleep(time.Minute)
	}
}

func (h *tableHost) probe() {
	for _, down := range h.roster.DueProbes() {
		peer := h.c.byName(down.Name)
		peer.mu.Lock()
		answers := peer.deadAt.IsZero() && !time.Now().Before(peer.frozenUntil)
		peer.mu.Unlock()
		h.roster.RecordProbe(down, answers && !h.loses(down.Name))
	}
}

// disturb lets something happen to a random host, for a random time: it freezes, dies, or is cut from another one or from the store.
func (c *tableCluster) disturb() {
	c.mu.Lock()
	h := c.hosts[c.random.IntN(len(c.hosts))]
	// Those that the others hear from are met more often.
	if c.random.IntN(2) == 0 {
		for _, other := range c.hosts {
			if other.table.followed() {
				h = other
			}
		}
	}
	until := time.Now().Add(time.Duration(c.random.Int64N(int64(6 * time.Second))))
	kind := c.random.IntN(10)
	other := c.hosts[c.random.IntN(len(c.hosts))]
	c.cuts[[2]string{h.host.Name, other.host.Name}] = until
	c.mu.Unlock()
	switch {
	case kind < 4:
		h.mu.Lock()
		h.frozenUntil = until
		h.mu.Unlock()
	case kind < 5:
		h.mu.Lock()
		h.deadAt = time.Now()
		h.mu.Unlock()
	case kind < 8:
		c.store.mu.Lock()
		c.store.cutUntil[h.host.Name] = until
		c.store.mu.Unlock()
	case kind < 9:
		c.store.mu.Lock()
		for _, each := range c.hosts {
			c.store.cutUntil[each.host.Name] = until
		}
		c.store.mu.Unlock()
	}
}

// lateLeases plays one random course in which a key is revoked, and returns how many hosts held a lease without knowing of it once the term had passed.
func lateLeases(seed uint64, mutate func(a *tableAnswer, elapsed time.Duration)) (late int) {
	random := rand.New(rand.NewPCG(seed, 42))
	c := newTableCluster(8+random.IntN(5), rand.New(rand.NewPCG(seed, 43)))
	c.mutate = mutate
	c.lossShare = []float64{0, 0.02, 0.1}[random.IntN(3)]
	defer c.run()()
	time.Sleep(2 * time.Second)
	disturbances := random.IntN(12)
	revokedAt := time.Now().Add(time.Duration(random.Int64N(int64(4 * time.Second))))
	revoked := false
	held := map[string]bool{}
	for range 240 {
		time.Sleep(50 * time.Millisecond)
		if disturbances > 0 && random.IntN(8) == 0 {
			disturbances--
			c.disturb()
		}
		if !revoked && time.Now().After(revokedAt) {
			revoked = true
			revokedAt = time.Now()
			c.store.put(revokedRow)
		}
		for _, h := range c.hosts {
			if revoked && time.Since(revokedAt) >= testTerm && h.lease.Valid() && !h.knowsRevocation() {
				held[h.host.Name] = true
			}
		}
	}
	return len(held)
}

// Guards against a revoked key that a host goes on accepting because it takes what another host says for newer than it is (rule on strict revocation).
func TestRandomLossesNeverLengthenALease(t *testing.T) {
	play := func(seed uint64, mutate func(a *tableAnswer, elapsed time.Duration)) (late int) {
		synctest.Test(t, func(*testing.T) { late = lateLeases(seed, mutate) })
		return late
	}
	for seed := range *tableSeeds {
		if late := play(seed, nil); late > 0 {
			t.Fatalf("seed %d: %d hosts held a lease for longer than its term after a revocation", seed, late)
		}
	}
	mutants := []struct {
		name   string
		mutate func(a *tableAnswer, elapsed time.Duration)
	}{
		{
			name: "counts from the arrival of the answer",
			mutate: func(a *tableAnswer, elapsed time.Duration) {
				a.AgeMS = 0
				a.HeldMS = elapsed.Milliseconds()
			},
		},
		{
			name: "takes no account of the age",
			mutate: func(a *tableAnswer, _ time.Duration) {
				a.AgeMS = 0
			},
		},
	}
	for _, m := range mutants {
		caught := false
		for seed := uint64(0); seed < *tableSeeds && !caught; seed++ {
			caught = play(seed, m.mutate) > 0
		}
		if !caught {
			t.Errorf("a host that %s is not caught", m.name)
		}
	}
}

// calmCourse runs hosts without disturbances for 10 s, during which the row is written once. It returns how often the store was called per second, how long the last host took to learn of the row, and how many leases are valid at the end.
func calmCourse(hosts int) (callsPerSecond float64, slowest time.Duration, leases int) {
	c := newTableCluster(hosts, rand.New(rand.NewPCG(1, 2)))
	defer c.run()()
	time.Sleep(5 * time.Second)
	c.store.mu.Lock()
	c.store.calls = 0
	c.store.mu.Unlock()
	c.store.put(revokedRow)
	writtenAt := time.Now()
	for _, h := range c.hosts {
		for !h.knowsRevocation() && time.Since(writtenAt) < time.Second {
			time.Sleep(time.Millisecond)
		}
	}
	slowest = time.Since(writtenAt)
	time.Sleep(10*time.Second - slowest)
	for _, h := range c.hosts {
		if h.lease.Valid() {
			leases++
		}
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return float64(c.store.calls) / 10, slowest, leases
}

// Guards against calls to the store that grow with the number of hosts, and against hosts that learn late because of it.
func TestCallsToTheStoreGrowWithDomains(t *testing.T) {
	cases := []struct {
		hosts     int
		atMost    float64
		everyHost bool
	}{
		{
			hosts:     6,
			atMost:    6,
			everyHost: true,
		},
		{
			hosts:  12,
			atMost: 2,
		},
		{
			hosts:  60,
			atMost: 4.5,
		},
		{
			hosts:  195,
			atMost: 6,
		},
		{
			hosts:  360,
			atMost: 6,
		},
	}
	for _, sc := range cases {
		Convey(fmt.Sprintf("%d hosts of two domains", sc.hosts), t, func() {
			var calls float64
			var slowest time.Duration
			var leases int
			synctest.Test(t, func(*testing.T) { calls, slowest, leases = calmCourse(sc.hosts) })
			t.Logf("%d hosts: %.1f calls to the store per second, the last host learns after %v", sc.hosts, calls, slowest)
			So(calls, ShouldBeLessThanOrEqualTo, sc.atMost)
			So(calls > float64(sc.hosts)/2, ShouldEqual, sc.everyHost)
			So(slowest, ShouldBeLessThan, 500*time.Millisecond)
			So(leases, ShouldEqual, sc.hosts)
		})
	}
}

// countCalls returns the number of calls to the store in the time.
func (c *tableCluster) countCalls(d time.Duration) int {
	c.store.mu.Lock()
	before := c.store.calls
	c.store.mu.Unlock()
	time.Sleep(d)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.calls - before
}

// cutStore cuts all hosts from the store.
func (c *tableCluster) cutStore(d time.Duration) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, h := range c.hosts {
		c.store.cutUntil[h.host.Name] = time.Now().Add(d)
	}
}

// validLeases returns how many of the hosts that live have a valid lease, and how many live.
func (c *tableCluster) validLeases() (valid, alive int) {
	for _, h := range c.hosts {
		if !h.deadAt.IsZero() {
			continue
		}
		alive++
		if h.lease.Valid() {
			valid++
		}
	}
	return valid, alive
}

// Guards against a fleet that turns to a store which fails for all of its hosts.
func TestStoreThatFailsIsNotAskedByAll(t *testing.T) {
	const hosts = 60
	Convey("While the store answers none of 60 hosts, few of them ask it, and all are served again soon afterwards", t, func() {
		var during, valid int
		synctest.Test(t, func(*testing.T) {
			c := newTableCluster(hosts, rand.New(rand.NewPCG(3, 4)))
			defer c.run()()
			time.Sleep(5 * time.Second)
			c.cutStore(15 * time.Second)
			time.Sleep(5 * time.Second)
			during = c.countCalls(10 * time.Second)
			time.Sleep(4 * time.Second)
			valid, _ = c.validLeases()
		})
		t.Logf("%d calls in 10 s, %d of %d leases valid 4 s later", during, valid, hosts)
		So(during, ShouldBeLessThan, 4*hosts)
		So(valid, ShouldEqual, hosts)
	})
}

// Guards against a fleet that turns to the store at once when the hosts that it hears from are lost, and against leases that expire meanwhile.
func TestLossOfAllFollowersSparesTheStore(t *testing.T) {
	const hosts = 60
	Convey("Once all hosts that follow the store are lost, others take their place", t, func() {
		var soon, later, valid, alive int
		lost := 0
		synctest.Test(t, func(*testing.T) {
			c := newTableCluster(hosts, rand.New(rand.NewPCG(5, 6)))
			defer c.run()()
			time.Sleep(5 * time.Second)
			for _, h := range c.hosts {
				if h.table.followed() {
					h.mu.Lock()
					h.deadAt = time.Now()
					h.mu.Unlock()
					lost++
				}
			}
			soon = c.countCalls(3 * time.Second)
			valid, alive = c.validLeases()
			time.Sleep(10 * time.Second)
			later = c.countCalls(5 * time.Second)
		})
		t.Logf("%d hosts lost: %d calls in 3 s, %d of %d leases valid then, %d calls in 5 s later", lost, soon, valid, alive, later)
		So(lost, ShouldBeBetween, 1, hosts/4)
		So(soon, ShouldBeLessThan, 3*hosts)
		So(valid, ShouldEqual, alive)
		So(later, ShouldBeLessThan, hosts)
	})
}
