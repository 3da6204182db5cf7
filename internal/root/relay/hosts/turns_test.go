package hosts

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// standstill is how long a host stands still at a time: just too short for its connections to count as lost.
	standstill = callerSilence - 30*time.Millisecond
	// minBetweenTurns is the shortest time between two turns. A random part of twice the same time is added.
	minBetweenTurns = 300 * time.Millisecond
)

// standStillByTurns lets all hosts that read the store stand still for a while, again and again until done is closed. It notes them in hit.
func (c *tableCluster) standStillByTurns(random *rand.Rand, hit map[string]bool, done <-chan struct{}) {
	for {
		for _, h := range c.hosts {
			if h.table.followed() {
				hit[h.host.Name] = true
				h.mu.Lock()
				h.frozenUntil = time.Now().Add(standstill)
				h.mu.Unlock()
				h.note("stands still")
			}
		}
		select {
		case <-done:
			return
		case <-time.After(minBetweenTurns + time.Duration(random.Int64N(int64(2*minBetweenTurns)))):
		}
	}
}

// lateTurns plays one random course in which the hosts that read the store stand still by turns, and returns the hosts that never do and learn late of a change, with their traces.
func lateTurns(seed uint64, hosts int) (late []string) {
	random := rand.New(rand.NewPCG(seed, 144))
	c := newTableCluster(hosts, rand.New(rand.NewPCG(seed, 145)))
	defer c.run()()
	time.Sleep(3*time.Second + time.Duration(random.Int64N(int64(3*time.Second))))
	hit, done, ended := map[string]bool{}, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		c.standStillByTurns(rand.New(rand.NewPCG(seed, 146)), hit, done)
	}()
	time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
	c.store.put(revokedRow)
	putAt := time.Since(c.start)
	time.Sleep(changeBound)
	close(done)
	<-ended
	var spared []*tableHost
	for _, h := range c.hosts {
		if !hit[h.host.Name] {
			spared = append(spared, h)
		}
	}
	return c.traceLate(spared, putAt)
}

// seedsWith returns the first n seeds and those that are listed.
func seedsWith(n uint64, listed []uint64) (seeds []uint64) {
	for seed := range n {
		seeds = append(seeds, seed)
	}
	for _, seed := range listed {
		if seed >= n {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// Guards against changes that reach hosts late because the hosts they hear from stand still by turns (CONFIG).
func TestChangesReachHostsBesideOthersThatStandStillByTurns(t *testing.T) {
	// lateBefore holds seeds at which hosts were late before they counted what is left of the time for a change.
	lateBefore := []uint64{77}
	for _, hosts := range []int{9, 24, 81} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			courses, lateHosts := 0, 0
			for _, seed := range seedsWith(*newsSeeds, lateBefore) {
				var late []string
				synctest.Test(t, func(*testing.T) { late = lateTurns(seed, hosts) })
				if len(late) > 0 {
					courses++
					lateHosts += len(late)
					t.Logf("seed %d: %d hosts are late, one of them is %s", seed, len(late), late[0])
				}
			}
			if courses > 0 {
				t.Errorf("hosts that never stand still do not know a change after %v in %d of %d courses (%d hosts)", changeBound, courses, len(seedsWith(*newsSeeds, lateBefore)), lateHosts)
			}
		})
	}
}
