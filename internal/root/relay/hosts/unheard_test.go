package hosts

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newsSeeds is how many random courses of each kind the test of changes plays.
var newsSeeds = flag.Uint64("news-seeds", 6, "number of random courses of changes beside hosts that are out of touch")

const (
	// changeBound is the time within which a change must be known to every host in touch, and touchWindow how long a host must have been without trouble to be in touch.
	changeBound = 3 * time.Second
	touchWindow = 4 * time.Second
)

// trouble is what happens to hosts at the time of a change.
type trouble struct {
	name string
	// outage is how long the store fails for all hosts before the change.
	outage time.Duration
	// cut and frozen are the shares of the hosts to which that happens just before the change. Those that read the store come first if readers is set.
	cut, frozen float64
	readers     bool
}

// strike lets the trouble begin and returns the hosts that it does not meet.
func (c *tableCluster) strike(tr trouble, random *rand.Rand) (spared []*tableHost) {
	var order []*tableHost
	for _, i := range random.Perm(len(c.hosts)) {
		h := c.hosts[i]
		if tr.readers && h.table.followed() {
			order = append([]*tableHost{h}, order...)
			continue
		}
		order = append(order, h)
	}
	cut := int(tr.cut * float64(len(order)))
	frozen := cut + int(tr.frozen*float64(len(order)))
	until := time.Now().Add(12 * time.Second)
	for i, h := range order {
		switch {
		case i < cut:
			c.store.mu.Lock()
			c.store.cutUntil[h.host.Name] = until
			c.store.mu.Unlock()
		case i < frozen:
			h.mu.Lock()
			h.frozenUntil = until
			h.mu.Unlock()
		default:
			spared = append(spared, h)
		}
	}
	return spared
}

// lateNews plays one random course and returns the traces of the hosts in touch that do not know a change in time.
func lateNews(seed uint64, hosts int, tr trouble) (late []string) {
	random := rand.New(rand.NewPCG(seed, 44))
	c := newTableCluster(hosts, rand.New(rand.NewPCG(seed, 45)))
	defer c.run()()
	time.Sleep(3*time.Second + time.Duration(random.Int64N(int64(3*time.Second))))
	if tr.outage > 0 {
		c.cutStore(tr.outage)
		time.Sleep(tr.outage)
	}
	calmSince := time.Now()
	spared := c.strike(tr, random)
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	c.store.put(revokedRow)
	putAt := time.Since(c.start)
	due := time.Now().Add(changeBound)
	if tr.outage > 0 && calmSince.Add(touchWindow).After(due) {
		due = calmSince.Add(touchWindow)
	}
	time.Sleep(time.Until(due))
	return c.traceLate(spared, putAt)
}

// traceLate returns the traces of those hosts that do not know the change that was made at a time since the start, up to some time from now.
func (c *tableCluster) traceLate(hosts []*tableHost, putAt time.Duration) (late []string) {
	dueAt := time.Since(c.start)
	var names []*tableHost
	for _, h := range hosts {
		if !h.knowsRevocation() {
			names = append(names, h)
		}
	}
	if len(names) == 0 {
		return nil
	}
	time.Sleep(changeBound)
	for _, h := range names {
		h.mu.Lock()
		late = append(late, fmt.Sprintf("%s (change at %v, due at %v)\n%s", h.host.Name, putAt, dueAt, strings.Join(h.trace, "\n")))
		h.mu.Unlock()
	}
	return late
}

// Guards against hosts in touch that use an old configuration, as those from which they hear of changes are cut from the store or frozen (CONFIG).
func TestChangesReachHostsInTouchInTime(t *testing.T) {
	troubles := []trouble{
		{name: "half of the hosts are cut as the store is back", outage: 7500 * time.Millisecond, cut: 0.55},
		{name: "those that read the store are cut as it is back", outage: 7500 * time.Millisecond, cut: 0.3, readers: true},
		{name: "half of the hosts are cut", cut: 0.55},
		{name: "those that read the store are cut", cut: 0.3, readers: true},
		{name: "those that read the store are frozen", frozen: 0.3, readers: true},
		{name: "some are cut and some frozen", cut: 0.3, frozen: 0.3},
		{name: "some are cut and some frozen as the store is back", outage: 7500 * time.Millisecond, cut: 0.3, frozen: 0.3},
	}
	for _, hosts := range []int{12, 78} {
		for _, tr := range troubles {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, tr.name), func(t *testing.T) {
				courses, lateHosts := 0, 0
				for seed := range *newsSeeds {
					var late []string
					synctest.Test(t, func(*testing.T) { late = lateNews(seed, hosts, tr) })
					if len(late) > 0 {
						courses++
						lateHosts += len(late)
						t.Logf("seed %d: %d hosts in touch are late, one of them is %s", seed, len(late), late[0])
					}
				}
				if courses > 0 {
					t.Errorf("hosts in touch do not know a change after %v in %d of %d courses (%d hosts)", changeBound, courses, *newsSeeds, lateHosts)
				}
			})
		}
	}
}
