package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	fleetDomains = 7
	// maxBytesPerSecond is the required limit for the control traffic of one host, sent and received together.
	maxBytesPerSecond = 21_000
	// maxRounds is the required limit for the propagation of a change to all hosts, in rounds of one second.
	maxRounds = 13
)

// node is one entry host of the simulated fleet.
type node struct {
	state     *State
	gossip    *Gossip
	sentBytes int
}

// fleet simulates entry hosts that exchange messages in memory in rounds of one second.
type fleet struct {
	now       time.Time
	nodes     map[string]*node
	ordered   []*node
	upstreams int
	rng       *rand.Rand
}

func newFleet(hosts, upstreams int) *fleet {
	f := &fleet{
		now:       time.Unix(1_700_000_000, 0),
		nodes:     map[string]*node{},
		upstreams: upstreams,
		rng:       rand.New(rand.NewPCG(1, 1)),
	}
	list := plat.HostList{Version: 1}
	for i := range hosts {
		list.Hosts = append(list.Hosts, plat.Host{
			Name:   fmt.Sprintf("entry-%03d", i),
			Addr:   fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
			Domain: fmt.Sprintf("domain-%d", i%fleetDomains),
			Role:   plat.RoleEntry,
		})
	}
	for i := range upstreams {
		list.Hosts = append(list.Hosts, plat.Host{
			Name:   fmt.Sprintf("engine-%03d", i),
			Addr:   fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			Domain: fmt.Sprintf("domain-%d", i%fleetDomains),
			Role:   plat.RoleUpstream,
			Pool:   "engines",
		})
	}
	for _, h := range list.Hosts[:hosts] {
		f.add(h, list)
	}
	return f
}

func (f *fleet) add(h plat.Host, list plat.HostList) {
	deps := common.NewQuietDeps(h.Name, h.Domain)
	deps.Now = func() time.Time { return f.now }
	registry := view.NewRegistry(view.Peer{
		Name:   h.Name,
		Addr:   h.Addr,
		Domain: h.Domain,
	})
	registry.UpdateList(list)
	n := &node{
		state: &State{
			Deps:     deps,
			Registry: registry,
			Active:   watch.NewActive(),
			Loads:    loads.NewCache(),
			Marks:    crash.NewTracker(),
			OnLoad:   func(loads.Report) {},
		},
	}
	n.gossip = NewGossip(deps, registry, nil, nil, time.Second, f.rng)
	f.nodes[h.Addr] = n
	f.ordered = append(f.ordered, n)
}

// roundTrip encodes and decodes a message as Mesh does, and adds its size to sentBytes.
func (n *node) roundTrip(m Message) Message {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	n.sentBytes += len(data)
	var out Message
	if err := cbor.Unmarshal(data, &out); err != nil {
		panic(err)
	}
	return out
}

// exchange performs the message sequence of Mesh.Exchange from a to b.
func (f *fleet) exchange(a, b *node) {
	remote := a.roundTrip(a.state.Digest())
	must(b.state.Apply(remote))
	reply, _, err := b.state.AttachDocuments(b.state.Digest(), remote)
	must(err)
	local := b.roundTrip(reply)
	must(a.state.Apply(local))
	more, needed, err := a.state.AttachDocuments(Message{From: a.state.Registry.Self()}, local)
	must(err)
	if needed {
		must(b.state.Apply(a.roundTrip(more)))
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// round advances the clock by one second, gives every host new loads of its upstreams and runs its gossip round.
func (f *fleet) round() {
	f.now = f.now.Add(time.Second)
	for i, n := range f.ordered {
		for u := i; u < f.upstreams; u += len(f.ordered) {
			n.state.Loads.Put(loads.Report{
				Upstream: fmt.Sprintf("engine-%03d", u),
				Busy:     f.rng.IntN(64),
				Slots:    64,
				At:       f.now.UnixMilli(),
			})
		}
	}
	for _, n := range f.ordered {
		n.gossip.round++
		for _, addr := range n.gossip.selectPeers() {
			f.exchange(n, f.nodes[addr])
		}
	}
}

func (f *fleet) sentBytes() int {
	sum := 0
	for _, n := range f.ordered {
		sum += n.sentBytes
	}
	return sum
}

func TestGossipStaysWithinTrafficAndPropagationLimits(t *testing.T) {
	for _, hosts := range []int{9, 36, 90, 360} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newFleet(hosts, min(710, 8*hosts))
			for range 16 {
				f.round()
			}
			before := f.sentBytes()
			for range 4 {
				f.round()
			}
			rate := float64(f.sentBytes()-before) / 4 / float64(hosts)
			minLive := hosts
			for _, n := range f.ordered {
				minLive = min(minLive, n.state.Registry.LiveCount(f.now))
			}
			rounds := f.roundsToConverge(t)
			t.Logf("%d hosts: %.0f bytes per second sent by each, at least %d seen as live, a change reaches all hosts by gossip alone in %d rounds of one second",
				hosts, rate, minLive, rounds)
			if 2*rate > maxBytesPerSecond {
				t.Errorf("a host sends and receives %.0f bytes per second", 2*rate)
			}
			if rounds > maxRounds {
				t.Errorf("a change takes %d seconds to reach all hosts", rounds)
			}
			if float64(minLive) < 0.95*float64(hosts) {
				t.Errorf("a host sees only %d of %d as live", minLive, hosts)
			}
		})
	}
}

// roundsToConverge gives one host a new revision and returns the number of rounds until gossip alone has propagated it to all hosts.
func (f *fleet) roundsToConverge(t *testing.T) int {
	t.Helper()
	f.ordered[0].state.Active.PutIfNewer(revision())
	for rounds := 1; rounds < 60; rounds++ {
		f.round()
		all := true
		for _, n := range f.ordered {
			all = all && n.state.Active.Number() == 1
		}
		if all {
			return rounds
		}
	}
	t.Fatal("the change did not reach all hosts within 60 rounds")
	return 0
}

func revision() config.Revision {
	return config.Revision{
		Number:   1,
		ChangeID: "c",
		Document: config.Document{
			Pipelines: []config.Pipeline{
				{
					Name:       "p",
					Deadline:   config.Span(time.Second),
					Idempotent: true,
					Stages: []config.Stage{
						{Name: "s", Pool: "engines", Idempotent: true, Expected: config.Span(time.Millisecond)},
					},
				},
			},
			Pools: []config.Pool{
				{Name: "engines", Kind: config.KindEngine, Slots: 64, Silence: config.Span(time.Second)},
			},
			Accounts: []config.Account{
				{Name: "a", KeySHA256: config.HashToken("a"), Weight: 1, RatePerSecond: 1},
			},
			Objective: config.Objective{Attainment: 0.995},
		},
	}
}

// BenchmarkExchange measures the CPU time of one exchange on both sides together, for docs/CAPACITY.md.
func BenchmarkExchange(b *testing.B) {
	for _, hosts := range []int{9, 36, 90, 360} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := newFleet(hosts, min(710, 8*hosts))
			for range 20 {
				f.round()
			}
			x, y := f.ordered[0], f.ordered[1]
			before := x.sentBytes + y.sentBytes
			b.ReportAllocs()
			for b.Loop() {
				f.exchange(x, y)
			}
			b.ReportMetric(float64(x.sentBytes+y.sentBytes-before)/float64(b.N), "bytes/op")
		})
	}
}
