package hosts

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

// byRank returns the indexes of the hosts in their ranking for the key.
func (c *originCluster) byRank(key string) []int {
	var out []int
	for _, h := range c.peers[0].roster.rankedLive(key, len(c.peers)) {
		out = append(out, slices.IndexFunc(c.peers, func(p *Peers) bool { return p.Host == h.Name }))
	}
	return out
}

// checkAll makes each of the hosts check once who writes.
func (c *originCluster) checkAll(indexes []int) {
	for _, i := range indexes {
		c.writers[i].check(c.t.Context())
	}
}

// writing returns which of the hosts take it upon themselves to write for all.
func (c *originCluster) writing(indexes []int) []int {
	var out []int
	for _, i := range indexes {
		if c.peers[i].roster.IsWriter(testRank) {
			out = append(out, i)
		}
	}
	return out
}

// Guards against a row that says for good what the host that wrote it knew before it was lost (review/4, rule ORDER).
func TestNextHostWritesForAllOnceThoseBeforeItDoNot(t *testing.T) {
	cases := []struct {
		hosts, lost, cutOff int
	}{
		{hosts: 1},
		{hosts: 3},
		{hosts: 3, lost: 1},
		{hosts: 3, cutOff: 1},
		{hosts: 3, lost: 2},
		{hosts: 9, lost: 2, cutOff: 3},
		{hosts: 9, lost: 8},
		{hosts: 36, lost: 20, cutOff: 5},
	}
	for _, sc := range cases {
		Convey(fmt.Sprintf("Of %d hosts, the first %d are lost and the next %d cannot write", sc.hosts, sc.lost, sc.cutOff), t, func() {
			c := newOriginCluster(t, sc.hosts)
			ranked := c.byRank(testRank)
			for _, i := range ranked[:sc.lost] {
				c.stop[i]()
			}
			left := ranked[sc.lost:]
			for _, i := range left[:sc.cutOff] {
				c.cutOff[c.peers[i].Host].Store(true)
			}
			able := left[sc.cutOff:]
			c.checkAll(left)
			So(c.writing(able), ShouldResemble, able[:1])
			Convey("and once these can write again, the first of them does so alone", func() {
				for _, i := range left[:sc.cutOff] {
					c.cutOff[c.peers[i].Host].Store(false)
				}
				c.checkAll(left)
				So(c.writing(left), ShouldResemble, left[:1])
			})
		})
	}
}

// Guards against all hosts writing for each other at once because the store takes no writes of any.
func TestNoHostTakesOverWhileNoneCanWrite(t *testing.T) {
	Convey("Given hosts of which none can write", t, func() {
		c := newOriginCluster(t, 5)
		ranked := c.byRank(testRank)
		for _, cut := range c.cutOff {
			cut.Store(true)
		}
		c.checkAll(ranked)
		So(c.writing(ranked), ShouldResemble, ranked[:1])
	})
}

// Guards against two hosts that write for the same ones during an upgrade: an older build does not tell whether it writes.
func TestHostOfOlderBuildCountsAsWriting(t *testing.T) {
	Convey("Given a host that does not know the question", t, func() {
		peers, _ := startPeers(t, 2, time.Now, func(common.Deps, *Peers) {})
		w := NewWriters(peers[0].Deps, peers[0], testRank, func() bool { return true })
		So(w.writes(t.Context(), peers[1].roster.self), ShouldBeTrue)
	})
}

// Guards against streams that are in no store because the host that writes them for others is gone, cut off or unable (review/3, rule ORDER).
func TestStreamsAreWrittenToTheStoreThoughTheirWriterDoesNot(t *testing.T) {
	cases := []struct {
		name string
		// play acts on the writer.
		play func(c *originCluster, writer int)
	}{
		{name: "writes", play: func(*originCluster, int) {}},
		{name: "was killed", play: func(c *originCluster, writer int) { c.stop[writer]() }},
		{name: "cannot write", play: func(c *originCluster, writer int) { c.cutOff[c.peers[writer].Host].Store(true) }},
		{name: "is of another domain and out of reach, while these are about to stop", play: func(c *originCluster, writer int) {
			far := Host{
				Name:   c.peers[writer].Host,
				Addr:   "127.0.0.1:1",
				Domain: "other",
			}
			for _, p := range c.peers {
				p.roster.Reset(rowsOf(far))
				p.roster.Leave()
			}
		}},
	}
	for _, sc := range cases {
		Convey("Given two versions and a host that writes streams for the others, which "+sc.name, t, func() {
			const hosts = 4
			c := newOriginCluster(t, hosts)
			writer := c.byRank(streamWriterRank)[0]
			sc.play(c, writer)
			saved := 0
			for i := range c.origins {
				if i == writer {
					continue
				}
				c.follow(i, streamLifetime, []string{"v1"}, []string{"v1", "v2"})
				c.origins[i].Record(origin.Key(i), testOrigin("v2"), time.Minute, testScope)
				saved++
			}
			for end := time.Now().Add(convergeTime); c.store.count() < saved && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			So(c.store.count(), ShouldEqual, saved)
		})
	}
}

// Guards against evidence of crashes that is in no store because the first host that collects it is lost (rule BUDGET).
func TestBlockIsWrittenToTheStoreThoughTheFirstCollectorIsLost(t *testing.T) {
	Convey("Given hosts of which the first that collects crashes was killed", t, func() {
		c := newCrashCluster(t, 9)
		var saved atomic.Int64
		for _, crashes := range c.crashes {
			crashes.SaveWith(func(blame.Update) { saved.Add(1) })
		}
		first := c.counters()
		slices.SortFunc(first, func(a, b int) int {
			states := c.peers[0].roster.states
			return compareForKey(countersKey, states[c.peers[a].Host], states[c.peers[b].Host])
		})
		c.kill(first[0])
		for i, w := range c.writers {
			if i != first[0] {
				w.check(t.Context())
			}
		}
		Convey("what is blocked later is written", func() {
			for range 3 {
				c.crash(map[int][]blame.Request{first[1]: {c.request("bad")}})
			}
			c.waitUntilBlocked(c.request("bad"))
			c.waitUntil(func() bool { return saved.Load() > 0 })
		})
	})
}
