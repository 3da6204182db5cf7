package view

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

const (
	// liveFor is how long a host counts as live after its last heartbeat.
	liveFor = 15 * time.Second
	// forgetAfter is how long a silent host is remembered.
	forgetAfter = 5 * time.Minute
	// leavingFor is how long a word that an upstream is leaving counts without being repeated.
	leavingFor = 60 * time.Second
	// countEvery is how long a count of the live hosts is used.
	countEvery = 200 * time.Millisecond
)

// Registry is what this host knows of the others and of the upstreams.
type Registry struct {
	mu    sync.Mutex
	self  Peer
	peers map[uint64]heard
	list  plat.HostList
	// entries and upstreams are what the list names, by the hashes of the names.
	entries   map[uint64]plat.Host
	upstreams map[uint64]string
	leaving   map[string]Leave
	count     int
	countAt   time.Time
}

// NewRegistry returns a registry that knows only the host itself.
func NewRegistry(self Peer) *Registry {
	return &Registry{
		self:    self,
		peers:   map[uint64]heard{},
		leaving: map[string]Leave{},
	}
}

// Beat counts the host's own heartbeat and returns it.
func (b *Registry) Beat(now time.Time, revision int64) Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A clock that was set back does not make the host fall silent.
	b.self.Beat = max(b.self.Beat+1, now.UnixMilli())
	b.self.Revision = revision
	return b.self
}

// Self returns the host's last heartbeat.
func (b *Registry) Self() Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.self
}

// SetAddr sets the address at which peers reach this host, once it is known.
func (b *Registry) SetAddr(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self.Addr = addr
}

// SetLeaving marks this host as leaving.
func (b *Registry) SetLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self.Leaving = true
}

// Hear takes a heartbeat that came at now, and reports whether it was news.
func (b *Registry) Hear(now time.Time, p Peer) bool {
	if p.Check() != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hear(now, p)
}

func (b *Registry) hear(now time.Time, p Peer) bool {
	if p.Name == b.self.Name {
		return false
	}
	hash := HashName(p.Name)
	old, ok := b.peers[hash]
	if ok && !p.newer(old.peer) {
		return false
	}
	met := old.met
	if !ok || p.Addr != old.peer.Addr {
		met = now
	}
	b.peers[hash] = heard{
		peer: p,
		at:   now,
		met:  met,
	}
	return true
}

// HearBrief takes a heartbeat without an identity, if the host is known.
func (b *Registry) HearBrief(now time.Time, x Beat) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[x.Host].peer
	if p.Name == "" {
		p = b.listed(x.Host)
	}
	if p.Name == "" {
		return false
	}
	p.Beat = x.Beat
	p.Revision = x.Revision
	p.Leaving = x.Leaving
	return b.hear(now, p)
}

// listed returns the identity of an entry host that the platform lists.
func (b *Registry) listed(hash uint64) Peer {
	h, ok := b.entries[hash]
	if !ok {
		return Peer{}
	}
	return Peer{
		Name:   h.Name,
		Addr:   h.Addr,
		Domain: h.Domain,
	}
}

// TakeList takes a version of the platform's list if it is newer, and reports whether it was.
func (b *Registry) TakeList(list plat.HostList) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if list.Version <= b.list.Version {
		return false
	}
	b.list = list
	b.entries = map[uint64]plat.Host{}
	b.upstreams = map[uint64]string{}
	for _, h := range list.Hosts {
		if h.Role == plat.RoleEntry {
			b.entries[HashName(h.Name)] = h
			continue
		}
		b.upstreams[HashName(h.Name)] = h.Name
	}
	return true
}

// List returns the newest list known.
func (b *Registry) List() plat.HostList {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// Leave is the newest word on whether an upstream is leaving.
type Leave struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	// At is when the word was given, in milliseconds since 1970.
	At int64 `json:"at" cbor:"2,keyasint"`
	On bool  `json:"on" cbor:"3,keyasint"`
}

func (l Leave) holds(now time.Time) bool {
	return l.On && now.Sub(time.UnixMilli(l.At)) < leavingFor
}

// TakeLeave takes a word on an upstream if it is the newest, and reports whether it changed anything at now.
func (b *Registry) TakeLeave(now time.Time, l Leave) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.leaving[l.Upstream]
	if known && old.At >= l.At {
		return false
	}
	if !known && !l.On {
		return false
	}
	b.leaving[l.Upstream] = l
	return old.holds(now) != l.holds(now)
}

