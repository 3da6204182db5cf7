package loads

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// owners is how many hosts poll one upstream, so that one of them may be gone.
const owners = 2

// Owns reports whether the host is one of those that poll the upstream, by rendezvous hashing over the live hosts.
func Owns(host, upstream string, live []string) bool {
	mine := weight(host, upstream)
	above := 0
	for _, h := range live {
		if h != host && weight(h, upstream) > mine {
			above++
		}
	}
	return above < owners
}

// Turn returns the host whose turn the upstream is when those of its pool go round the hosts in order of their names.
func Turn(upstream string, ups []route.Upstream, hosts []string) string {
	i := slices.IndexFunc(ups, func(u route.Upstream) bool { return u.Name == upstream })
	if i < 0 || len(hosts) == 0 {
		return ""
	}
	before := 0
	for _, u := range ups {
		if u.Pool == ups[i].Pool && u.Name < upstream {
			before++
		}
	}
	sorted := slices.Sorted(slices.Values(hosts))
	return sorted[before%len(sorted)]
}

func weight(host, upstream string) uint64 {
	d := xxhash.New()
	// A hash never fails to take bytes.
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
