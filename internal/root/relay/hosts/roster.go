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

// ErrHost reports a host without a name or an address.
var ErrHost = errors.New("host needs a name and an address")

// Host is an entry host as it tells the others of itself.
type Host struct {
	Name string `json:"name"`
	// Addr is where its peers reach it.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// Power is the part of a core that the host has, or 0 where it does not say; the more, the more queues it keeps.
	Power float64 `json:"power,omitempty"`
}

// usualPower is the power of a host that tells none, in cores.
const usualPower = 1

// UnmarshalJSON decodes a host and checks that it can be reached.
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
	// probeEvery is how often a host that does not answer is probed.
	probeEvery = 300 * time.Millisecond
	// backAfter is how many probes in a row a host has to answer before it is used again.
	backAfter = 2
)

// state is what this host knows of another.
type state struct {
	host Host
	hash uint64
	// down is closed when the host stops to answer, and nil while it is down.
	down    chan struct{}
	probeAt time.Time
	good    int
}

// Roster is this host's view of the entry hosts, itself among them.
type Roster struct {
	common.Deps
	self Host

	mu     sync.Mutex
	states map[string]*state
	// loaded says that the table of hosts was read, and leaving that this host is about to stop.
	loaded  bool
	leaving bool
	// changed is called after each change, and joined for each host that has started or is back, without the lock.
	changed func()
	joined  func(Host)
}

// NewRoster returns a roster that knows only the host itself.
func NewRoster(deps common.Deps, self Host) *Roster {
	r := &Roster{
		Deps:    deps.WithPart("hosts"),
		self:    self,
		states:  map[string]*state{},
		changed: func() {},
		joined:  func(Host) {},
	}
	r.put(self)
	return r
}

// OnChange sets the function that is called after each change; it is set before the roster is used.
func (r *Roster) OnChange(f func()) {
	r.changed = f
}

// OnJoin sets the function that is called for each other host that has started or is back; it is set before the roster is used.
func (r *Roster) OnJoin(f func(Host)) {
	r.joined = f
}

// Leave says that this host is about to stop: it owns nothing any more while there are others.
func (r *Roster) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.changed()
}

// Leaving reports whether this host is about to stop.
func (r *Roster) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// Left takes out a host that says that it is about to stop, until it tells of itself again.
func (r *Roster) Left(h Host) {
	r.mu.Lock()
	if s, ok := r.states[h.Name]; ok && s.host == h && h.Name != r.self.Name {
		delete(r.states, h.Name)
		r.Log.WithField("host", h.Name).Info("Host says that it leaves.")
	}
	r.mu.Unlock()
	r.changed()
}

// Loaded reports whether the table of hosts was read.
func (r *Roster) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Watch returns a channel that closes when the host goes down, or nil where it is not known.
func (r *Roster) Watch(h Host) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.states[h.Name]; ok && s.host == h {
		return s.down
	}
	return nil
}

// put takes a host that tells of itself; one that was down has started again.
func (r *Roster) put(h Host) {
	if old, ok := r.states[h.Name]; ok && old.host == h && old.down != nil {
		return
	}
	if h.Name != r.self.Name {
		go r.joined(h)
	}
	r.states[h.Name] = &state{
		host: h,
		hash: xxhash.Sum64String(h.Name),
		down: make(chan struct{}),
	}
}

// Reset takes the whole table of hosts.
func (r *Roster) Reset(rows []follow.Row) {
	defer r.changed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(rows)
	seen := map[string]bool{r.self.Name: true}
	for _, row := range rows {
		seen[row.Key] = true
	}
	r.loaded = true
	for name := range r.states {
		if !seen[name] {
			delete(r.states, name)
		}
	}
}

// Apply takes changed rows of the table of hosts.
func (r *Roster) Apply(rows []follow.Row) {
	defer r.changed()
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
			delete(r.states, row.Key)
			r.Log.WithField("host", row.Key).Info("Host has left.")
			continue
		}
		var h Host
		if err := json.Unmarshal(row.Value, &h); err != nil {
			r.Log.WithError(err).WithField("host", row.Key).Warn("Row names no host. It is not used.")
			continue
		}
		r.put(h)
		r.Log.WithField("host", h.Name).WithField("domain", h.Domain).Info("Host is known.")
	}
}