// Leaves returns the words on upstreams that still count, in order of their names.
func (b *Registry) Leaves(now time.Time) []Leave {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Leave
	for name, l := range b.leaving {
		if now.Sub(time.UnixMilli(l.At)) >= leavingFor {
			delete(b.leaving, name)
			continue
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y Leave) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return out
}

// Upstreams returns the listed upstreams; one is leaving if any source says so.
func (b *Registry) Upstreams(now time.Time) []route.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []route.Upstream
	for _, h := range b.list.Hosts {
		if h.Role != plat.RoleUpstream {
			continue
		}
		out = append(out, route.Upstream{
			Name:    h.Name,
			Addr:    h.Addr,
			Domain:  h.Domain,
			Pool:    h.Pool,
			Leaving: h.Leaving || b.leaving[h.Name].holds(now),
		})
	}
	return out
}

// UpstreamName returns the name of a listed upstream by its hash.
func (b *Registry) UpstreamName(hash uint64) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	name, ok := b.upstreams[hash]
	return name, ok
}

// Live returns the hosts with a recent heartbeat, this one included, in order of their names.
func (b *Registry) Live(now time.Time) []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []Peer{b.self}
	for _, h := range b.peers {
		if now.Sub(h.at) < liveFor {
			out = append(out, h.peer)
		}
	}
	sortPeers(out)
	return out
}

// Lost returns the hosts that are remembered but silent, and forgets those silent for long.
func (b *Registry) Lost(now time.Time) []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Peer
	b.forget(now)
	for _, h := range b.peers {
		if now.Sub(h.at) >= liveFor {
			out = append(out, h.peer)
		}
	}
	sortPeers(out)
	return out
}

// forget drops the hosts that have been silent for long; the list may still name them.
func (b *Registry) forget(now time.Time) {
	for hash, h := range b.peers {
		if now.Sub(h.at) >= forgetAfter {
			delete(b.peers, hash)
		}
	}
}

// News returns at most limit heartbeats of live hosts, others each time, and the identities of hosts that were met within the time and are not listed.
func (b *Registry) News(now time.Time, limit int, within time.Duration) (beats []Beat, met []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for hash, h := range b.peers {
		if now.Sub(h.at) >= liveFor {
			continue
		}
		beats = append(beats, h.peer.Brief())
		// Where the list names the same address, the hash is enough.
		if now.Sub(h.met) < within && len(met) < limit && b.entries[hash].Addr != h.peer.Addr {
			met = append(met, h.peer)
		}
	}
	if len(beats) > limit {
		// An order by a salted hash is a fair draw that needs no source of chance.
		salt := uint64(b.self.Beat)
		slices.SortFunc(beats, func(x, y Beat) int { return cmp.Compare(common.Mix(x.Host^salt), common.Mix(y.Host^salt)) })
		beats = beats[:limit]
	}
	sortPeers(met)
	return beats, met
}

// Count returns the number of live hosts that are not leaving; it is counted anew only now and then, as each request asks for it.
func (b *Registry) Count(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.countAt.IsZero() && now.Sub(b.countAt).Abs() < countEvery {
		return b.count
	}
	n := 1
	for _, h := range b.peers {
		if now.Sub(h.at) < liveFor && !h.peer.Leaving {
			n++
		}
	}
	b.count = n
	b.countAt = now
	return n
}

// Members returns the number of hosts that limits are shared among: those listed or live, whichever are more.
// A host that is cut off counts on those it cannot hear, so that the parts together stay within a limit.
func (b *Registry) Members(now time.Time) int {
	live := b.Count(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(live, len(b.entries))
}

// Targets returns the addresses of the other entry hosts that are listed or were heard not long before now, those of the own failure domain first.
func (b *Registry) Targets(now time.Time) (near, far []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	seen := map[string]bool{b.self.Addr: true}
	add := func(addr, domain string) {
		if seen[addr] {
			return
		}
		seen[addr] = true
		if domain == b.self.Domain {
			near = append(near, addr)
			return
		}
		far = append(far, addr)
	}
	for _, h := range b.peers {
		add(h.peer.Addr, h.peer.Domain)
	}
	for _, h := range b.list.Hosts {
		if h.Role == plat.RoleEntry {
			add(h.Addr, h.Domain)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}

func sortPeers(ps []Peer) {
	slices.SortFunc(ps, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
}
