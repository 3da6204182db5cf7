package hosts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/flow"
	"github.com/cornelwing/cornelwing/internal/root/relay/links"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stand"
)

// convergeTime is the time within which all hosts know what is blocked.
const convergeTime = 2 * time.Second

// crashCluster is a group of hosts that tell each other about crashes over loopback connections.
type crashCluster struct {
	t       *testing.T
	crashes []*Crashes
	writers []*Writers
	peers   []*Peers
	stop    []context.CancelFunc
	stopped []bool
	// sending is the number of functions that send messages in the background, on all hosts.
	sending atomic.Int64
	// ahead is how far the clocks of the hosts are ahead of the real time, in nanoseconds.
	ahead atomic.Int64
	next  atomic.Uint64
}

func newCrashCluster(t *testing.T, n int) *crashCluster {
	t.Helper()
	c := &crashCluster{
		t:       t,
		stopped: make([]bool, n),
	}
	now := func() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }
	c.peers, c.stop = startPeers(t, n, now, func(deps common.Deps, p *Peers) {
		crashes := NewCrashes(deps, p, links.NewDialer(deps).Reaches)
		crashes.background = c.send
		c.crashes = append(c.crashes, crashes)
		c.writers = append(c.writers, NewWriters(deps, p, testRank, func() bool { return true }))
	})
	return c
}

func (c *crashCluster) send(f func()) {
	c.sending.Add(1)
	go func() {
		defer c.sending.Add(-1)
		f()
	}()
}

// waitUntilTold waits until all messages have been sent, and those that follow from them. A message that is under way while advance is called would report its crash as one that happened later.
func (c *crashCluster) waitUntilTold() {
	for c.sending.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// advance sets the clocks of all hosts ahead.
func (c *crashCluster) advance(d time.Duration) {
	c.waitUntilTold()
	c.ahead.Add(int64(d))
}

// startPeers starts hosts that know each other and reach each other over loopback connections. prepare is called with each of them before it runs. The returned functions end the connections of one host; they return once that is done.
func startPeers(t *testing.T, n int, now func() time.Time, prepare func(common.Deps, *Peers)) ([]*Peers, []context.CancelFunc) {
	t.Helper()
	var all []Host
	for i := range n {
		addr, err := stand.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, hostOf(i, addr))
	}
	var peers []*Peers
	var stop []context.CancelFunc
	for _, h := range all {
		deps := common.NewQuietDeps(h.Name, h.Domain)
		deps.Now = now
		roster := NewRoster(deps, h)
		roster.Reset(rowsOf(all...))
		p := NewPeers(deps, h.Addr, roster, &fakeLocalQueues{name: h.Name})
		prepare(deps, p)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		up := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = p.Run(ctx, func() { close(up) })
		}()
		<-up
		peers = append(peers, p)
		stop = append(stop, func() {
			cancel()
			<-ended
		})
	}
	return peers, stop
}

// kill ends the host's connections with the others.
func (c *crashCluster) kill(i int) {
	c.stop[i]()
	c.stopped[i] = true
}

// request returns a request like no other with the parts.
func (c *crashCluster) request(parts ...string) blame.Request {
	r := blame.Request{
		Own: crash.Fingerprint(c.next.Add(1) << 20),
	}
	for _, p := range parts {
		r.Parts = append(r.Parts, blame.PartFingerprint("pool", p))
	}
	return r
}

// crash ends one upstream under the requests, each at one host.
func (c *crashCluster) crash(byHost map[int][]blame.Request) {
	up := route.Upstream{
		Name: fmt.Sprintf("u%d", c.next.Add(1)),
		Addr: "127.0.0.1:1",
	}
	var wg sync.WaitGroup
	for i, list := range byHost {
		for _, r := range list {
			wg.Go(func() { c.crashes[i].RecordConnLoss(c.t.Context(), r, up) })
		}
	}
	wg.Wait()
}

func (c *crashCluster) rejects(i int, r blame.Request) bool {
	_, ok := c.crashes[i].Check(r).(flow.Rejected)
	return ok
}

