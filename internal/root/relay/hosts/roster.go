package hosts

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

// ErrHost is returned for a host without a name or an address.
var ErrHost = errors.New("host needs a name and an address")

// Host is an entry host, as it announces itself to the other hosts.
type Host struct {
	Name string `json:"name"`
	// Addr is the address on which the host listens to its peers.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// Power is the number of cores that the host has, for example 0.2; 0 means that the host does not announce it. Each host owns queues in proportion to its power.
	Power float64 `json:"power,omitempty"`
}

// defaultPower is the power of a host that announces none, in cores.
const defaultPower = 1

// UnmarshalJSON decodes a host and checks that it has a name and an address.
func (h *Host) UnmarshalJSON(b []byte) error {
	type plain Host
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode host: %w", err)
	}
	if p.Name == "" || p.Addr == "" {
		return fmt.Errorf("check host: %w", ErrHost)
	}
	*h = Host(p)
	return nil
}

const (
	// probeInterval is the time between two probes of a host that is down.
	probeInterval = 300 * time.Millisecond
	// restoreRetention is how long a host that has no row in a restored table stays known, so that it has time to write its row again.
	restoreRetention = 10 * time.Second
	// probesToRecover is how many successive probes a host must answer before it is used again.
	probesToRecover = 2
)

// hostState is the known state of one host.
type hostState struct {
	host     Host
	nameHash uint64
	// down is closed when the host goes down, and nil while it is down.
	down       chan struct{}
	nextProbe  time.Time
	goodProbes int
	// writesNothing reports that the host did not take what it has to write to the store for others.
	writesNothing bool
	// forgetAt is when the host is forgotten unless it writes its row again, or zero if it has a row.
	forgetAt time.Time
}

// Roster is this host's view of the entry hosts, including itself.
type Roster struct {
	common.Deps
	self Host

	mu     sync.Mutex
	states map[string]*hostState
	// loaded is set once the table of hosts has been read, and leaving once this host is about to stop.
	loaded  bool
	leaving bool
	// goneAt is when another host was last removed or replaced, or zero.
	goneAt time.Time
	// onChange is called after each change, and onJoin for each other host that has started or is up again; both are called without the lock.
	onChange func()
	onJoin   func(Host)
}

// NewRoster returns a roster that contains only this host.
func NewRoster(deps common.Deps, self Host) *Roster {
	r := &Roster{
		Deps:     deps.WithPart("hosts"),
		self:     self,
		states:   map[string]*hostState{},
		onChange: func() {},
		onJoin:   func(Host) {},
	}
	r.add(self)
	return r
}

// OnChange sets the function that is called after each change. It must be called before the roster is used.
func (r *Roster) OnChange(f func()) {
	r.onChange = f
}

// OnJoin sets the function that is called for each other host that has started or is up again. It must be called before the roster is used.
func (r *Roster) OnJoin(f func(Host)) {
	r.onJoin = f
}

// Leave marks this host as about to stop. From then on it owns queues only if no other host is up.
func (r *Roster) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.onChange()
}

// Leaving reports whether this host is about to stop.
func (r *Roster) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// RemoveLeaving removes a host that reports that it is about to stop, until it announces itself again.
func (r *Roster) RemoveLeaving(h Host) {
	r.mu.Lock()
	if s, ok := r.states[h.Name]; ok && s.host == h && h.Name != r.self.Name {
		r.remove(h.Name)
		r.Log.WithField("host", h.Name).Info("Host announced that it is leaving.")
	}
	r.mu.Unlock()
	r.onChange()
}

// Loaded reports whether the table of hosts has been read.
func (r *Roster) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// DownSignal returns a channel that is closed when the host goes down, or nil if the host is unknown or down already.
func (r *Roster) DownSignal(h Host) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.states[h.Name]; ok && s.host == h {
		return s.down
	}
	return nil
}

// add adds or updates a host that announces itself. A host that was down counts as up again. The caller holds the lock.
func (r *Roster) add(h Host) {
	if old, ok := r.states[h.Name]; ok && old.host == h && old.down != nil {
		old.forgetAt = time.Time{}
		return
	}
	if h.Name != r.self.Name {
		go r.onJoin(h)
	}
	if old, ok := r.states[h.Name]; ok && old.host != h {
		r.remove(h.Name)
	}
	r.states[h.Name] = &hostState{
		host:     h,
		nameHash: xxhash.Sum64String(h.Name),
		down:     make(chan struct{}),
	}
}

// remove removes a host, even one that came and went unseen. The caller holds the lock.
func (r *Roster) remove(name string) {
	delete(r.states, name)
	r.goneAt = r.Now()
}

