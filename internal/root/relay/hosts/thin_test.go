package hosts

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

// thinHosts is the number of hosts of the tests of thin links, and thinFactor by how much a very large configuration has more routes than a large one. The race detector makes compression slow, so test.sh plays larger numbers without it.
var (
	thinHosts  = flag.Int("thin-hosts", 14, "number of hosts of the tests of thin links")
	thinFactor = flag.Int("thin-factor", 4, "size of a very large configuration, in large ones")
)

const (
	// manyRoutes is the number of routes of a large configuration.
	manyRoutes = 1409
	// largeRow is the row of the configuration.
	largeRow = "configuration"
)

// testRoute is a route of a large configuration, as operators write it.
type testRoute struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"route_type"`
	Timeout  int    `json:"timeout_ms"`
	Goal     int    `json:"slo_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
	Public   bool   `json:"public"`
	Sticky   bool   `json:"sticky"`
	Resume   bool   `json:"resumable"`
	Gap      int    `json:"gap_slo_ms"`
}

// largeConfiguration returns the encoded form of a configuration with so many routes.
func largeConfiguration(random *rand.Rand, version, routes int) []byte {
	word := func() string { return fmt.Sprintf("%08x", random.Uint32()) }
	var list []testRoute
	for range routes {
		list = append(list, testRoute{
			Name:     "r-" + word(),
			Host:     "gozi1.example",
			Prefix:   "/" + word() + "/",
			Kind:     "streaming",
			Timeout:  6000,
			Goal:     4000,
			Priority: random.IntN(3),
			Service:  "s-" + fmt.Sprint(random.IntN(9)),
			Attempts: 2,
			Gap:      600,
		})
	}
	// Encoding of plain values does not fail.
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  list,
	})
	return value
}

// putLarge writes the configuration.
func (s *tableStore) putLarge(value []byte) {
	s.mu.Lock()
	s.values[largeRow] = value
	s.mu.Unlock()
	s.put(largeRow)
}

// transfer waits as long as the rows take over the link of the host, of which a window is on its way at a time.
func (c *tableCluster) transfer(ctx context.Context, h Host, rows []follow.Row) {
	if c.thin == nil {
		return
	}
	n := 0
	for _, r := range rows {
		n += len(r.Value)
	}
	for n > 0 && ctx.Err() == nil {
		part := min(n, thinWindow)
		n -= part
		common.Sleep(ctx, time.Until(c.thin.linksOf(h.Addr).down.carry(time.Now(), part)))
		follow.ProgressOf(ctx)()
	}
}

// useThinLinks lets the hosts exchange their messages over thin links instead of calls.
func (c *tableCluster) useThinLinks() {
	c.thin = newThinNetwork()
	for _, h := range c.hosts {
		h.tables.post = h.peers.call
		h.peers.useDialer(c.thin.dialerOf(h.host.Addr))
		h.peers.server.Handler = h.peers.handler()
		ln := c.thin.listen(h.host.Addr)
		go func() { _ = h.peers.serve(ln) }()
	}
}

// runOverThinLinks runs the feeds of all hosts, and real probes of those that are down, until the returned function is called.
func (c *tableCluster) runOverThinLinks() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, h := range c.hosts {
		feed := follow.NewFeed(h.tables.Deps, h.tables.eras, testTable, h.table, h, testTableWait, follow.WithRandom(c.newRandom()))
		go func() { _ = feed.Run(ctx, func() {}) }()
		go func() {
			for common.Sleep(ctx, probeInterval) {
				h.peers.probeDown(ctx)
			}
		}()
	}
	return func() {
		cancel()
		c.thin.close()
		time.Sleep(time.Minute)
	}
}

// value returns the configuration that the host knows.
func (h *tableHost) value() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.large
}

// thinCourse is how a change of a large configuration went.
type thinCourse struct {
	// last is when the last host knew each change, after it was made, or the bound if one did not.
	last []time.Duration
	// takenForDown counts the moments, 10 ms apart, at which a host took another one for down, and fallbacks how often hosts turned to the store since the first change.
	takenForDown, fallbacks int
}

