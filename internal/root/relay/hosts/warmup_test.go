package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/warm"
)

var (
	coldUpstream = route.Upstream{Name: "u", Addr: "10.0.0.1:1", Domain: "d", Pool: "p", StartedAtMS: 1, Limited: true, Cold: true}
	coldBound    = warm.Bound{PerSecond: 15, Overage: 1.5, Slack: 5}
)

// grantsReady is how long after its start a granting host gives its first token, and a little longer.
const grantsReady = 1300 * time.Millisecond

// warmCluster is a group of hosts that share the rates of cold upstreams over loopback connections.
type warmCluster struct {
	warmUps []*WarmUps
	peers   []*Peers
	stop    []context.CancelFunc

	mu      sync.Mutex
	applied map[route.Incarnation]route.Cold
}

// newWarmCluster starts the hosts, and waits until they give tokens. Those from old on are of a build without tokens.
func newWarmCluster(t *testing.T, n, old int) *warmCluster {
	t.Helper()
	plans := &plan.Active{}
	plans.ReplaceIfNewer(plan.New(1, nil, []plan.Pool{
		{Name: "p", WarmUp: plan.WarmUp{Duration: 3 * time.Second, PerSecond: coldBound.PerSecond}},
		{Name: "free", WarmUp: plan.WarmUp{Duration: 3 * time.Second}},
	}, nil, plan.Limits{}))
	c := &warmCluster{
		applied: map[route.Incarnation]route.Cold{},
	}
	c.peers, c.stop = startPeers(t, n, time.Now, func(deps common.Deps, p *Peers) {
		if len(c.warmUps) >= old {
			return
		}
		c.warmUps = append(c.warmUps, NewWarmUps(deps, p, plans, coldBound, func(i route.Incarnation, cold route.Cold) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.applied[i] = cold
		}))
	})
	time.Sleep(grantsReady)
	return c
}

// granters returns the indexes of the granting hosts of coldUpstream.
func (c *warmCluster) granters() []int {
	var out []int
	for _, h := range c.warmUps[0].granters(coldUpstream.Name, coldUpstream.Domain) {
		out = append(out, slices.IndexFunc(c.peers, func(p *Peers) bool { return p.Host == h.Name }))
	}
	return out
}

// takeAll asks for permits to coldUpstream on the hosts for the duration, at the interval on each, and returns the times of those granted.
func (c *warmCluster) takeAll(hosts []int, d, interval time.Duration) []time.Time {
	return c.take(coldUpstream, hosts, d, interval)
}

// take asks for permits to an upstream on the hosts for the duration, at the interval on each, and returns the times of those granted.
func (c *warmCluster) take(up route.Upstream, hosts []int, d, interval time.Duration) []time.Time {
	var (
		mu      sync.Mutex
		granted []time.Time
		wg      sync.WaitGroup
	)
	end := time.Now().Add(d)
	for _, i := range hosts {
		wg.Go(func() {
			for time.Now().Before(end) {
				ok, retry := c.warmUps[i].Take(context.Background(), up)
				if ok {
					mu.Lock()
					granted = append(granted, time.Now())
					mu.Unlock()
				}
				time.Sleep(max(interval, retry))
			}
		})
	}
	wg.Wait()
	slices.SortFunc(granted, time.Time.Compare)
	return granted
}

// busiestSecond returns the largest number of times within a second.
func busiestSecond(times []time.Time) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// indexes returns the numbers below n but for those left out.
func indexes(n int, without ...int) []int {
	var out []int
	for i := range n {
		if !slices.Contains(without, i) {
			out = append(out, i)
		}
	}
	return out
}

// TestHostsShareTheRateOfColdUpstream guards against hosts that each use the rate of a cold upstream for themselves, and against one that is hardly used.
func TestHostsShareTheRateOfColdUpstream(t *testing.T) {
	for _, n := range []int{1, 2, 3, 36} {
		Convey(fmt.Sprintf("%d hosts together get permits up to the bound", n), t, func() {
			c := newWarmCluster(t, n, n)
			granted := c.takeAll(indexes(n), 2*time.Second, 20*time.Millisecond)
			t.Logf("%d hosts: %d permits in 2 s, %d in the busiest second", n, len(granted), busiestSecond(granted))
			So(len(granted), ShouldBeGreaterThan, 0)
			So(busiestSecond(granted), ShouldBeLessThanOrEqualTo, coldBound.Max())
		})
	}
}

// TestManyUpstreamsTurnColdAtOnce guards against a bound that does not hold where a whole failure domain comes back cold.
func TestManyUpstreamsTurnColdAtOnce(t *testing.T) {
	Convey("Nine hosts send to each of 30 upstreams that turn cold together within its bound", t, func() {
		const upstreams = 30
		c := newWarmCluster(t, 9, 9)
		granted := make([][]time.Time, upstreams)
		var wg sync.WaitGroup
		for n := range upstreams {
			up := coldUpstream
			up.Name = fmt.Sprintf("u%d", n)
			wg.Go(func() { granted[n] = c.take(up, indexes(9), 3*time.Second, 20*time.Millisecond) })
		}
		wg.Wait()
		total := 0
		for _, times := range granted {
			So(busiestSecond(times), ShouldBeLessThanOrEqualTo, coldBound.Max())
			total += len(times)
		}
		So(total, ShouldBeGreaterThan, 0)
		t.Logf("%d permits in 3 s for %d upstreams", total, upstreams)
	})
}

