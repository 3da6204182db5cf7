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
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// originCluster is a group of hosts that share the origins of streams over loopback connections.
type originCluster struct {
	t         *testing.T
	peers     []*Peers
	stop      []context.CancelFunc
	origins   []*Origins
	writers   []*Writers
	histories []*origin.History
	store     *memoryBackup
	// cutOff are the hosts that cannot write to the store.
	cutOff map[string]*atomic.Bool
	// news is what the store tells beyond what the hosts have read, newsErr its error, and newHosts reports that there are further hosts.
	news     origin.News
	newsErr  error
	newHosts bool
}

// hostBackup is the store as one host reaches it.
type hostBackup struct {
	*memoryBackup
	cutOff *atomic.Bool
}

func (b hostBackup) CanWrite() bool {
	return !b.cutOff.Load()
}

// memoryBackup is a store for origins that all hosts share.
type memoryBackup struct {
	mu    sync.Mutex
	saved map[origin.Key]origin.Origin
	// err is the error of lookups.
	err error
}

func (b *memoryBackup) Save(k origin.Key, o origin.Origin, _ time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[k] = o
}

func (b *memoryBackup) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.saved)
}

func (b *memoryBackup) Find(_ context.Context, k origin.Key) (origin.Origin, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, ok := b.saved[k]
	return o, ok, b.err
}

func (b *memoryBackup) BeganAtOther(pool, version string, from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.saved {
		if o.Pool == pool && o.Version != version && !o.SentAt.Before(from) && !o.SentAt.After(to) {
			return true
		}
	}
	return false
}

// setErr makes the store fail with the error, or work again with nil.
func (b *memoryBackup) setErr(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
}

const (
	// streamLifetime is the longest time of a stream in these tests.
	streamLifetime = time.Minute
	// testRank is the key by which hosts are ranked for what one of them writes for all.
	testRank = "test"
)

func newOriginCluster(t *testing.T, n int, opts ...OriginsOption) *originCluster {
	t.Helper()
	c := &originCluster{
		t:      t,
		store:  &memoryBackup{saved: map[origin.Key]origin.Origin{}},
		cutOff: map[string]*atomic.Bool{},
	}
	c.peers, c.stop = startPeers(t, n, time.Now, func(deps common.Deps, p *Peers) {
		h := origin.NewHistory()
		c.histories = append(c.histories, h)
		c.cutOff[p.Host] = &atomic.Bool{}
		b := hostBackup{
			memoryBackup: c.store,
			cutOff:       c.cutOff[p.Host],
		}
		news := WithNews(
			func(context.Context, []string) (origin.News, error) { return c.news, c.newsErr },
			func(context.Context) (bool, error) { return c.newHosts, c.newsErr },
		)
		c.origins = append(c.origins, NewOrigins(deps, p, h, b, append(opts, news)...))
		c.writers = append(c.writers, NewWriters(deps, p, testRank, b.CanWrite))
	})
	return c
}

func testOrigin(version string) origin.Origin {
	return origin.Origin{
		Pool:     "p",
		Version:  version,
		Upstream: route.Incarnation{Name: "u", Addr: "10.0.0.1:1"},
		SentAt:   time.Now().Add(-time.Second),
	}
}

// kill ends a host, which the others notice.
func (c *originCluster) kill(i int) {
	c.stop[i]()
	for j, p := range c.peers {
		if j != i {
			p.roster.MarkDown(c.peers[i].roster.self, errors.New("killed"))
		}
	}
}

// copies returns how many hosts know the stream.
func (c *originCluster) copies(k origin.Key) int {
	n := 0
	for _, o := range c.origins {
		if _, ok := o.ledger.Find(time.Now(), k); ok {
			n++
		}
	}
	return n
}

// record records the stream on a host, and waits until the copies have arrived.
func (c *originCluster) record(host int, k origin.Key) {
	c.t.Helper()
	c.origins[host].Record(k, testOrigin("v1"), time.Minute, testScope)
	want := 1 + min(originCopies, len(c.peers)-1)
	for end := time.Now().Add(convergeTime); c.copies(k) < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%d hosts know stream %d", c.copies(k), k)
		}
	}
}

