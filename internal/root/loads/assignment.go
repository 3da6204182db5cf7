package loads

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// pollersPerUpstream is the number of hosts that poll one upstream. With two, reports continue when one of them fails.
const pollersPerUpstream = 2

// IsPoller reports whether host is one of the hosts that poll the upstream. They are selected by rendezvous hashing over the live hosts.
func IsPoller(host, upstream string, live []string) bool {
	own := weight(host, upstream)
	higher := 0
	for _, h := range live {
		if h != host && weight(h, upstream) > own {
			higher++
		}
	}
	return higher < pollersPerUpstream
}

// RoundRobinHost returns the host to which the upstream is assigned, or "" if it is not in upstreams or there are no hosts.
// The upstreams of a pool are assigned round-robin to the hosts, both in the order of their names.
func RoundRobinHost(upstream string, upstreams []route.Upstream, hosts []string) string {
	i := slices.IndexFunc(upstreams, func(u route.Upstream) bool { return u.Name == upstream })
	if i < 0 || len(hosts) == 0 {
		return ""
	}
	before := 0
	for _, u := range upstreams {
		if u.Pool == upstreams[i].Pool && u.Name < upstream {
			before++
		}
	}
	sorted := slices.Sorted(slices.Values(hosts))
	return sorted[before%len(sorted)]
}

// weight returns the rendezvous hash of the pair. The hosts with the highest weights poll the upstream.
func weight(host, upstream string) uint64 {
	d := xxhash.New()
	// Writing to a hash never returns an error.
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