// TestColdUpstreamIsUsedAfterGrantingHostWasLost guards against a cold upstream that gets nothing after the loss of one granting host.
func TestColdUpstreamIsUsedAfterGrantingHostWasLost(t *testing.T) {
	Convey("Given five hosts, the first granting one of which ends", t, func() {
		c := newWarmCluster(t, 5, 5)
		lost := c.granters()[0]
		c.stop[lost]()
		granted := c.takeAll(indexes(5, lost), 2*time.Second, 20*time.Millisecond)
		So(len(granted), ShouldBeGreaterThan, 0)
		So(busiestSecond(granted), ShouldBeLessThanOrEqualTo, coldBound.Max())
	})
}

// TestHostThatCannotAskSendsNothing guards against hosts that are cut off and each take themselves for the granting one.
func TestHostThatCannotAskSendsNothing(t *testing.T) {
	Convey("Given five hosts, of which two granting ones are not reached", t, func() {
		c := newWarmCluster(t, 5, 5)
		granters := c.granters()
		for _, i := range granters[:2] {
			c.stop[i]()
		}
		Convey("no other host gets a permit, also not the third granting one", func() {
			So(c.takeAll(indexes(5, granters[:2]...), time.Second, 20*time.Millisecond), ShouldBeEmpty)
			stats := c.warmUps[granters[2]].Stats()
			So(stats.Permits, ShouldEqual, 0)
			So(stats.Refused, ShouldBeGreaterThan, 0)
		})
		Convey("the request can go elsewhere at once after the first failure", func() {
			c.warmUps[granters[2]].Take(t.Context(), coldUpstream)
			began := time.Now()
			granted, retry := c.warmUps[granters[2]].Take(t.Context(), coldUpstream)
			So(granted, ShouldBeFalse)
			So(retry, ShouldBeGreaterThan, 0)
			So(time.Since(began), ShouldBeLessThan, tokenTimeout)
		})
	})
}

// TestHostsThatDisagreeStayWithinBound guards against two groups of granting hosts, each of which gives the whole rate.
func TestHostsThatDisagreeStayWithinBound(t *testing.T) {
	Convey("Given twelve hosts, half of which do not know the granting hosts of the others", t, func() {
		c := newWarmCluster(t, 12, 12)
		granters := c.granters()
		others := indexes(12, granters...)
		for _, i := range others[:6] {
			var known []Host
			for _, j := range others {
				known = append(known, c.peers[j].roster.self)
			}
			c.peers[i].roster.Reset(rowsOf(known...))
		}
		for _, w := range c.warmUps {
			w.mu.Lock()
			clear(w.rankings)
			w.mu.Unlock()
		}
		granted := c.takeAll(indexes(12), 3*time.Second, 10*time.Millisecond)
		So(busiestSecond(granted), ShouldBeLessThanOrEqualTo, coldBound.Max())
	})
}

// TestOlderBuildGivesNoToken guards against an answer of a host of the build before that counts as a token.
func TestOlderBuildGivesNoToken(t *testing.T) {
	Convey("A host that runs beside two of the build before gets no permit", t, func() {
		c := newWarmCluster(t, 3, 1)
		granted, retry := c.warmUps[0].Take(t.Context(), coldUpstream)
		So(granted, ShouldBeFalse)
		So(retry, ShouldBeGreaterThan, 0)
	})
}

// TestColdTimeFollowsRowsAndConnections guards against coldness that is missed, and against permits where no rate is named.
func TestColdTimeFollowsRowsAndConnections(t *testing.T) {
	Convey("Given a host", t, func() {
		c := newWarmCluster(t, 1, 1)
		w := c.warmUps[0]
		i := coldUpstream.Incarnation()
		Convey("a row that states a cold time is applied with the rate", func() {
			w.RecordRow(coldUpstream, time.Second, false)
			So(c.applied[i].PerSecond, ShouldEqual, coldBound.Rate())
			So(w.isCold(coldUpstream), ShouldBeTrue)
		})
		Convey("a warm upstream costs nothing", func() {
			w.RecordRow(coldUpstream, 0, false)
			w.RecordResponse(coldUpstream)
			So(c.applied, ShouldBeEmpty)
			_, retry := w.Permit(t.Context(), coldUpstream)
			So(retry, ShouldEqual, 0)
			So(w.Stats(), ShouldResemble, WarmUpStats{})
		})
		Convey("one that can't be reached is cold until it has answered for its warm-up", func() {
			w.RecordUnreachable(coldUpstream)
			w.RecordRow(coldUpstream, 0, false)
			So(w.isCold(coldUpstream), ShouldBeTrue)
			w.RecordResponse(coldUpstream)
			So(c.applied[i].Until, ShouldHappenBetween, time.Now().Add(2*time.Second), time.Now().Add(4*time.Second))
		})
		Convey("one whose pool names no rate needs no permit", func() {
			up := coldUpstream
			up.Pool = "free"
			w.RecordRow(up, time.Second, false)
			granted, _ := w.Take(t.Context(), up)
			So(granted, ShouldBeTrue)
			So(w.Stats().TokensGiven, ShouldEqual, 0)
		})
	})
}

func TestTokenRequestIsCheckedWhenDecoded(t *testing.T) {
	scenarios := []struct {
		name string
		text string
		err  error
	}{
		{name: "valid", text: `{"upstream":"u","domain":"d","pool":"p","tokens":3}`},
		{name: "without an upstream", text: `{"tokens":3}`, err: errInvalidToken},
		{name: "with a negative number", text: `{"upstream":"u","tokens":-1}`, err: errInvalidToken},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			var r tokenRequest
			if err := json.Unmarshal([]byte(sc.text), &r); !errors.Is(err, sc.err) {
				t.Errorf("got error %v, want %v", err, sc.err)
			}
		})
	}
}