func (c *originCluster) find(host int, k origin.Key) (string, bool) {
	return c.lookUp(host, k, true)
}

// testScope is the scope of streams that begin in the only pool.
var testScope = origin.Scope{
	Pools:    []string{"p"},
	Lifetime: streamLifetime,
}

// lookUp looks a stream up, whose caller names it or not.
func (c *originCluster) lookUp(host int, k origin.Key, named bool) (string, bool) {
	o, ok := c.origins[host].Find(context.Background(), origin.Lookup{
		Key:   k,
		Named: named,
		Scope: testScope,
	})
	return o.Version, ok
}

// Guards against streams that can't go on although a host knows where they began (incident ORDER, rule LOST).
func TestStreamOriginIsFoundThroughEveryHost(t *testing.T) {
	for _, n := range []int{1, 2, 9, 36} {
		Convey(fmt.Sprintf("Each of %d hosts finds a stream's origin", n), t, func() {
			c := newOriginCluster(t, n)
			c.record(0, 7)
			So(c.copies(7), ShouldBeLessThanOrEqualTo, 1+originCopies+originLocalCopies)
			for i := range n {
				version, ok := c.find(i, 7)
				So(ok, ShouldBeTrue)
				So(version, ShouldEqual, "v1")
			}
		})
	}
}

func TestStreamOriginOutlivesItsHostAndTwoMore(t *testing.T) {
	Convey("Given nine hosts and streams that began at the first", t, func() {
		c := newOriginCluster(t, 9)
		for k := range origin.Key(30) {
			c.record(0, k)
		}
		c.kill(0)
		c.kill(3)
		c.kill(5)
		Convey("the others find them all", func() {
			for k := range origin.Key(30) {
				version, ok := c.find(1+int(k%2), k)
				So(ok, ShouldBeTrue)
				So(version, ShouldEqual, "v1")
			}
		})
	})
}

func TestUnknownOriginIsGuessedOnlyFromAVersionThatHasLongBeenTheOnlyOne(t *testing.T) {
	ups := func(versions ...string) []route.Upstream {
		var out []route.Upstream
		for _, v := range versions {
			out = append(out, route.Upstream{Pool: "p", Version: v})
		}
		return out
	}
	now := time.Now()
	cases := []struct {
		name string
		// since is when the other hosts learned their upstreams.
		since   time.Time
		own     []route.Upstream
		others  []route.Upstream
		version string
	}{
		{name: "no host knows upstreams", since: now},
		{name: "the others have long seen one version", since: now.Add(-streamLifetime), own: ups("v1", "v1"), others: ups("v1", "v1"), version: "v1"},
		{name: "the others have seen one version for a short time", since: now.Add(-streamLifetime / 2), own: ups("v1"), others: ups("v1")},
		{name: "the others see two versions", since: now.Add(-streamLifetime), own: ups("v1"), others: ups("v1", "v2")},
		{name: "this host sees two versions", since: now.Add(-streamLifetime), own: ups("v1", "v2"), others: ups("v1")},
		{name: "upstreams state no version", since: now.Add(-streamLifetime), own: ups(""), others: ups("")},
	}
	for _, sc := range cases {
		Convey("A host that has just started, where "+sc.name, t, func() {
			c := newOriginCluster(t, 3)
			for i, h := range c.histories {
				list := sc.others
				if i == 0 {
					list = sc.own
				}
				at := sc.since
				if i == 0 {
					at = now
				}
				h.Confirm(at)
				h.Sync(at, list)
				for ; at.Before(now); at = at.Add(time.Second) {
					h.Confirm(at)
				}
				h.Confirm(now)
			}
			version, ok := c.find(0, 7)
			So(ok, ShouldEqual, sc.version != "")
			So(version, ShouldEqual, sc.version)
		})
	}
}

