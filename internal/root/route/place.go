package route

import (
	"slices"

	"github.com/cornelwing/cornelwing/internal/root/place"
)

// Closed reports whether nothing new may be sent to the upstream.
func (u Upstream) Closed() bool {
	return u.Leaving || u.Evacuated
}

// isOpenIn reports whether something new may be sent to the upstream by a request for the regions.
func (e *entry) isOpenIn(regions place.Regions) bool {
	return !e.up.Closed() && regions.Allows(e.up.Region)
}

// Closure is why the place of its upstreams keeps a request from a pool: Open, Evacuated or OtherRegions.
type Closure interface {
	closure()
}

// Open means that it does not.
type Open struct{}

// Evacuated means that all upstreams in the regions of the request are in evacuated failure domains.
type Evacuated struct {
	// Domains are the evacuated domains, sorted.
	Domains []string
}

// OtherRegions means that all upstreams are in regions that the request may not use.
type OtherRegions struct{}

func (Open) closure()         {}
func (Evacuated) closure()    {}
func (OtherRegions) closure() {}

// Closure returns why the place of its upstreams keeps a request for the regions from a pool. A pool without upstreams, or whose upstreams are leaving, is open.
func (t *Table) Closure(name string, regions place.Regions) Closure {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[name]
	if !ok || len(p.entries) == 0 {
		return Open{}
	}
	inRegions := false
	var evacuated []string
	for _, e := range p.entries {
		if !regions.Allows(e.up.Region) {
			continue
		}
		inRegions = true
		if !e.up.Closed() {
			return Open{}
		}
		if e.up.Evacuated {
			evacuated = append(evacuated, e.up.Domain)
		}
	}
	switch {
	case !inRegions:
		return OtherRegions{}
	case len(evacuated) > 0:
		slices.Sort(evacuated)
		return Evacuated{
			Domains: slices.Compact(evacuated),
		}
	default:
		return Open{}
	}
}

// IsEvacuated reports whether the failure domain of an upstream that Pick chose has been evacuated since.
func (t *Table) IsEvacuated(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[name]
	return ok && e.up.Evacuated
}
