package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/limit"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// limitCluster is a group of hosts that share limits over loopback connections.
type limitCluster struct {
	t       *testing.T
	limits  []*Limits
	peers   []*Peers
	stop    []context.CancelFunc
	stopped []atomic.Bool
	mu      sync.Mutex
	applied []map[string]float64
}

var limitedUpstream = route.Upstream{Name: "u", Addr: "10.0.0.1:1", Domain: "z", StartedAtMS: 1}

func newLimitCluster(t *testing.T, n int) *limitCluster {
	t.Helper()
	c := &limitCluster{
		t:       t,
		stopped: make([]atomic.Bool, n),
	}
	c.peers, c.stop = startPeers(t, n, time.Now, func(deps common.Deps, p *Peers) {
		applied := map[string]float64{}
		c.applied = append(c.applied, applied)
		c.limits = append(c.limits, NewLimits(deps, p, nil, func(u route.Incarnation, perSecond float64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			applied[u.Name] = perSecond
		}))
	})
	return c
}

// owner returns the index of the host that grants requests to limitedUpstream, as host i sees it.
func (c *limitCluster) owner(i int) int {
	h, _ := c.peers[i].roster.Owner(grantQueue(limitedUpstream))
	for j, p := range c.peers {
		if p.roster.self.Name == h.Name {
			return j
		}
	}
	c.t.Fatal("owner is unknown")
	return 0
}

// kill ends a host, which the others notice.
func (c *limitCluster) kill(i int) {
	c.stop[i]()
	c.stopped[i].Store(true)
	for j, p := range c.peers {
		if j != i {
			p.roster.MarkDown(c.peers[i].roster.self, errors.New("killed"))
		}
	}
}

// waitUntilApplied waits until all hosts that run use the limit.
func (c *limitCluster) waitUntilApplied(perSecond float64) {
	c.t.Helper()
	for end := time.Now().Add(convergeTime); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		missing := 0
		for i := range c.applied {
			if got, ok := c.applied[i]["u"]; !c.stopped[i].Load() && (got != perSecond || !ok) {
				missing++
			}
		}
		c.mu.Unlock()
		if missing == 0 {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%d hosts do not use the limit %g", missing, perSecond)
		}
	}
}

// appliedAt returns the limit that the host uses.
func (c *limitCluster) appliedAt(i int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied[i]["u"]
}

// waitUntilAppliedAt waits until the host uses the limit.
func (c *limitCluster) waitUntilAppliedAt(i int, perSecond float64) {
	c.t.Helper()
	for end := time.Now().Add(convergeTime); c.appliedAt(i) != perSecond; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("host %d does not use the limit %g", i, perSecond)
		}
	}
}