// counters returns the indexes of the hosts that collect crashes.
func (c *crashCluster) counters() []int {
	var out []int
	for i, p := range c.peers {
		if p.roster.selfInTop(countersKey, crashCounters) {
			out = append(out, i)
		}
	}
	return out
}

func (c *crashCluster) waitUntil(condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(convergeTime); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatal("condition not met in time")
		}
	}
}

// waitUntilBlocked waits until all running hosts reject the request, and fails the test after convergeTime.
func (c *crashCluster) waitUntilBlocked(r blame.Request) {
	c.t.Helper()
	for i := range c.crashes {
		c.waitUntil(func() bool { return c.stopped[i] || c.rejects(i, r) })
	}
}

// TestHostsAgreeOnCrashingPart guards against hosts that each count too few crashes of a part to block it, and against sound parts beside it being blocked.
func TestHostsAgreeOnCrashingPart(t *testing.T) {
	scenarios := []struct {
		name  string
		hosts int
		// killed is how many of the hosts that collect crashes are killed after the first crash, and survivals whether sound requests are answered in between.
		killed    int
		survivals bool
	}{
		{name: "one host", hosts: 1, survivals: true},
		{name: "two hosts", hosts: 2, survivals: true},
		{name: "nine hosts", hosts: 9, survivals: true},
		{name: "nine hosts, two collecting hosts killed", hosts: 9, survivals: true, killed: 2},
		{name: "nine hosts, all collecting hosts killed", hosts: 9, survivals: true, killed: 3},
		{name: "36 hosts", hosts: 36, survivals: true},
		{name: "nine hosts that have answered nothing yet", hosts: 9},
	}
	for _, sc := range scenarios {
		Convey("Of "+sc.name, t, func() {
			c := newCrashCluster(t, sc.hosts)
			rng := rand.New(rand.NewPCG(1, uint64(sc.hosts)))
			live := func() int {
				for {
					if i := rng.IntN(sc.hosts); !c.stopped[i] {
						return i
					}
				}
			}
			crashes := 3
			if sc.killed == crashCounters {
				// The count starts anew at hosts that were not told of the crashes before.
				crashes = 4
			}
			for i := range crashes {
				if sc.survivals {
					for h := range c.crashes {
						c.crashes[h].RecordSurvived(c.request("shared", fmt.Sprintf("s%d", rng.IntN(100))))
					}
				}
				byHost := map[int][]blame.Request{}
				guilty := live()
				byHost[guilty] = append(byHost[guilty], c.request("shared", "bad"))
				for range 5 {
					h := live()
					byHost[h] = append(byHost[h], c.request("shared", fmt.Sprintf("s%d", rng.IntN(100))))
				}
				c.crash(byHost)
				if i == 0 {
					for _, k := range c.counters()[:min(sc.killed, sc.hosts-1)] {
						c.kill(k)
						for h := range c.peers {
							c.peers[h].roster.MarkDown(c.peers[k].roster.self, context.Canceled)
						}
					}
				}
			}
			c.waitUntilBlocked(c.request("shared", "bad"))
			if !sc.survivals {
				// The first answer to a sound request shows that the shared part is not to blame.
				c.crashes[0].RecordSurvived(c.request("shared", "s1"))
				c.waitUntil(func() bool { return !c.rejects(sc.hosts-1, c.request("shared", "s1")) })
				c.waitUntilTold()
			}
			for h := range c.crashes {
				So(c.rejects(h, c.request("shared", "s1")), ShouldBeFalse)
				So(c.stopped[h] || c.rejects(h, c.request("shared", "bad")), ShouldBeTrue)
			}
			Convey("one trial is admitted over all hosts once it is due, and its success lifts the block everywhere", func() {
				c.advance(11 * time.Second)
				var admitted []int
				for h := range c.crashes {
					if c.stopped[h] {
						continue
					}
					if a, ok := c.crashes[h].BeginAttempt(t.Context(), c.request("shared", "bad")).(flow.Admitted); ok {
						So(a.Trial, ShouldBeTrue)
						admitted = append(admitted, h)
					}
				}
				So(admitted, ShouldHaveLength, 1)
				c.crashes[admitted[0]].RecordSurvived(c.request("shared", "bad"))
				for h := range c.crashes {
					c.waitUntil(func() bool {
						return c.stopped[h] || c.crashes[h].Check(c.request("shared", "bad")) == flow.Admission(flow.Admitted{})
					})
				}
			})
		})
	}
}