// goneSince reports whether another host was removed or replaced at the time or later, so that what it knew can't be asked for.
func (r *Roster) goneSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.goneAt.IsZero() && !r.goneAt.Before(t)
}

// Reset replaces the known hosts with the hosts in rows, the complete table of hosts. This host stays known in any case.
func (r *Roster) Reset(rows []follow.Row) {
	defer r.onChange()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(rows)
	seen := map[string]bool{r.self.Name: true}
	for _, row := range rows {
		seen[row.Key] = true
	}
	if r.loaded {
		// Hosts may have come and gone since the table was last read.
		r.goneAt = r.Now()
	}
	r.loaded = true
	for name := range r.states {
		if !seen[name] {
			r.remove(name)
		}
	}
}

// Restore adds the hosts in rows, the complete table of a restored store. Other hosts stay known for a while, as they will write their rows again.
func (r *Roster) Restore(rows []follow.Row) {
	defer r.onChange()
	r.mu.Lock()
	defer r.mu.Unlock()
	forgetAt := r.Now().Add(restoreRetention)
	for name, s := range r.states {
		if name != r.self.Name {
			s.forgetAt = forgetAt
		}
	}
	r.apply(rows)
	r.loaded = true
}

// forgetUnwritten removes the hosts that have not written their rows again after a restore.
func (r *Roster) forgetUnwritten() {
	r.mu.Lock()
	removed := 0
	now := r.Now()
	for name, s := range r.states {
		if s.forgetAt.IsZero() || now.Before(s.forgetAt) {
			continue
		}
		r.remove(name)
		removed++
		r.Log.WithField("host", name).Info("Host has not written its row again since the store was restored. It is removed.")
	}
	r.mu.Unlock()
	if removed > 0 {
		r.onChange()
	}
}

// Apply adds, updates and removes hosts according to changed rows of the table of hosts.
func (r *Roster) Apply(rows []follow.Row) {
	defer r.onChange()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(rows)
}

func (r *Roster) apply(rows []follow.Row) {
	for _, row := range rows {
		if row.Key == r.self.Name {
			continue
		}
		if row.Deleted {
			r.remove(row.Key)
			r.Log.WithField("host", row.Key).Info("Host was removed from the table of hosts.")
			continue
		}
		var h Host
		if err := json.Unmarshal(row.Value, &h); err != nil {
			r.Log.WithError(err).WithField("host", row.Key).Warn("Row does not contain a valid host. It is ignored.")
			continue
		}
		r.add(h)
		r.Log.WithField("host", h.Name).WithField("domain", h.Domain).Info("Host was added or updated.")
	}
}

// Count returns how many hosts are known, whether up or down, or 0 until the table of hosts has been read.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return 0
	}
	return len(r.states)
}

// Owner returns the host that owns the queue, and a channel that is closed when that host goes down. The owner is in the failure domain of the queue if any host there is up. If no host qualifies, the owner is this host and the channel is nil.
func (r *Roster) Owner(queue string) (Host, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := r.first(queue, batch.DomainOf(queue), anyHost)
	if best == nil {
		return r.self, nil
	}
	return best.host, best.down
}

// IsWriter reports whether this host makes the writes for all hosts that the key names. It does not until the table of hosts has been read.
func (r *Roster) IsWriter(key string) bool {
	return r.Loaded() && r.writer(key, "").Name == r.self.Name
}

// writer returns the host that makes the writes for all hosts that the key names, or those for the hosts of a failure domain unless that is "". It is the first one in the ranking that is up, takes them and is not about to stop, in the domain if any host there is up. If there is none, it is this host.
func (r *Roster) writer(key, domain string) Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := r.first(key, domain, func(s *hostState) bool { return !s.writesNothing })
	if best == nil {
		return r.self
	}
	return best.host
}

// setWriting records whether another host takes what it has to write for others.
func (r *Roster) setWriting(h Host, writes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.states[h.Name]
	if !ok || s.host != h || h.Name == r.self.Name || s.writesNothing == !writes {
		return
	}
	s.writesNothing = !writes
	r.Log.WithField("host", h.Name).WithField("writes", writes).Info("Whether a host writes to the store for others has changed.")
}

// writerBefore returns the host that is ranked just before this one for the writes that the key names, among those that are up and take them, in the failure domain unless that is "". It returns false if there is none, or if this host is about to stop.
func (r *Roster) writerBefore(key, domain string) (Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.states[r.self.Name]
	var last *hostState
	for _, s := range r.states {
		if s.down == nil || s.writesNothing || (domain != "" && s.host.Domain != domain) || compareForKey(key, s, self) >= 0 {
			continue
		}
		if last == nil || compareForKey(key, last, s) < 0 {
			last = s
		}
	}
	if last == nil || r.leaving {
		return Host{}, false
	}
	return last.host, true
}

