package hosts

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// repeatSeeds is how many random courses the test of repeated courses plays.
var repeatSeeds = flag.Uint64("repeat-seeds", 3, "number of random courses that are played twice")

// traces plays one course with trouble, and returns what each host did.
func traces(seed uint64, hosts int) (all [][]string) {
	random := rand.New(rand.NewPCG(seed, 57))
	c := newTableCluster(hosts, rand.New(rand.NewPCG(seed, 58)))
	stop := c.run()
	time.Sleep(3 * time.Second)
	c.cutStore(2 * time.Second)
	time.Sleep(2 * time.Second)
	c.strike(trouble{
		cut:    0.3,
		frozen: 0.3,
	}, random)
	c.store.put(revokedRow)
	time.Sleep(6 * time.Second)
	for _, h := range c.hosts {
		h.mu.Lock()
		all = append(all, slices.Clone(h.trace))
		h.mu.Unlock()
	}
	stop()
	return all
}

// Guards against courses that don't repeat, so that a seed that fails can't be traced.
func TestCoursesOfTablesRepeat(t *testing.T) {
	const hosts = 40
	for seed := range *repeatSeeds {
		var first, second [][]string
		synctest.Test(t, func(*testing.T) { first = traces(seed, hosts) })
		synctest.Test(t, func(*testing.T) { second = traces(seed, hosts) })
		for i := range first {
			if !slices.Equal(first[i], second[i]) {
				t.Errorf("seed %d: host %d does something else the second time: %s", seed, i, firstDifference(first[i], second[i]))
			}
		}
	}
}

// firstDifference returns the first lines that differ.
func firstDifference(a, b []string) string {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return a[i] + " / " + b[i]
		}
	}
	return "one has more lines"
}