// follow makes a host follow a pool of the versions for the given time until now, and then of the others.
func (c *originCluster) follow(host int, since time.Duration, before, now []string) {
	h := c.histories[host]
	at := time.Now().Add(-since)
	h.Sync(at, versioned(before))
	for ; at.Before(time.Now()); at = at.Add(time.Second) {
		h.Confirm(at)
	}
	h.Confirm(time.Now())
	h.Sync(time.Now(), versioned(now))
}

func versioned(versions []string) []route.Upstream {
	return versionedIn("p", versions)
}

func versionedIn(pool string, versions []string) []route.Upstream {
	var out []route.Upstream
	for _, v := range versions {
		out = append(out, route.Upstream{Pool: pool, Version: v})
	}
	return out
}

// Guards against a stream of a route with several pools that goes on in one of another version than the pool that began it, once all hosts that knew it are lost (review/2, rule ORDER).
func TestUnknownStreamOfSeveralPoolsGoesOnOnlyIfTheyHaveOneVersion(t *testing.T) {
	cases := []struct {
		name string
		// first and second are the versions in the two pools of the route.
		first, second []string
		since         time.Duration
		saved         string
		version       string
		pool          string
		// writes reports that streams are written to the store as they begin.
		writes bool
	}{
		{name: "one version in both", first: []string{"v1"}, second: []string{"v1"}, since: streamLifetime, version: "v1", pool: "p"},
		{name: "one version in both for a short time", first: []string{"v1"}, second: []string{"v1"}, since: time.Second, writes: true},
		{name: "a version each", first: []string{"v1"}, second: []string{"v2"}, since: streamLifetime, writes: true},
		{name: "a version each, and the stream in the store", first: []string{"v1"}, second: []string{"v2"}, since: streamLifetime, saved: "v2", version: "v2", pool: "q", writes: true},
		{name: "two versions in the second", first: []string{"v1"}, second: []string{"v1", "v2"}, since: streamLifetime, writes: true},
		{name: "no upstreams in the second", first: []string{"v1"}, since: streamLifetime, version: "v1", pool: "p"},
		{name: "no upstreams in the second for a short time", first: []string{"v1"}, since: time.Second, writes: true},
	}
	scope := origin.Scope{
		Pools:    []string{"p", "q"},
		Lifetime: streamLifetime,
	}
	for _, sc := range cases {
		Convey("With "+sc.name, t, func() {
			c := newOriginCluster(t, 3)
			for _, h := range c.histories {
				ups := append(versionedIn("p", sc.first), versionedIn("q", sc.second)...)
				at := time.Now().Add(-sc.since)
				h.Sync(at, ups)
				for ; at.Before(time.Now()); at = at.Add(time.Second) {
					h.Confirm(at)
				}
				h.Confirm(time.Now())
			}
			if sc.saved != "" {
				o := testOrigin(sc.saved)
				o.Pool = "q"
				c.store.Save(7, o, time.Minute)
			}
			o, ok := c.origins[0].Find(t.Context(), origin.Lookup{
				Key:   7,
				Named: true,
				Scope: scope,
			})
			So(o.Version, ShouldEqual, sc.version)
			So(o.Pool, ShouldEqual, sc.pool)
			So(ok, ShouldEqual, sc.version != "")
			before := c.store.count()
			c.origins[0].Record(8, testOrigin("v1"), time.Minute, scope)
			wait := 100 * time.Millisecond
			if sc.writes {
				wait = convergeTime
			}
			for end := time.Now().Add(wait); c.store.count() == before && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			So(c.store.count() > before, ShouldEqual, sc.writes)
		})
	}
}

