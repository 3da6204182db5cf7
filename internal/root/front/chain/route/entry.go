package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Upstream is one back end that serves a pool.
type Upstream struct {
	Name    string
	Addr    string
	Domain  string
	Pool    string
	Leaving bool
	// Born is when the upstream started, in milliseconds since 1970, or 0; one that started again knows nothing of before.
	Born int64
	// Probe says that the upstream was ejected and has to answer a probe before it is given a request; Pick sets it.
	Probe bool
}

const (
	// historySize is how many changes of the own count are kept to correct a lagging report.
	historySize = 64
	// staleAfter is the age at which a load report no longer counts.
	staleAfter = 5 * time.Second
	// ejectAfter is the number of failures in a row that ejects an upstream.
	ejectAfter = 3
	minOut     = 500 * time.Millisecond
	maxOut     = 15 * time.Second
	// slowStart is how long a returning upstream is given less than its full share.
	slowStart = 5 * time.Second
	// serviceWeight is the weight of a new sample in the moving average of the service time.
	serviceWeight = 0.2
	// forgetAfter is how long an average counts without a new sample.
	forgetAfter = 15 * time.Second
)

// change is the number of own attempts in flight from a time on.
type change struct {
	at  time.Time
	own int
}

// entry is what this host knows of one upstream.
type entry struct {
	up   Upstream
	hash uint64

	own     int
	history [historySize]change
	written int

	report   stage.Load
	reportAt time.Time
	// ownThen is how many own attempts were in flight when the report was true, and others what it counts besides them.
	ownThen int
	others  int

	service  time.Duration
	sampleAt time.Time

	fails    int
	outs     int
	outUntil time.Time
	backAt   time.Time
}

func newEntry(up Upstream) *entry {
	return &entry{
		up:   up,
		hash: xxhash.Sum64String(up.Name),
	}
}

func (e *entry) setOwn(now time.Time, own int) {
	e.own = own
	e.history[e.written%historySize] = change{
		at:  now,
		own: own,
	}
	e.written++
}

// ownAt returns how many own attempts were in flight at a time in the near past.
func (e *entry) ownAt(at time.Time) int {
	for i := e.written - 1; i >= 0 && i > e.written-1-historySize; i-- {
		c := e.history[i%historySize]
		if !c.at.After(at) {
			return c.own
		}
	}
	return 0
}

// load estimates how many requests the upstream holds, with the others' from its report and the own exactly.
func (e *entry) load(now time.Time, hosts int) int {
	if e.stale(now) {
		return e.own * hosts
	}
	return e.others + e.own
}

func (e *entry) stale(now time.Time) bool {
	return e.reportAt.IsZero() || now.Sub(e.reportAt) > staleAfter
}

// total estimates the same for a sum over many upstreams: what all hosts did since the report is taken to be like what this one did.
func (e *entry) total(now time.Time, hosts int) int {
	if e.stale(now) {
		return e.own * hosts
	}
	return e.others + e.ownThen + (e.own-e.ownThen)*hosts
}

// take replaces the report by a newer one.
func (e *entry) take(load stage.Load, at time.Time) {
	e.report = load
	e.reportAt = at
	e.ownThen = e.ownAt(at)
	e.others = max(0, load.Busy+load.Queued-e.ownThen)
}

// capacity is the number of slots, less while a returning upstream starts slowly.
func (e *entry) capacity(now time.Time, slots int) float64 {
	if e.report.Slots > 0 {
		slots = e.report.Slots
	}
	since := now.Sub(e.backAt)
	if e.backAt.IsZero() || since >= slowStart {
		return float64(slots)
	}
	ramp := 0.1 + 0.9*float64(since)/float64(slowStart)
	return max(1, float64(slots)*ramp)
}

// serviceTime is the moving average of the time a request holds a slot; without fresh samples it is the pool's own.
func (e *entry) serviceTime(now time.Time, expected time.Duration) time.Duration {
	if e.service == 0 || now.Sub(e.sampleAt) > forgetAfter {
		return expected
	}
	return e.service
}

// wait predicts how long a request sent now takes, queue included.
func (e *entry) wait(now time.Time, p *pool, hosts int) time.Duration {
	service := e.serviceTime(now, p.expected)
	over := float64(e.load(now, hosts)+1) / e.capacity(now, p.slots)
	return time.Duration(float64(service) * max(1, over))
}

// usable reports whether the upstream may be given a request; one that was out is first probed with a single one.
func (e *entry) usable(now time.Time) bool {
	if e.up.Leaving || now.Before(e.outUntil) {
		return false
	}
	return e.outs == 0 || e.own == 0
}

func (e *entry) isOut(now time.Time) bool {
	return now.Before(e.outUntil)
}

func (e *entry) succeed(now time.Time, took time.Duration, over float64) {
	if e.outs > 0 {
		e.backAt = now
	}
	e.fails = 0
	e.outs = 0
	e.outUntil = time.Time{}
	e.sample(now, time.Duration(float64(took)/max(1, over)))
}

func (e *entry) sample(now time.Time, sample time.Duration) {
	if e.service == 0 || now.Sub(e.sampleAt) > forgetAfter {
		e.service = sample
	} else {
		e.service += time.Duration(serviceWeight * float64(sample-e.service))
	}
	e.sampleAt = now
}

// fail counts a failure and reports whether the upstream is to be ejected.
// An attempt that was given up would have taken longer still, so its time counts if it is above the average.
func (e *entry) fail(now time.Time, took, expected time.Duration) bool {
	if took > e.serviceTime(now, expected) {
		e.sample(now, took)
	}
	e.fails++
	return e.fails >= ejectAfter || e.outs > 0
}

func (e *entry) eject(now time.Time) {
	out := min(minOut<<min(e.outs, 5), maxOut)
	e.outs++
	e.fails = 0
	e.outUntil = now.Add(out)
}
