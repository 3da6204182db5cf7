package view

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// liveTimeout is how long a host counts as live after its last heartbeat.
	liveTimeout = 15 * time.Second
	// peerRetention is how long a peer stays registered after its last heartbeat.
	peerRetention = 5 * time.Minute
	// leaveNoticeTTL is how long a leave notice stays valid unless it is renewed.
	leaveNoticeTTL = 60 * time.Second
	// liveCountTTL is how long the number of live hosts is cached.
	liveCountTTL = 200 * time.Millisecond
)

// Registry holds the known peers and upstreams. It is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	self  Peer
	peers map[uint64]peerRecord
	list  plat.HostList
	// listedHosts and upstreamNames index the entry hosts and the upstreams of the host list by HashName.
	listedHosts   map[uint64]plat.Host
	upstreamNames map[uint64]string
	leaveNotices  map[string]LeaveNotice
	liveCount     int
	liveCountAt   time.Time
}

// NewRegistry returns a registry that contains only this host.
func NewRegistry(self Peer) *Registry {
	return &Registry{
		self:         self,
		peers:        map[uint64]peerRecord{},
		leaveNotices: map[string]LeaveNotice{},
	}
}

// Heartbeat returns a new heartbeat of this host with a later timestamp than the one before.
func (r *Registry) Heartbeat(now time.Time, revision int64) Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Peers drop heartbeats with an older timestamp, so it must increase even if the clock was set back.
	r.self.Heartbeat = max(r.self.Heartbeat+1, now.UnixMilli())
	r.self.Revision = revision
	return r.self
}

// Self returns the latest heartbeat of this host.
func (r *Registry) Self() Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetAddr sets the address at which peers reach this host. It is known once the listener is bound.
func (r *Registry) SetAddr(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Addr = addr
}

// SetLeaving marks this host as leaving in all later heartbeats.
func (r *Registry) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Leaving = true
}

// Receive stores a heartbeat received at now and reports whether it was newer than the stored one.
// Incomplete heartbeats and those of this host are ignored.
func (r *Registry) Receive(now time.Time, p Peer) bool {
	if p.Check() != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.receive(now, p)
}

func (r *Registry) receive(now time.Time, p Peer) bool {
	if p.Name == r.self.Name {
		return false
	}
	hash := HashName(p.Name)
	old, ok := r.peers[hash]
	if ok && !p.newer(old.peer) {
		return false
	}
	introduced := old.introduced
	if !ok || p.Addr != old.peer.Addr {
		introduced = now
	}
	r.peers[hash] = peerRecord{
		peer:       p,
		receivedAt: now,
		introduced: introduced,
	}
	return true
}

// ReceiveCompact stores a heartbeat without an identity and reports whether it was newer than the stored one.
// A heartbeat of an unknown host is ignored.
func (r *Registry) ReceiveCompact(now time.Time, x Heartbeat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[x.Host].peer
	if p.Name == "" {
		p = r.listedPeer(x.Host)
	}
	if p.Name == "" {
		return false
	}
	p.Heartbeat = x.Heartbeat
	p.Revision = x.Revision
	p.Leaving = x.Leaving
	return r.receive(now, p)
}

// listedPeer returns the identity of an entry host from the host list, or a zero Peer if it is not listed.
func (r *Registry) listedPeer(hash uint64) Peer {
	h, ok := r.listedHosts[hash]
	if !ok {
		return Peer{}
	}
	return Peer{
		Name:   h.Name,
		Addr:   h.Addr,
		Domain: h.Domain,
	}
}

// UpdateList replaces the host list if the given one has a higher version, and reports whether it did.
func (r *Registry) UpdateList(list plat.HostList) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list.Version <= r.list.Version {
		return false
	}
	r.list = list
	r.listedHosts = map[uint64]plat.Host{}
	r.upstreamNames = map[uint64]string{}
	for _, h := range list.Hosts {
		if h.Role == plat.RoleEntry {
			r.listedHosts[HashName(h.Name)] = h
			continue
		}
		r.upstreamNames[HashName(h.Name)] = h.Name
	}
	return true
}

// List returns the newest known host list.
func (r *Registry) List() plat.HostList {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// LeaveNotice states whether an upstream is leaving. The newest notice for an upstream replaces the earlier ones.
type LeaveNotice struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	// At is when the notice was issued, in milliseconds since 1970.
	At        int64 `json:"at" cbor:"2,keyasint"`
	IsLeaving bool  `json:"on" cbor:"3,keyasint"`
}

// active reports whether the upstream is leaving at now by an unexpired notice.
func (l LeaveNotice) active(now time.Time) bool {
	return l.IsLeaving && now.Sub(time.UnixMilli(l.At)) < leaveNoticeTTL
}

// ApplyLeaveNotice stores a notice if it is newer than the stored one for the same upstream.
// It reports whether the upstream's leaving state at now has changed.
func (r *Registry) ApplyLeaveNotice(now time.Time, l LeaveNotice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.leaveNotices[l.Upstream]
	if known && old.At >= l.At {
		return false
	}
	if !known && !l.IsLeaving {
		return false
	}
	r.leaveNotices[l.Upstream] = l
	return old.active(now) != l.active(now)
}