// Guards against streams that can't go on if all hosts are lost and a second version comes as they are back (day rejoined).
func TestUnknownStreamBeganBeforeTheSecondVersionIfAllHostsSawItCome(t *testing.T) {
	cases := []struct {
		name string
		// started is how many of the hosts have started since the second version came.
		started int
		// silent is how many do not answer, and down how many are known to be down.
		silent  int
		down    int
		version string
	}{
		{name: "all saw it", version: "v1"},
		{name: "one has started since", started: 1},
		{name: "one does not answer", silent: 1},
		{name: "one is down, which may have begun it since", down: 1},
		{name: "all others are down", down: 3},
	}
	for _, sc := range cases {
		Convey("A stream that nobody knows, where a second version has come and "+sc.name, t, func() {
			c := newOriginCluster(t, 4)
			for i := range c.origins {
				if i > 0 && i <= sc.started {
					c.follow(i, time.Second, nil, []string{"v1", "v2"})
					continue
				}
				c.follow(i, streamLifetime, []string{"v1"}, []string{"v1", "v2"})
			}
			for i := range sc.silent {
				c.stop[i+1]()
			}
			for i := range sc.down {
				c.kill(i + 1)
			}
			version, ok := c.find(0, 7)
			So(version, ShouldEqual, sc.version)
			So(ok, ShouldEqual, sc.version != "")
		})
	}
}

// Guards against a stream that goes on at the version before its own, because the host that began it was cut off, wrote it to the store alone and has left (review/3, rule ORDER).
func TestUnknownStreamIsRefusedIfAHostThatMayHaveBegunItCannotBeAsked(t *testing.T) {
	const (
		hosts = 4
		grace = 300 * time.Millisecond
	)
	cases := []struct {
		name string
		// before and after play before and after the second version comes.
		before, after func(c *originCluster)
		version       string
	}{
		{name: "all hosts are there", version: "v1"},
		{name: "a host leaves", after: func(c *originCluster) { c.leave(hosts - 1) }},
		{name: "a host leaves just before, and may go on serving", before: func(c *originCluster) { c.leave(hosts - 1) }},
		{name: "a host left and has ended before", version: "v1", before: func(c *originCluster) {
			c.leave(hosts - 1)
			time.Sleep(grace)
		}},
		{name: "a host takes the place of another", after: func(c *originCluster) {
			for _, p := range c.peers[:hosts-1] {
				p.roster.Apply(rowsOf(Host{Name: c.peers[hosts-1].Host, Addr: "127.0.0.1:1"}))
			}
		}},
		{name: "the table of hosts is read again, between which hosts may have come and gone", after: func(c *originCluster) {
			var all []Host
			for _, p := range c.peers {
				all = append(all, p.roster.self)
			}
			c.peers[0].roster.Reset(rowsOf(all...))
		}},
		{name: "the store cannot be read", after: func(c *originCluster) { c.store.setErr(errors.New("down")) }},
		{name: "the store holds the stream", version: "v2", after: func(c *originCluster) { c.store.Save(7, testOrigin("v2"), time.Minute) }},
	}
	for _, sc := range cases {
		Convey("A stream that no host knows, where a second version comes and "+sc.name, t, func() {
			c := newOriginCluster(t, hosts, WithStopGrace(grace))
			if sc.before != nil {
				sc.before(c)
			}
			for i := range c.origins {
				c.follow(i, streamLifetime, []string{"v1"}, []string{"v1", "v2"})
			}
			if sc.after != nil {
				sc.after(c)
			}
			version, ok := c.find(0, 7)
			So(version, ShouldEqual, sc.version)
			So(ok, ShouldEqual, sc.version != "")
		})
	}
}

// Guards against a stream that goes on at the version before its own, because only hosts that were not asked know it (review/3, rule ORDER).
func TestAllHostsAreAskedBeforeAnUnknownStreamIsTakenForOld(t *testing.T) {
	Convey("Given more hosts than are asked first, where a second version has come", t, func() {
		const hosts = 2 * (originAsked + originLocalAsked + originAskedLater)
		c := newOriginCluster(t, hosts)
		for i := range c.origins {
			c.follow(i, streamLifetime, []string{"v1"}, []string{"v1", "v2"})
		}
		ranked := c.origins[0].ranked(7)
		last := ranked[len(ranked)-1]
		for i, p := range c.peers {
			if p.Host == last.Name {
				c.origins[i].ledger.AddOwn(time.Now(), 7, testOrigin("v2"), time.Minute)
			}
		}
		Convey("a stream that only the last in its ranking knows does not go on at the version before", func() {
			version, ok := c.find(0, 7)
			So(version, ShouldBeEmpty)
			So(ok, ShouldBeFalse)
		})
		Convey("a stream that none knows does", func() {
			version, ok := c.find(0, 8)
			So(version, ShouldEqual, "v1")
			So(ok, ShouldBeTrue)
		})
	})
}

