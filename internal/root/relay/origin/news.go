package origin

import (
	"slices"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// News is what has changed in the store beyond what a host knows of it.
type News struct {
	// Upstreams are those whose rows have changed.
	Upstreams []route.Upstream
	// Passed reports that an upstream came and went of which the host knew nothing, and Configured that there is another configuration.
	Passed     bool
	Configured bool
}

// Allows reports whether no upstream in the pools can have begun a stream at another version than the given one since the host read what it knows.
func (n News) Allows(version string, pools []string) bool {
	if n.Passed || n.Configured {
		return false
	}
	return !slices.ContainsFunc(n.Upstreams, func(u route.Upstream) bool {
		return u.Version != version && slices.Contains(pools, u.Pool)
	})
}
