package hosts

import "slices"

// granters returns the first n hosts in the ranking for the key, whether they are up or not, with those of the failure domain before all others. It is empty until the table of hosts has been read. A host that is about to stop is not among them.
func (r *Roster) granters(key, domain string, n int) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return nil
	}
	var first []*hostState
	for _, s := range r.states {
		if r.leaving && s.host.Name == r.self.Name {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, s, func(a, b *hostState) int { return compareInDomain(key, domain, a, b) })
		if at >= n {
			continue
		}
		first = slices.Insert(first, at, s)
		first = first[:min(n, len(first))]
	}
	var out []Host
	for _, s := range first {
		out = append(out, s.host)
	}
	return out
}

// compareInDomain orders hosts for a key, those of the failure domain first.
func compareInDomain(key, domain string, a, b *hostState) int {
	switch inA, inB := a.host.Domain == domain, b.host.Domain == domain; {
	case inA && !inB:
		return -1
	case inB && !inA:
		return 1
	default:
		return compareForKey(key, a, b)
	}
}