// Guards against a stream that goes on at the version of which earlier hosts wrote that it was alone, although another one served since (review/4, rule ORDER).
func TestEarlierHostsAreBelievedOnlyIfTheStoreDoesNotContradictThem(t *testing.T) {
	saved := func(k origin.Key, version string, ago time.Duration) func(*originCluster) {
		return func(c *originCluster) {
			o := testOrigin(version)
			o.SentAt = time.Now().Add(-ago)
			c.store.Save(k, o, time.Minute)
		}
	}
	cases := []struct {
		name    string
		play    func(c *originCluster)
		version string
	}{
		{name: "holds nothing", play: func(*originCluster) {}, version: "v1"},
		{name: "holds the stream", play: saved(7, "v2", time.Second), version: "v2"},
		{name: "holds another stream of another version", play: saved(8, "v2", time.Second)},
		{name: "holds one that began too long ago", play: saved(8, "v2", streamLifetime+time.Second), version: "v1"},
		{name: "holds another stream of the same version", play: saved(8, "v1", time.Second), version: "v1"},
		{name: "cannot be read", play: func(c *originCluster) { c.store.setErr(errors.New("down")) }},
	}
	for _, sc := range cases {
		Convey("Given hosts that have just started, earlier ones that saw one version, and a store that "+sc.name, t, func() {
			c := newOriginCluster(t, 3)
			for i, h := range c.histories {
				c.follow(i, time.Second, []string{"v1"}, []string{"v1"})
				h.AddEarlier("p", origin.Period{
					Version: "v1",
					From:    time.Now().Add(-2 * streamLifetime),
					To:      time.Now().Add(-2 * time.Second),
				})
			}
			sc.play(c)
			version, ok := c.find(0, 7)
			So(version, ShouldEqual, sc.version)
			So(ok, ShouldEqual, sc.version != "")
		})
	}
}

// Guards against a stream that goes on at another version because its caller does not name it, so that no host can know it (review/REPORT.md, "Left out").
func TestUnnamedStreamGoesOnOnlyAtAVersionThatWasLongAlone(t *testing.T) {
	cases := []struct {
		name        string
		before, now []string
		since       time.Duration
		play        func(c *originCluster)
		version     string
	}{
		{name: "one version for long", since: streamLifetime, before: []string{"v1"}, now: []string{"v1"}, version: "v1"},
		{name: "one version for a short time", since: time.Second, before: []string{"v1"}, now: []string{"v1"}},
		{name: "a second version beside it", since: streamLifetime, before: []string{"v1"}, now: []string{"v1", "v2"}},
		{name: "a second version, and hosts and a store that know another unnamed stream", since: streamLifetime, before: []string{"v1"}, now: []string{"v1", "v2"}, play: func(c *originCluster) {
			for _, o := range c.origins {
				o.ledger.AddOwn(time.Now(), 7, testOrigin("v1"), time.Minute)
			}
			c.store.Save(7, testOrigin("v1"), time.Minute)
		}},
	}
	for _, sc := range cases {
		Convey("With "+sc.name, t, func() {
			c := newOriginCluster(t, 3)
			for i := range c.origins {
				c.follow(i, sc.since, sc.before, sc.now)
			}
			if sc.play != nil {
				sc.play(c)
			}
			version, ok := c.lookUp(0, 7, false)
			So(version, ShouldEqual, sc.version)
			So(ok, ShouldEqual, sc.version != "")
		})
	}
}

// readRelease makes a host read that a second version has come into the pool, of which the others have not read yet.
func (c *originCluster) readRelease(host int, pool string) {
	came := versionedIn(pool, []string{"v2"})
	c.histories[host].Sync(time.Now(), append(versioned([]string{"v1"}), came...))
	c.news.Upstreams = came
}