// takeAll asks for permits on all running hosts, at the rate of one a host per interval, until stop. It returns the times of those granted.
func (c *limitCluster) takeAll(stop <-chan struct{}, interval time.Duration) []time.Time {
	var (
		mu      sync.Mutex
		granted []time.Time
		wg      sync.WaitGroup
	)
	for i := range c.limits {
		wg.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				if c.stopped[i].Load() {
					continue
				}
				if ok, _ := c.limits[i].Take(context.Background(), limitedUpstream); ok {
					mu.Lock()
					granted = append(granted, time.Now())
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return granted
}

// allowedIn returns how many requests the platform allows within some seconds to an upstream that has named a limit.
func allowedIn(seconds, perSecond float64) int {
	return int(1.5*perSecond*seconds) + 5
}

// TestHostsShareNamedLimit guards against hosts that each use an upstream's limit for themselves, and against one that is not used after the granting host has ended.
func TestHostsShareNamedLimit(t *testing.T) {
	for _, n := range []int{1, 2, 9, 36} {
		Convey(fmt.Sprintf("Of %d hosts, one of which was told of a limit", n), t, func() {
			c := newLimitCluster(t, n)
			c.limits[n-1].Note(limitedUpstream, 4, time.Now())
			c.waitUntilApplied(4)
			Convey("all together send as many requests as it allows", func() {
				stop := make(chan struct{})
				time.AfterFunc(2*time.Second, func() { close(stop) })
				granted := c.takeAll(stop, 40*time.Millisecond)
				So(len(granted), ShouldBeBetweenOrEqual, 5, allowedIn(2, 4))
			})
			Convey("a raised limit and its end reach all", func() {
				c.limits[0].Note(limitedUpstream, 8, time.Now())
				c.waitUntilApplied(8)
				c.limits[0].Note(limitedUpstream, 0, time.Now())
				c.waitUntilApplied(0)
				for i := range c.limits {
					ok, _ := c.limits[i].Take(t.Context(), limitedUpstream)
					So(ok, ShouldBeTrue)
				}
			})
			Convey("a response to a request that was sent before ends nothing", func() {
				c.limits[0].Note(limitedUpstream, 0, time.Now().Add(-time.Minute))
				time.Sleep(50 * time.Millisecond)
				c.waitUntilApplied(4)
			})
		})
	}
	Convey("If the granting host ends, the next one grants no more than the limit allows beside it", t, func() {
		c := newLimitCluster(t, 9)
		c.limits[0].Note(limitedUpstream, 4, time.Now())
		c.waitUntilApplied(4)
		first := c.owner(0)
		stop := make(chan struct{})
		go func() {
			time.Sleep(time.Second)
			c.kill(first)
			time.Sleep(2 * time.Second)
			close(stop)
		}()
		granted := c.takeAll(stop, 40*time.Millisecond)
		So(len(granted), ShouldBeBetweenOrEqual, 8, allowedIn(3, 4))
		So(c.owner((first+1)%9), ShouldNotEqual, first)
	})
	Convey("A host that cannot reach the granting host sends nothing to the upstream for a moment", t, func() {
		c := newLimitCluster(t, 2)
		c.limits[0].Note(limitedUpstream, 4, time.Now())
		c.waitUntilApplied(4)
		owner := c.owner(0)
		c.stop[owner]()
		ok, retry := c.limits[1-owner].Take(t.Context(), limitedUpstream)
		So(ok, ShouldBeFalse)
		So(retry, ShouldEqual, permitRetry)
	})
}

// TestLateNoticeOfLimitIsIgnored guards against a notice that was long under way taking the place of one that was sent after it.
func TestLateNoticeOfLimitIsIgnored(t *testing.T) {
	Convey("Given a host that knows the limit of an upstream from the granting host", t, func() {
		c := newLimitCluster(t, 2)
		owner := c.owner(0)
		other := 1 - owner
		i := limitedUpstream.Incarnation()
		c.limits[owner].add(i, limit.Notice{PerSecond: 4, At: time.Now()})
		first := c.limits[owner].notice(i)
		send := func(n limitNotice) {
			n.Final = true
			So(c.peers[owner].post(t.Context(), c.peers[other].roster.self, pathLimits, n, nil), ShouldBeNil)
		}
		c.limits[owner].add(i, limit.Notice{PerSecond: 8, At: time.Now()})
		second := c.limits[owner].notice(i)
		Convey("two notices in order are both taken over", func() {
			send(first)
			c.waitUntilAppliedAt(other, 4)
			time.Sleep(20 * time.Millisecond)
			// By its age the second one is older, as the first one was long under way.
			second.AgeMS = 1000
			send(second)
			c.waitUntilAppliedAt(other, 8)
		})
		Convey("one that comes after a later one is not", func() {
			send(second)
			c.waitUntilAppliedAt(other, 8)
			time.Sleep(20 * time.Millisecond)
			send(first)
			So(c.appliedAt(other), ShouldEqual, 8)
		})
		Convey("one of another process is, if it is newer", func() {
			send(second)
			first.Source = "another"
			time.Sleep(20 * time.Millisecond)
			send(first)
			So(c.appliedAt(other), ShouldEqual, 4)
		})
	})
}

func TestLimitNoticeIsCheckedWhenDecoded(t *testing.T) {
	scenarios := []struct {
		name string
		text string
		err  error
	}{
		{name: "valid", text: `{"upstream":{"name":"u","addr":"a"},"per_second":1.5,"age_ms":3,"source":"h","seq":1}`},
		{name: "without an upstream", text: `{"upstream":{},"per_second":1.5,"source":"h"}`, err: route.ErrInvalidIncarnation},
		{name: "negative limit", text: `{"upstream":{"name":"u","addr":"a"},"per_second":-1,"source":"h"}`, err: errInvalidLimit},
		{name: "in the future", text: `{"upstream":{"name":"u","addr":"a"},"age_ms":-1,"source":"h"}`, err: errInvalidLimit},
		{name: "without a source", text: `{"upstream":{"name":"u","addr":"a"},"per_second":1.5}`, err: errInvalidLimit},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			var n limitNotice
			if err := json.Unmarshal([]byte(sc.text), &n); !errors.Is(err, sc.err) {
				t.Errorf("got error %v, want %v", err, sc.err)
			}
		})
	}
}
