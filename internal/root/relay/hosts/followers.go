package hosts

import (
	"cmp"
	"slices"

	"github.com/cornelwing/cornelwing/internal/root/relay/fanout"
)

// followersKey is what the names of tables are prefixed with to rank the hosts that follow them.
const followersKey = "followers/"

// followers are the hosts that follow a table, as one host sees them.
type followers struct {
	// self reports that this host is one of them.
	self bool
	// others are the other ones in the order in which this host asks them, those of its domain first.
	others []Host
	// up are all hosts that are up and usable but this one, sorted by name.
	up []Host
}

// followers returns the few hosts of each failure domain that follow the table. Hosts that are not usable are passed over.
func (r *Roster) followers(table string, usable func(name string) bool) followers {
	r.mu.Lock()
	defer r.mu.Unlock()
	var f followers
	var chosen []*hostState
	for _, domain := range r.usableByDomain(usable) {
		for _, s := range domain {
			if s.host.Name != r.self.Name {
				f.up = append(f.up, s.host)
			}
		}
		slices.SortFunc(domain, func(a, b *hostState) int { return compareForKey(followersKey+table, a, b) })
		chosen = append(chosen, domain[:fanout.Followers(len(domain))]...)
	}
	slices.SortFunc(f.up, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(chosen, func(a, b *hostState) int { return compareForKey(r.self.Name, a, b) })
	var near, far []Host
	for _, s := range chosen {
		switch {
		case s.host.Name == r.self.Name:
			f.self = true
		case s.host.Domain == r.self.Domain:
			near = append(near, s.host)
		default:
			far = append(far, s.host)
		}
	}
	f.others = append(near, far...)
	return f
}

// usableByDomain returns the hosts that are up and usable, by failure domain. This host is one of them. The caller holds the lock.
func (r *Roster) usableByDomain(usable func(name string) bool) map[string][]*hostState {
	out := map[string][]*hostState{}
	for name, s := range r.states {
		if s.down == nil || (name != r.self.Name && !usable(name)) {
			continue
		}
		out[s.host.Domain] = append(out[s.host.Domain], s)
	}
	return out
}

// named returns the hosts with the names that are known and up, but for this host.
func (r *Roster) named(names []string) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Host
	for _, name := range names {
		if s, ok := r.states[name]; ok && s.down != nil && name != r.self.Name {
			out = append(out, s.host)
		}
	}
	return out
}