// Guards against a stream that goes on at the only version in outdated copies of the table of upstreams, although another one began it since (issue 57, rule ORDER).
func TestUnknownStreamIsRefusedIfAnotherVersionHasComeUnread(t *testing.T) {
	const manyHosts = 2 * (originAsked + originLocalAsked + originAskedLater)
	cases := []struct {
		name    string
		hosts   int
		pool    string
		unnamed bool
		// lost reports that the host which began the stream is lost.
		lost bool
	}{
		{name: "a host that is lost began it", hosts: 4, pool: "p", lost: true},
		{name: "a host that is lost began it, and its caller does not name it", hosts: 4, pool: "p", lost: true, unnamed: true},
		{name: "a host that is not asked began it", hosts: manyHosts, pool: "p"},
		{name: "a host that is lost began it in a pool that had no upstreams", hosts: 4, pool: "q", lost: true},
	}
	for _, sc := range cases {
		Convey("A stream at a version of which the hosts that are asked have not read, where "+sc.name, t, func() {
			c := newOriginCluster(t, sc.hosts)
			for i := range c.origins {
				c.follow(i, streamLifetime, []string{"v1"}, []string{"v1"})
			}
			ranked := c.origins[0].ranked(7)
			last := ranked[len(ranked)-1]
			for i, p := range c.peers {
				if p.Host != last.Name {
					continue
				}
				c.readRelease(i, sc.pool)
				c.origins[i].ledger.AddOwn(time.Now(), 7, testOrigin("v2"), time.Minute)
				if sc.lost {
					c.kill(i)
				}
			}
			o, ok := c.origins[0].Find(t.Context(), origin.Lookup{
				Key:   7,
				Named: !sc.unnamed,
				Scope: origin.Scope{
					Pools:    []string{"p", "q"},
					Lifetime: streamLifetime,
				},
			})
			So(o.Version, ShouldBeEmpty)
			So(ok, ShouldBeFalse)
		})
	}
}

// Guards against a stream that goes on at the only version that the hosts which are asked have read, although the store holds it at another one (issue 57, rule ORDER).
func TestStreamInTheStoreGoesOnAtItsVersionWhateverHostsHaveRead(t *testing.T) {
	Convey("Given hosts that have read of one version alone for long", t, func() {
		c := newOriginCluster(t, 4)
		for i := range c.origins {
			c.follow(i, streamLifetime, []string{"v1"}, []string{"v1"})
		}
		Convey("a stream that a lost host has written to the store at another one goes on at that", func() {
			c.store.Save(7, testOrigin("v2"), time.Minute)
			version, ok := c.find(0, 7)
			So(version, ShouldEqual, "v2")
			So(ok, ShouldBeTrue)
		})
		Convey("and one that it has written at an unknown version does not go on at theirs", func() {
			c.store.Save(7, testOrigin(origin.UnknownVersion), time.Minute)
			version, _ := c.find(0, 7)
			So(version, ShouldEqual, origin.UnknownVersion)
		})
	})
}

// Guards against a stream that goes on at the version that some hosts have read as the only one, although another host has seen a second one come and go (issue 57, rule ORDER).
func TestUnknownStreamIsRefusedIfAHostHasSeenAnotherVersionComeAndGo(t *testing.T) {
	for _, named := range []bool{true, false} {
		Convey(fmt.Sprintf("Given a host that has seen a second version come and go, of which the others have not read, and a stream that nobody knows (named: %t)", named), t, func() {
			c := newOriginCluster(t, 4)
			for i := range c.origins {
				c.follow(i, streamLifetime, []string{"v1"}, []string{"v1"})
			}
			c.readRelease(1, "p")
			c.histories[1].Sync(time.Now(), versioned([]string{"v1"}))
			c.news = origin.News{}
			for i := range c.origins {
				version, ok := c.lookUp(i, 7, named)
				So(version, ShouldBeEmpty)
				So(ok, ShouldBeFalse)
			}
		})
	}
}

