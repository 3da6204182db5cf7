package route

import (
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/place"
)

// Query describes which upstream Pick may choose.
type Query struct {
	Pool string
	// Affinity is the hash of the prompt's prefix, or 0 if no upstream is preferred.
	Affinity uint64
	// Prompt is the size of the request's prompt.
	Prompt Prompt
	// PreferDomain is the preferred failure domain of the upstream, or "" for the host's own.
	PreferDomain string
	// Exclude holds the names of upstreams that must not be chosen, such as those that were tried already.
	Exclude []string
	// LeastLoaded chooses the upstream with the fewest requests over all domains, wherever the prompt's prefix is cached.
	LeastLoaded bool
	// Version is the software version of the upstream, or "" for any.
	Version string
	// Versioned excludes the upstreams whose software version is not known.
	Versioned bool
	// Ejected includes upstreams that are ejected, for a request that no others can serve.
	Ejected bool
	// OnTrial includes upstreams that have served nothing since they were ejected and run a request now, if their ejection ended some time ago.
	OnTrial bool
	// Unlimited excludes the upstreams that take a limited number of requests.
	Unlimited bool
	// Regions are the regions of the upstream.
	Regions place.Regions
	// Allow, if set, reports whether the upstream may be chosen.
	Allow func(upstream string) bool
	// remote excludes the upstreams of the domain PreferDomain.
	remote bool
	// hosts is the number of hosts that send requests to the pool.
	hosts int
}

// matches reports whether the entry is usable and allowed by the query.
func (q Query) matches(now time.Time, e *entry) bool {
	if !q.Regions.Allows(e.up.Region) || !q.allowsVersion(e.up.Version) {
		return false
	}
	if !e.usable(now, q.hosts) && !(q.includesEjected(now, e) && e.mayReturn(now, q.hosts)) {
		return false
	}
	if (q.Unlimited && e.rate(now) > 0) || slices.Contains(q.Exclude, e.up.Name) || (q.remote && e.up.Domain == q.PreferDomain) {
		return false
	}
	return q.Allow == nil || q.Allow(e.up.Name)
}

// allowsVersion reports whether the query may choose an upstream with the software version, which is "" if it is not known.
func (q Query) allowsVersion(version string) bool {
	if q.Versioned && version == "" {
		return false
	}
	return q.Version == "" || q.Version == version
}

// includesEjected reports whether the query may choose the entry although it was ejected.
func (q Query) includesEjected(now time.Time, e *entry) bool {
	return q.Ejected || (q.OnTrial && now.Sub(e.ejectedUntil) >= failureMemory)
}