// Count returns how many hosts are known, down or not, or 0 while the table of hosts was not read.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return 0
	}
	return len(r.states)
}

// Owner returns the host that keeps the queue, one of the queue's failure domain if any lives there, and a channel that closes when it goes down.
func (r *Roster) Owner(queue string) (Host, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	domain := batch.DomainOf(queue)
	away := func(s *state) bool { return domain != "" && s.host.Domain != domain }
	var best *state
	for _, s := range r.states {
		if s.down == nil || (r.leaving && s.host.Name == r.self.Name) {
			continue
		}
		switch {
		case best == nil, away(best) && !away(s):
			best = s
		case away(best) == away(s) && compare(queue, s, best) < 0:
			best = s
		}
	}
	if best == nil {
		return r.self, nil
	}
	return best.host, best.down
}

// Others returns the other hosts that live.
func (r *Roster) Others() []Host {
	return r.without(r.ranked("", math.MaxInt))
}

// Ranked returns those of the first n hosts for the key that are not this one, the same on every host that knows the same hosts.
func (r *Roster) Ranked(key string, n int) []Host {
	return r.without(r.ranked(key, n))
}

// first reports whether this host is among the first n for the key.
func (r *Roster) first(key string, n int) bool {
	return slices.ContainsFunc(r.ranked(key, n), func(h Host) bool { return h.Name == r.self.Name })
}

// ranked returns the first n of the hosts that live for the key.
func (r *Roster) ranked(key string, n int) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []*state
	for _, s := range r.states {
		if s.down != nil {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b *state) int { return compare(key, a, b) })
	var out []Host
	for _, s := range live[:min(n, len(live))] {
		out = append(out, s.host)
	}
	return out
}

func (r *Roster) without(list []Host) []Host {
	return slices.DeleteFunc(list, func(h Host) bool { return h.Name == r.self.Name })
}

// compare orders hosts for a key, such as the name of a queue, the same way on every host; a host is first as often as its power says.
func compare(key string, a, b *state) int {
	p := xxhash.Sum64String(key)
	return cmp.Or(cmp.Compare(b.score(p), a.score(p)), cmp.Compare(b.host.Name, a.host.Name))
}

// score is the host's weight in rendezvous hashing for the hash of a key.
func (s *state) score(key uint64) float64 {
	const steps = 1 << 53
	power := s.host.Power
	if power <= 0 {
		power = usualPower
	}
	draw := (float64(common.Mix(s.hash^key)>>11) + 1) / (steps + 1)
	return power / -math.Log(draw)
}

// Down takes a host out of use until it answers probes again.
func (r *Roster) Down(h Host, why error) {
	defer r.changed()
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.states[h.Name]
	if !ok || s.host != h || s.down == nil || h.Name == r.self.Name {
		return
	}
	close(s.down)
	s.down = nil
	s.good = 0
	s.probeAt = r.Now().Add(probeEvery)
	r.Log.WithError(why).WithField("host", h.Name).Warn("Host is down.")
}

// Probed takes the answer of a probe of a host that is down.
func (r *Roster) Probed(h Host, ok bool) {
	defer r.changed()
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.states[h.Name]
	if !known || s.host != h || s.down != nil {
		return
	}
	s.probeAt = r.Now().Add(probeEvery)
	if !ok {
		s.good = 0
		return
	}
	s.good++
	if s.good < backAfter {
		return
	}
	s.down = make(chan struct{})
	go r.joined(h)
	r.Log.WithField("host", h.Name).Info("Host is back.")
}

// Due returns the hosts that are to be probed now.
func (r *Roster) Due() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	var out []Host
	for _, s := range r.states {
		if s.down == nil && !now.Before(s.probeAt) {
			out = append(out, s.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