// Guards against a stream that began at a process in place of that of its row, and goes on by the row once all hosts that knew it are lost (issue 57, rule ORDER).
func TestStreamOfUnknownVersionIsWrittenToTheStoreThoughItsPoolHasOneVersion(t *testing.T) {
	Convey("Given hosts that have read of one version alone for long", t, func() {
		c := newOriginCluster(t, 3)
		for i := range c.origins {
			c.follow(i, streamLifetime, []string{"v1"}, []string{"v1"})
		}
		Convey("a stream that began at a process which did not say when it started is written", func() {
			c.origins[0].Record(7, testOrigin(origin.UnknownVersion), time.Minute, testScope)
			for end := time.Now().Add(convergeTime); c.store.count() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			So(c.store.count(), ShouldEqual, 1)
		})
	})
}

// Guards against conclusions of the version of a stream although what the hosts know is not, or may not be, up to date (issue 57, rule ORDER).
func TestNothingIsConcludedAgainstTheNewsOfTheStore(t *testing.T) {
	const otherPool = "q"
	cases := []struct {
		name string
		// mixed reports that all hosts have seen a second version come.
		mixed   bool
		play    func(c *originCluster)
		version string
	}{
		{name: "there are none", version: "v1", play: func(*originCluster) {}},
		{name: "there are none, with two versions", mixed: true, version: "v1", play: func(*originCluster) {}},
		{name: "the row of an upstream of the same version has changed", version: "v1", play: func(c *originCluster) { c.news.Upstreams = versioned([]string{"v1"}) }},
		{name: "another version has come into another pool", version: "v1", play: func(c *originCluster) { c.news.Upstreams = versionedIn(otherPool, []string{"v2"}) }},
		{name: "another version has come", play: func(c *originCluster) { c.news.Upstreams = versioned([]string{"v2"}) }},
		{name: "an upstream has come that states no version", play: func(c *originCluster) { c.news.Upstreams = versioned([]string{""}) }},
		{name: "an upstream has come and gone", play: func(c *originCluster) { c.news.Passed = true }},
		{name: "there is another configuration", play: func(c *originCluster) { c.news.Configured = true }},
		{name: "a stream of another version that began within its lifetime", play: func(c *originCluster) { c.store.Save(8, testOrigin("v2"), time.Minute) }},
		{name: "they can't be read", play: func(c *originCluster) { c.newsErr = errors.New("down") }},
		{name: "they can't be read, with two versions", mixed: true, play: func(c *originCluster) { c.newsErr = errors.New("down") }},
		{name: "there is another host, which may have begun it at the second version", mixed: true, play: func(c *originCluster) { c.newHosts = true }},
		{name: "there is another host", version: "v1", play: func(c *originCluster) { c.newHosts = true }},
		{name: "a further one of the second version has come", mixed: true, version: "v1", play: func(c *originCluster) { c.news.Upstreams = versioned([]string{"v2"}) }},
	}
	for _, sc := range cases {
		Convey("A stream that nobody knows, and news of the store: "+sc.name, t, func() {
			c := newOriginCluster(t, 3)
			now := []string{"v1"}
			if sc.mixed {
				now = []string{"v1", "v2"}
			}
			for i := range c.origins {
				c.follow(i, streamLifetime, []string{"v1"}, now)
			}
			sc.play(c)
			version, ok := c.find(0, 7)
			So(version, ShouldEqual, sc.version)
			So(ok, ShouldEqual, sc.version != "")
		})
	}
}

// leave makes a host leave in order, which the others learn.
func (c *originCluster) leave(i int) {
	for j, p := range c.peers {
		if j != i {
			p.roster.Apply([]follow.Row{{
				Key:     c.peers[i].Host,
				Deleted: true,
			}})
		}
	}
}