// LeaveNotices returns the unexpired notices in the order of the upstreams' names, and removes expired ones.
func (r *Registry) LeaveNotices(now time.Time) []LeaveNotice {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []LeaveNotice
	for name, l := range r.leaveNotices {
		if now.Sub(time.UnixMilli(l.At)) >= leaveNoticeTTL {
			delete(r.leaveNotices, name)
			continue
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y LeaveNotice) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return out
}

// Upstreams returns the upstreams of the host list. An upstream is leaving if the list or an active notice says so.
func (r *Registry) Upstreams(now time.Time) []route.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []route.Upstream
	for _, h := range r.list.Hosts {
		if h.Role != plat.RoleUpstream {
			continue
		}
		out = append(out, route.Upstream{
			Name:    h.Name,
			Addr:    h.Addr,
			Domain:  h.Domain,
			Pool:    h.Pool,
			Leaving: h.Leaving || r.leaveNotices[h.Name].active(now),
		})
	}
	return out
}

// UpstreamName returns the name of the listed upstream with the hash, and whether there is one.
func (r *Registry) UpstreamName(hash uint64) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, ok := r.upstreamNames[hash]
	return name, ok
}

// Live returns the hosts with a recent heartbeat, this host included, in the order of their names.
func (r *Registry) Live(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Peer{r.self}
	for _, h := range r.peers {
		if now.Sub(h.receivedAt) < liveTimeout {
			out = append(out, h.peer)
		}
	}
	sortPeers(out)
	return out
}

// Lost returns the registered hosts without a recent heartbeat, sorted by name. It first removes hosts past their retention.
func (r *Registry) Lost(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Peer
	r.removeExpired(now)
	for _, h := range r.peers {
		if now.Sub(h.receivedAt) >= liveTimeout {
			out = append(out, h.peer)
		}
	}
	sortPeers(out)
	return out
}

// removeExpired removes the peers past their retention. The host list may still contain them. The caller holds mu.
func (r *Registry) removeExpired(now time.Time) {
	for hash, h := range r.peers {
		if now.Sub(h.receivedAt) >= peerRetention {
			delete(r.peers, hash)
		}
	}
}

// GossipPayload returns a random selection of at most limit heartbeats of live peers. It also returns at most limit identities
// of live peers whose current address was first received within the given time and differs from the host list or is missing there.
func (r *Registry) GossipPayload(now time.Time, limit int, within time.Duration) (heartbeats []Heartbeat, introduced []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for hash, h := range r.peers {
		if now.Sub(h.receivedAt) >= liveTimeout {
			continue
		}
		heartbeats = append(heartbeats, h.peer.Compact())
		// A host that is listed with the same address needs no identity: the receiver finds it in the host list by its hash.
		if now.Sub(h.introduced) < within && len(introduced) < limit && r.listedHosts[hash].Addr != h.peer.Addr {
			introduced = append(introduced, h.peer)
		}
	}
	if len(heartbeats) > limit {
		// Sorting by a salted hash selects uniformly without a random number generator.
		salt := uint64(r.self.Heartbeat)
		slices.SortFunc(heartbeats, func(x, y Heartbeat) int { return cmp.Compare(common.MixBits(x.Host^salt), common.MixBits(y.Host^salt)) })
		heartbeats = heartbeats[:limit]
	}
	sortPeers(introduced)
	return heartbeats, introduced
}

// LiveCount returns the number of live hosts that are not leaving, this host included.
// The number is cached, as every request reads it.
func (r *Registry) LiveCount(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.liveCountAt.IsZero() && now.Sub(r.liveCountAt).Abs() < liveCountTTL {
		return r.liveCount
	}
	n := 1
	for _, h := range r.peers {
		if now.Sub(h.receivedAt) < liveTimeout && !h.peer.Leaving {
			n++
		}
	}
	r.liveCount = n
	r.liveCountAt = now
	return n
}

// Members returns the number of hosts that share a limit: the listed or the live hosts, whichever are more.
// A host that is partitioned from its peers still counts the listed hosts, so that the shares of all hosts together stay within the limit.
func (r *Registry) Members(now time.Time) int {
	live := r.LiveCount(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(live, len(r.listedHosts))
}

// PeerAddrs returns the sorted addresses of the other entry hosts that are listed or registered.
// The addresses in this host's failure domain are local, and all others are remote.
func (r *Registry) PeerAddrs(now time.Time) (local, remote []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(now)
	seen := map[string]bool{r.self.Addr: true}
	add := func(addr, domain string) {
		if seen[addr] {
			return
		}
		seen[addr] = true
		if domain == r.self.Domain {
			local = append(local, addr)
			return
		}
		remote = append(remote, addr)
	}
	for _, h := range r.peers {
		add(h.peer.Addr, h.peer.Domain)
	}
	for _, h := range r.list.Hosts {
		if h.Role == plat.RoleEntry {
			add(h.Addr, h.Domain)
		}
	}
	slices.Sort(local)
	slices.Sort(remote)
	return local, remote
}

func sortPeers(ps []Peer) {
	slices.SortFunc(ps, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
}