// TestBlockIsToldIfMessageOfAnotherHostComesFirst guards against hosts that are never told of a block, because each host that collects crashes found it while it handled a message of another one, between a report and the assessment of it.
func TestBlockIsToldIfMessageOfAnotherHostComesFirst(t *testing.T) {
	Convey("Given hosts that all know two crashes of a part, and collecting hosts that know the third", t, func() {
		c := newCrashCluster(t, 9)
		for range 2 {
			c.crash(map[int][]blame.Request{0: {c.request("bad")}})
		}
		c.waitUntilTold()
		third := blame.Crash{
			Upstream: "third/1",
			At:       time.Now(),
			Requests: []blame.Request{c.request("bad")},
		}
		counters := c.counters()
		for _, k := range counters {
			c.crashes[k].ledger.Merge(time.Now(), blame.NewUpdate(time.Now(), []blame.Crash{third}, nil))
		}
		Convey("all hosts are told, though a message about another block comes before the assessment", func() {
			for _, k := range counters {
				So(c.peers[0].post(t.Context(), c.peers[k].roster.self, pathBlocked, blame.Update{}, nil), ShouldBeNil)
			}
			for _, k := range counters {
				c.crashes[k].assess()
			}
			c.waitUntilBlocked(c.request("bad"))
		})
	})
}

// TestHostThatMissedTheBlockLearnsItFromItsOwnCrash guards against a host that goes on sending requests with a blocked part because the message about the block did not reach it.
func TestHostThatMissedTheBlockLearnsItFromItsOwnCrash(t *testing.T) {
	Convey("A host that was cut off while a part was blocked rejects the part after one crash of its own", t, func() {
		c := newCrashCluster(t, 9)
		cut := 0
		for c.peers[cut].roster.selfInTop(countersKey, crashCounters) {
			cut++
		}
		for i, p := range c.peers {
			if i != cut {
				p.roster.MarkDown(c.peers[cut].roster.self, context.Canceled)
			}
		}
		other := (cut + 1) % 9
		for range 3 {
			c.crash(map[int][]blame.Request{other: {c.request("bad")}})
		}
		So(c.rejects(other, c.request("bad")), ShouldBeTrue)
		So(c.rejects(cut, c.request("bad")), ShouldBeFalse)
		c.crash(map[int][]blame.Request{cut: {c.request("bad")}})
		So(c.rejects(cut, c.request("bad")), ShouldBeTrue)
	})
}

// TestPopularPartIsNotBlockedWhenFailureDomainEnds guards against a part that many requests share being blocked when many upstreams end at once for another reason.
func TestPopularPartIsNotBlockedWhenFailureDomainEnds(t *testing.T) {
	Convey("Given hosts that have answered requests with a popular part, and new ones with rare parts", t, func() {
		c := newCrashCluster(t, 9)
		for round := range 3 {
			for h := range c.crashes {
				c.crashes[h].RecordSurvived(c.request("popular", fmt.Sprintf("s%d", h)))
			}
			var wg sync.WaitGroup
			for u := range 6 {
				byHost := map[int][]blame.Request{}
				for h := range c.crashes {
					byHost[h] = append(byHost[h], c.request("popular", fmt.Sprintf("r%d-%d-%d", round, u, h)))
				}
				wg.Go(func() { c.crash(byHost) })
			}
			wg.Wait()
		}
		Convey("six upstreams that end at once, three times over, block neither", func() {
			time.Sleep(100 * time.Millisecond)
			for h := range c.crashes {
				So(c.crashes[h].ledger.Blocked(), ShouldBeEmpty)
			}
		})
	})
}