// Guards against writes to the store at rest, and against streams that are lost with all hosts while their version is in doubt.
func TestOriginsAreWrittenToTheStoreOnlyWhileTheyAreInDoubt(t *testing.T) {
	cases := []struct {
		name   string
		since  time.Duration
		before []string
		now    []string
		saved  bool
	}{
		{name: "one version for long", since: streamLifetime, before: []string{"v1"}, now: []string{"v1"}},
		{name: "one version for a short time", since: streamLifetime / 2, before: []string{"v1"}, now: []string{"v1"}, saved: true},
		{name: "two versions", since: streamLifetime, before: []string{"v1"}, now: []string{"v1", "v2"}, saved: true},
	}
	for _, sc := range cases {
		Convey("With "+sc.name, t, func() {
			c := newOriginCluster(t, 4)
			for i := range c.origins {
				c.follow(i, sc.since, sc.before, sc.now)
				c.record(i, origin.Key(i))
			}
			wait := convergeTime
			if !sc.saved {
				wait = 100 * time.Millisecond
			}
			for end := time.Now().Add(wait); c.store.count() < 4 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			So(c.store.count(), ShouldEqual, map[bool]int{true: 4}[sc.saved])
		})
	}
}

// Guards against streams that began before a second version came and are lost with all hosts after it.
func TestOriginsOfStreamsInProgressAreWrittenWhenASecondVersionComes(t *testing.T) {
	Convey("Given more streams than a message holds, which hosts began while there was one version", t, func() {
		c := newOriginCluster(t, 3)
		for i := range c.origins {
			c.follow(i, streamLifetime, []string{"v1"}, []string{"v1"})
		}
		const streams = maxOriginCopies + 10
		for k := range origin.Key(streams) {
			c.origins[0].ledger.AddOwn(time.Now(), k, testOrigin("v1"), time.Minute)
			c.origins[1].ledger.Add(time.Now(), k, testOrigin("v1"), time.Minute)
		}
		Convey("the host that began them has them all written", func() {
			c.origins[1].SaveOwn("p")
			time.Sleep(50 * time.Millisecond)
			So(c.store.count(), ShouldEqual, 0)
			c.origins[0].SaveOwn("p")
			for end := time.Now().Add(convergeTime); c.store.count() < streams && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			So(c.store.count(), ShouldEqual, streams)
		})
	})
}

func TestStreamOriginThatIsDisputedIsUnknown(t *testing.T) {
	Convey("A stream that is said to have begun at two versions has no known origin", t, func() {
		c := newOriginCluster(t, 3)
		c.record(0, 7)
		c.origins[0].Record(7, testOrigin("v2"), time.Minute, testScope)
		_, ok := c.find(0, 7)
		So(ok, ShouldBeFalse)
	})
}

func TestOriginCopyChecksItselfWhenDecoded(t *testing.T) {
	texts := []struct {
		text  string
		valid bool
	}{
		{text: `{"key":18446744073709551615,"origin":{"pool":"p","version":"v","upstream":{"name":"u","addr":"a"}},"age_ms":1,"keep_ms":1}`, valid: true},
		{text: `{"key":1,"origin":{"pool":"p","version":"v","upstream":{"name":"u","addr":"a"}},"age_ms":-1}`},
		{text: `{"key":1,"origin":{"pool":"p","version":"v","upstream":{"name":"u","addr":"a"}},"keep_ms":-1}`},
		{text: `{"key":1,"origin":{"pool":"p","upstream":{"name":"u","addr":"a"}}}`},
		{text: `{"key":-1}`},
	}
	Convey("A copy needs an origin and times that aren't negative", t, func() {
		for _, c := range texts {
			var m originCopy
			So(json.Unmarshal([]byte(c.text), &m) == nil, ShouldEqual, c.valid)
		}
	})
}

// Guards against a stream that goes on by what others read before an upstream passed of which this host knows (issue 57, rule ORDER).
func TestUnknownStreamIsRefusedWhereAnUpstreamHasJustPassedUnseen(t *testing.T) {
	Convey("Given hosts that have seen one version for a stream's lifetime", t, func() {
		c := newOriginCluster(t, 3)
		for i := range c.origins {
			c.follow(i, streamLifetime, []string{"v1"}, []string{"v1"})
		}
		version, ok := c.find(0, 7)
		So(version, ShouldEqual, "v1")
		So(ok, ShouldBeTrue)
		Convey("a host that alone has read of an upstream that has gone, and not what version it had, concludes none", func() {
			c.histories[0].Interrupt(time.Now())
			version, ok := c.find(0, 7)
			So(version, ShouldBeEmpty)
			So(ok, ShouldBeFalse)
		})
	})
}