// notWriting returns the hosts that are up and did not take what they have to write for others.
func (r *Roster) notWriting() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Host
	for _, s := range r.states {
		if s.writesNothing && s.down != nil {
			out = append(out, s.host)
		}
	}
	return out
}

// anyHost accepts every host.
func anyHost(*hostState) bool { return true }

// first returns the first host in the ranking for the key that is accepted, or nil if there is none. A host of the failure domain goes before all others, unless domain is "". The caller holds the lock.
func (r *Roster) first(key, domain string, accepts func(*hostState) bool) *hostState {
	outside := func(s *hostState) bool { return domain != "" && s.host.Domain != domain }
	var best *hostState
	for _, s := range r.states {
		if s.down == nil || (r.leaving && s.host.Name == r.self.Name) || !accepts(s) {
			continue
		}
		switch {
		case best == nil, outside(best) && !outside(s):
			best = s
		case outside(best) == outside(s) && compareForKey(key, s, best) < 0:
			best = s
		}
	}
	return best
}

// anyDown reports whether a known host is down.
func (r *Roster) anyDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.states {
		if s.down == nil {
			return true
		}
	}
	return false
}

// LiveOthers returns the other hosts that are up.
func (r *Roster) LiveOthers() []Host {
	return r.withoutSelf(r.rankedLive("", math.MaxInt))
}

// RankedOthers returns the first n hosts in the ranking for the key, without this host if it is among them. The ranking is the same on every host that knows the same hosts.
func (r *Roster) RankedOthers(key string, n int) []Host {
	return r.withoutSelf(r.rankedLive(key, n))
}

// selfInTop reports whether this host is among the first n hosts in the ranking for the key.
func (r *Roster) selfInTop(key string, n int) bool {
	return slices.ContainsFunc(r.rankedLive(key, n), func(h Host) bool { return h.Name == r.self.Name })
}

// rankedLive ranks the hosts that are up for the key, and returns the first n.
func (r *Roster) rankedLive(key string, n int) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []*hostState
	for _, s := range r.states {
		if s.down != nil {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b *hostState) int { return compareForKey(key, a, b) })
	var out []Host
	for _, s := range live[:min(n, len(live))] {
		out = append(out, s.host)
	}
	return out
}

func (r *Roster) withoutSelf(list []Host) []Host {
	return slices.DeleteFunc(list, func(h Host) bool { return h.Name == r.self.Name })
}

// compareForKey orders hosts for a key, such as the name of a queue, the same way on every host. The share of keys for which a host comes first is proportional to its power.
func compareForKey(key string, a, b *hostState) int {
	p := xxhash.Sum64String(key)
	return cmp.Or(cmp.Compare(b.score(p), a.score(p)), cmp.Compare(b.host.Name, a.host.Name))
}

// score returns the host's weight in rendezvous hashing for the hash of a key.
func (s *hostState) score(key uint64) float64 {
	const steps = 1 << 53
	power := s.host.Power
	if power <= 0 {
		power = defaultPower
	}
	draw := (float64(common.MixBits(s.nameHash^key)>>11) + 1) / (steps + 1)
	return power / -math.Log(draw)
}

// MarkDown takes a host out of use until it answers probes again.
func (r *Roster) MarkDown(h Host, cause error) {
	defer r.onChange()
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.states[h.Name]
	if !ok || s.host != h || s.down == nil || h.Name == r.self.Name {
		return
	}
	close(s.down)
	s.down = nil
	s.goodProbes = 0
	s.nextProbe = r.Now().Add(probeInterval)
	r.Log.WithError(cause).WithField("host", h.Name).Warn("Host is down.")
}

// RecordProbe records the result of a probe of a host that is down.
func (r *Roster) RecordProbe(h Host, ok bool) {
	defer r.onChange()
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.states[h.Name]
	if !known || s.host != h || s.down != nil {
		return
	}
	s.nextProbe = r.Now().Add(probeInterval)
	if !ok {
		s.goodProbes = 0
		return
	}
	s.goodProbes++
	if s.goodProbes < probesToRecover {
		return
	}
	s.down = make(chan struct{})
	go r.onJoin(h)
	r.Log.WithField("host", h.Name).Info("Host is up again.")
}

// DueProbes returns the hosts that are to be probed now, sorted by name.
func (r *Roster) DueProbes() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	var out []Host
	for _, s := range r.states {
		if s.down == nil && !now.Before(s.nextProbe) {
			out = append(out, s.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