// thinCase is a configuration and the links that carry it.
type thinCase struct {
	name   string
	routes int
	// busy is the share of each link that other bytes fill, and slow by how much longer each call to the store takes.
	busy float64
	slow time.Duration
	// older is set if every second host is of a build that knows no parcels.
	older bool
}

// playThinLinks changes a large configuration twice in hosts of two failure domains, and waits for each change up to the bound.
func playThinLinks(sc thinCase, hosts int, bound time.Duration) thinCourse {
	random := rand.New(rand.NewPCG(49, 1))
	c := newTableCluster(hosts, rand.New(rand.NewPCG(49, 2)))
	c.store.slow = sc.slow
	c.useThinLinks()
	if sc.older {
		c.makeOlder()
	}
	defer c.runOverThinLinks()()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, h := range c.hosts {
		if sc.busy > 0 {
			go c.thin.occupy(ctx, h.host.Addr, sc.busy)
		}
	}
	time.Sleep(3 * time.Second)
	before := c.fallbacks()
	var course thinCourse
	for version := 1; version <= 2; version++ {
		value := largeConfiguration(random, version, sc.routes)
		c.store.putLarge(value)
		course.last = append(course.last, c.awaitAll(c.hosts, value, bound, &course))
	}
	course.fallbacks = c.fallbacks() - before
	return course
}

// fallbacks returns how often hosts have turned to the store because no other host told news.
func (c *tableCluster) fallbacks() int {
	n := 0
	for _, h := range c.hosts {
		n += h.table.stats().Fallbacks
	}
	return n
}

