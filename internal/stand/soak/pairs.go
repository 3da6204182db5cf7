package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// pair begins a fault, and another one after the lead, so that the two overlap.
type pair struct {
	First  fault
	Lead   time.Duration
	Second fault
}

// loseHosts kills all hosts at once, each within the spread, and starts them again.
type loseHosts struct {
	Spread time.Duration
}

// freezeHosts stops the processes of some hosts for a while.
type freezeHosts struct {
	Hosts []int
	For   time.Duration
}

func (pair) isFault()        {}
func (loseHosts) isFault()   {}
func (freezeHosts) isFault() {}

// String describes both faults.
func (p pair) String() string {
	return fmt.Sprintf("%T %+v, %s later %T %+v", p.First, p.First, p.Lead, p.Second, p.Second)
}

const (
	// newerGap is the mean time between the beginnings of two faults of newerFaults.
	newerGap = 2 * time.Second
	// minFreeze and maxFreeze bound how long hosts are stopped beside a release.
	minFreeze = time.Second
	maxFreeze = 3500 * time.Millisecond
	// holdPoll is the time between two attempts to hold a host.
	holdPoll = 10 * time.Millisecond
	// lossSpread bounds the time within which all hosts are killed, and maxLossLead the time from the beginning of a release to that.
	lossSpread  = 50 * time.Millisecond
	maxLossLead = 3 * time.Second
	// maxIsolationLead bounds the time from an isolation to a release, and maxQuickGap that from one engine of it to the next.
	maxIsolationLead = 100 * time.Millisecond
	maxQuickGap      = 150 * time.Millisecond
	// maxReleaseLead bounds the time from the beginning of a fault to that of the release that it disturbs.
	maxReleaseLead = time.Second
)

// newerFaults returns the faults of the kinds that came after those of randomFault. They have a source of their own, which leaves the other faults of a seed as they are.
func newerFaults(rng *rand.Rand, hosts int, duration time.Duration) []event {
	var out []event
	for at := time.Duration(0); ; {
		at += time.Duration(rng.Int64N(int64(2 * newerGap)))
		if at >= duration || hosts < 2 {
			return out
		}
		out = append(out, event{
			At:    at,
			Fault: newerFault(rng, hosts),
		})
	}
}

// newerFault returns a fault of a newer kind, alone or beside a release.
func newerFault(rng *rand.Rand, hosts int) fault {
	switch rng.IntN(5) {
	case 0, 1:
		return randomHarm(rng, hosts)
	case 2:
		return randomTaking(rng)
	default:
		return randomBeside(rng, hosts)
	}
}

// randomBeside returns a fault of a newer kind beside a release.
func randomBeside(rng *rand.Rand, hosts int) pair {
	lead := time.Duration(rng.Int64N(int64(maxReleaseLead)))
	release := randomRelease(rng)
	switch rng.IntN(5) {
	case 0:
		return pair{
			First:  release,
			Lead:   time.Duration(rng.Int64N(int64(maxLossLead))),
			Second: loseHosts{Spread: time.Duration(rng.Int64N(int64(lossSpread)))},
		}
	case 1:
		return pair{
			First:  randomHarm(rng, hosts),
			Lead:   lead,
			Second: release,
		}
	case 2:
		return pair{
			First:  randomTaking(rng),
			Lead:   lead,
			Second: release,
		}
	case 3:
		return pair{
			First: freezeHosts{
				Hosts: rng.Perm(hosts)[:min(1+rng.IntN(2), hosts-1)],
				For:   minFreeze + time.Duration(rng.Int64N(int64(maxFreeze-minFreeze))),
			},
			Lead:   lead / 2,
			Second: release,
		}
	default:
		return isolationBeside(rng, hosts)
	}
}

// isolationBeside returns an isolation of hosts that knew the upstreams until just before the first engine of a quick release is up.
func isolationBeside(rng *rand.Rand, hosts int) pair {
	return pair{
		First:  randomIsolation(rng, hosts),
		Lead:   time.Duration(rng.Int64N(int64(maxIsolationLead))),
		Second: releaseEngines{Gap: time.Duration(rng.Int64N(int64(maxQuickGap)))},
	}
}

// quietTime is longer than a stream of the routes lasts over all attempts of its caller.
const quietTime = 8 * time.Second

// streamSchedule returns two faults beside releases, the first an isolation, each after a time without any in which hosts come to know their upstreams' version well.
func streamSchedule(seed uint64, hosts int) []event {
	rng := rand.New(rand.NewPCG(seed, 17))
	return []event{
		{At: quietTime, Fault: isolationBeside(rng, hosts)},
		{At: 3 * quietTime, Fault: randomBeside(rng, hosts)},
	}
}

// randomRelease returns a release, in place or not.
func randomRelease(rng *rand.Rand) fault {
	gap := time.Duration(rng.Int64N(int64(maxReleaseGap)))
	if rng.IntN(3) == 0 {
		return releaseEngines{Gap: gap}
	}
	return releaseInPlace{Gap: gap, RowDelay: time.Duration(rng.Int64N(int64(maxRowDelay)))}
}

// playPair plays both faults, and returns once both have ended.
func (r *run) playPair(rng *rand.Rand, p pair) {
	// Each fault has a source of its own, as the two are played at the same time.
	second := rand.New(rand.NewPCG(rng.Uint64(), 1))
	var both sync.WaitGroup
	both.Go(func() { r.play(rng, p.First) })
	time.Sleep(p.Lead)
	both.Go(func() { r.play(second, p.Second) })
	both.Wait()
}

// freezeHosts stops the processes of some hosts for a while. It leaves out those that another fault holds.
func (r *run) freezeHosts(f freezeHosts) {
	var all sync.WaitGroup
	for _, i := range f.Hosts {
		all.Go(func() { r.freeze(i, f.For) })
	}
	all.Wait()
}

// loseHosts kills all hosts at once and starts them again. Hosts that another fault has ended or is ending are about to start, which is waited for.
func (r *run) loseHosts(rng *rand.Rand, f loseHosts) {
	for i := range r.world.hosts {
		for !r.hold(i) {
			time.Sleep(holdPoll)
		}
	}
	var all sync.WaitGroup
	for i := range r.world.hosts {
		after := time.Duration(rng.Int64N(int64(f.Spread) + 1))
		all.Go(func() {
			defer r.release(i)
			time.Sleep(after)
			r.restartHeld(i, false)
		})
	}
	all.Wait()
}