// awaitAll waits until the hosts know the configuration, up to the bound, and returns how long that took.
func (c *tableCluster) awaitAll(hosts []*tableHost, value []byte, bound time.Duration, course *thinCourse) time.Duration {
	const tick = 10 * time.Millisecond
	start := time.Now()
	for time.Since(start) < bound {
		time.Sleep(tick)
		missing := 0
		for _, h := range hosts {
			if h.roster.anyDown() {
				course.takenForDown++
			}
			if !bytes.Equal(h.value(), value) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
	}
	return bound
}

// Guards against hosts that learn too late of a large configuration, since one host sends it whole to all its hearers, and against sound hosts that are taken for down because their answers to pings wait behind those bytes (CONFIG, issue 49).
func TestLargeConfigurationReachesHostsOverThinLinks(t *testing.T) {
	cases := []thinCase{
		{name: "idle links", routes: manyRoutes},
		{name: "links that are half full", routes: manyRoutes, busy: 0.5},
		{name: "links that are mostly full", routes: manyRoutes, busy: 0.7},
		{name: "a slow store", routes: manyRoutes, slow: 600 * time.Millisecond},
		{name: "three times the routes", routes: 3 * manyRoutes},
		{name: "three times the routes over links that are half full", routes: 3 * manyRoutes, busy: 0.5},
	}
	hosts := *thinHosts
	for _, sc := range cases {
		t.Run(sc.name, func(t *testing.T) {
			var course thinCourse
			synctest.Test(t, func(*testing.T) { course = playThinLinks(sc, hosts, 4*changeBound) })
			t.Logf("%+v", course)
			for i, last := range course.last {
				if last > changeBound {
					t.Errorf("change %d reached the last host after %v, more than %v", i+1, last, changeBound)
				}
			}
			if course.takenForDown > 0 {
				t.Errorf("sound hosts were taken for down, at %d moments", course.takenForDown)
			}
			if course.fallbacks > 0 {
				t.Errorf("hosts turned to the store %d times", course.fallbacks)
			}
		})
	}
}

// makeOlder lets every second host know no parcels, as it asks and as it answers.
func (c *tableCluster) makeOlder() {
	older := map[string]bool{}
	for i, h := range c.hosts {
		older[h.host.Name] = i%4 < 2
	}
	for _, h := range c.hosts {
		h.tables.post = func(ctx context.Context, to Host, path string, timeouts jhttp.Timeouts, body, into any) (time.Duration, error) {
			if q, ok := body.(tableQuestion); ok && (older[h.host.Name] || older[to.Name]) {
				q.Parcels = false
				q.From = ""
				body = q
			}
			return h.peers.call(ctx, to, path, timeouts, body, into)
		}
	}
}

// Guards against hosts of the build before that hear no configuration of this build, or tell it none.
func TestHostsOfTheBuildBeforeHearLargeConfigurations(t *testing.T) {
	const (
		hosts = 16
		// alone is what the older half of the hosts needs, to each of which all bytes are sent.
		alone = 4 * changeBound
	)
	var course thinCourse
	synctest.Test(t, func(*testing.T) {
		course = playThinLinks(thinCase{
			routes: manyRoutes,
			older:  true,
		}, hosts, alone)
	})
	t.Logf("%+v", course)
	for i, last := range course.last {
		if last >= alone {
			t.Errorf("change %d did not reach all hosts within %v", i+1, alone)
		}
	}
}

// Guards against a configuration of many times the routes that no try ever gets through. The bound is the time for a change, besides that which the row takes from the store over one link.
func TestVeryLargeConfigurationReachesHostsOverThinLinks(t *testing.T) {
	hosts, routes := *thinHosts, *thinFactor*manyRoutes
	size := len(largeConfiguration(rand.New(rand.NewPCG(49, 1)), 1, routes))
	for _, busy := range []float64{0, 0.5} {
		transfer := time.Duration(float64(size) / (1 - busy) / thinRate * float64(time.Second))
		bound := transfer + changeBound
		var course thinCourse
		synctest.Test(t, func(*testing.T) {
			course = playThinLinks(thinCase{
				routes: routes,
				busy:   busy,
			}, hosts, 2*bound)
		})
		t.Logf("%d bytes, links full by %.1f: %+v, at most %v", size, busy, course, bound)
		for i, last := range course.last {
			if last > bound {
				t.Errorf("links full by %.1f: change %d reached the last host after %v, more than %v", busy, i+1, last, bound)
			}
		}
		if course.takenForDown > 0 {
			t.Errorf("links full by %.1f: sound hosts were taken for down, at %d moments", busy, course.takenForDown)
		}
		if course.fallbacks > 0 {
			t.Errorf("links full by %.1f: hosts turned to the store %d times", busy, course.fallbacks)
		}
	}
}

// thinSeeds is how many random courses of lost hosts the test of large configurations plays.
var thinSeeds = flag.Uint64("thin-seeds", 1, "number of random courses of large configurations beside lost hosts")

// playLostHosts changes a large configuration while hosts are lost, and returns how long it took until all others know it.
func playLostHosts(seed uint64, bound time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(seed, 49))
	c := newTableCluster(24+random.IntN(20), rand.New(rand.NewPCG(seed, 50)))
	c.useThinLinks()
	defer c.runOverThinLinks()()
	time.Sleep(3 * time.Second)
	value := largeConfiguration(random, 1, 2*manyRoutes)
	c.store.putLarge(value)
	order := random.Perm(len(c.hosts))
	lost := 2 + random.IntN(4)
	var rest []*tableHost
	for i, at := range order {
		if i >= lost {
			rest = append(rest, c.hosts[at])
			continue
		}
		time.AfterFunc(time.Duration(random.Int64N(int64(time.Second))), func() { c.thin.sever(c.hosts[at].host.Addr) })
	}
	var course thinCourse
	return c.awaitAll(rest, value, bound, &course)
}

// Guards against hosts that learn late of a large configuration since those from which they read it are lost midway.
func TestLargeConfigurationArrivesBesideLostHosts(t *testing.T) {
	for seed := range *thinSeeds {
		var took time.Duration
		synctest.Test(t, func(*testing.T) { took = playLostHosts(seed, 4*changeBound) })
		t.Logf("seed %d: %v", seed, took)
		if took > changeBound {
			t.Errorf("seed %d: the last host learns after %v, more than %v", seed, took, changeBound)
		}
	}
}
