package route

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Upstream is one back end that serves a pool.
type Upstream struct {
	Name    string
	Addr    string
	Domain  string
	Pool    string
	Leaving bool
	// Evacuated means that an operator has ordered that nothing new is sent to the upstreams of the failure domain.
	Evacuated bool
	// Region is the region of the failure domain, or "" if it is not known.
	Region string
	// Version is the version of the upstream's software, or "" if it states none.
	Version string
	// StartedAtMS is the start time of the upstream in milliseconds since the Unix epoch, or 0 if it is not known.
	// An upstream that has restarted has lost its state, so its recorded load, service time and failures no longer apply.
	StartedAtMS int64
	// Probe means that the upstream was ejected and must answer a probe before it is sent a request. Pick sets it.
	Probe bool
	// Limited means that the upstream takes a limited number of requests per second from all hosts together, so that each of them needs a permit. Pick sets it.
	Limited bool
	// Cold means that the upstream is cold, so that a permit for it must be used at once. Pick sets it.
	Cold bool
	// Estimate is what is expected of the upstream. Pick sets it in pools whose upstreams state their pace.
	Estimate Estimate
}

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	StartedAtMS int64  `json:"started_at_ms,omitempty"`
}

// ErrInvalidIncarnation is returned for an incarnation without a name or an address.
var ErrInvalidIncarnation = errors.New("incarnation needs a name and an address")

// UnmarshalJSON decodes an incarnation and checks that it has a name and an address.
func (i *Incarnation) UnmarshalJSON(b []byte) error {
	type plain Incarnation
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode incarnation: %w", err)
	}
	if p.Name == "" || p.Addr == "" {
		return fmt.Errorf("check incarnation: %w", ErrInvalidIncarnation)
	}
	*i = Incarnation(p)
	return nil
}

// Incarnation returns the start of the upstream that u describes.
func (u Upstream) Incarnation() Incarnation {
	return Incarnation{
		Name:        u.Name,
		Addr:        u.Addr,
		StartedAtMS: u.StartedAtMS,
	}
}

const (
	// historySize is the number of changes of the in-flight count that are stored to correct load reports, which lag behind.
	historySize = 64
	// reportTTL is the age above which a load report is ignored.
	reportTTL = 5 * time.Second
	// failuresToEject is the number of consecutive failures after which an upstream is ejected.
	failuresToEject = 3
	// minEjection is the duration of the first ejection. Each further one without a success lasts twice as long, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 15 * time.Second
	// failureMemory is how long after its ejection an upstream gets one request at a time even if no other is usable. After that the ejection tells little, and there may have been no request to try it with.
	failureMemory = time.Second
	// slowStart is the time after a readmission during which an upstream counts with less than its full capacity.
	slowStart = 5 * time.Second
	// serviceWeight is the weight of a new sample in the moving average of the service time.
	serviceWeight = 0.2
	// serviceTimeTTL is how long the average service time is used without a new sample.
	serviceTimeTTL = 15 * time.Second
)

// inFlightChange records the number of this host's attempts in flight from a point in time on.
type inFlightChange struct {
	at       time.Time
	inFlight int
}

// entry holds what this host knows about one upstream. Table.mu guards it.
type entry struct {
	up Upstream
	// hash is the hash of the upstream's name, from which highestRanked computes the rank of the upstream for a prefix.
	hash uint64

	// inFlight is the number of this host's attempts in flight, and history a ring of its latest changes.
	inFlight     int
	history      [historySize]inFlightChange
	historyCount int

	report   stage.Load
	reportAt time.Time
	// reportShared reports that another host has told the report.
	reportShared bool
	// inFlightAtReport is the number of this host's attempts in flight at the time of the report, and othersInFlight the number of requests in the report that other hosts sent.
	inFlightAtReport int
	othersInFlight   int

	avgService time.Duration
	sampledAt  time.Time

	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	readmittedAt        time.Time
	// pausedUntil is the end of the pause that the upstream has asked for.
	pausedUntil time.Time
	// perSecond is the number of requests per second that the upstream takes from all hosts together, or 0 if it has named no limit. heldUntil is the time until which there is no permit for another one.
	perSecond float64
	heldUntil time.Time
	// cold is the time in which the upstream is cold.
	cold Cold
	// brittle is how many requests per second the upstream can turn away for want of room without falling over, or 0 for any number. probeAt is the time from which this host may send one more request there than it is known to have room for.
	brittle int
	probeAt time.Time
	// slotFreedAt is when the last request of this host ended that the upstream ran.
	slotFreedAt time.Time
	// rejectedAt is when the upstream last turned a request of this host away for want of room.
	rejectedAt time.Time
	// pace is how long work takes there, and sent are the times of this host's sends.
	pace paceBook
	sent sentTimes
}

func newEntry(up Upstream) *entry {
	return &entry{
		up:   up,
		hash: xxhash.Sum64String(up.Name),
	}
}

func (e *entry) setInFlight(now time.Time, inFlight int) {
	e.inFlight = inFlight
	e.history[e.historyCount%historySize] = inFlightChange{
		at:       now,
		inFlight: inFlight,
	}
	e.historyCount++
}

// inFlightAt returns the number of this host's attempts that were in flight at a recent time, or 0 if the history does not reach back to it.
func (e *entry) inFlightAt(at time.Time) int {
	for i := e.historyCount - 1; i >= 0 && i > e.historyCount-1-historySize; i-- {
		c := e.history[i%historySize]
		if !c.at.After(at) {
			return c.inFlight
		}
	}
	return 0
}

// load estimates the number of requests at the upstream: those of other hosts come from its report, and those of this host are exact.
// Without a current report it assumes that each host has as many attempts in flight as this one.
func (e *entry) load(now time.Time, hosts int) int {
	if e.reportStale(now) {
		return e.inFlight * hosts
	}
	return e.othersInFlight + e.inFlight
}

func (e *entry) reportStale(now time.Time) bool {
	return e.reportAt.IsZero() || now.Sub(e.reportAt) > reportTTL
}

// scaledLoad estimates the load of the upstream, for use in a sum over many upstreams.
// It assumes that since the report the number of attempts in flight has changed by the same amount on every host as on this one.
func (e *entry) scaledLoad(now time.Time, hosts int) int {
	if e.reportStale(now) {
		return e.inFlight * hosts
	}
	return e.othersInFlight + e.inFlightAtReport + (e.inFlight-e.inFlightAtReport)*hosts
}

// setReport stores a load report that was valid at the given time.
func (e *entry) setReport(load stage.Load, at time.Time) {
	e.report = load
	e.reportAt = at
	e.pace.record(load, at)
	e.inFlightAtReport = e.inFlightAt(at)
	e.othersInFlight = max(0, load.Busy+load.Queued-e.inFlightAtReport)
}

// capacity returns the number of slots. It is reduced during the slow start after a readmission, and to those that a limit keeps busy.
func (e *entry) capacity(now time.Time, slots int) float64 {
	if e.report.Slots > 0 {
		slots = e.report.Slots
	}
	if rate := e.rate(now); rate > 0 && e.avgService > 0 {
		slots = min(slots, max(1, int(rate*e.avgService.Seconds())))
	}
	ramp := e.cold.share(now)
	if since := now.Sub(e.readmittedAt); !e.readmittedAt.IsZero() && since < slowStart {
		ramp = min(ramp, 0.1+0.9*float64(since)/float64(slowStart))
	}
	return max(1, float64(slots)*ramp)
}

// serviceTime returns the moving average of the time for which a request occupies a slot, or the expected time of the pool if there is no recent sample.
func (e *entry) serviceTime(now time.Time, expected time.Duration) time.Duration {
	if e.avgService == 0 || now.Sub(e.sampledAt) > serviceTimeTTL {
		return expected
	}
	return e.avgService
}

// expectedTime predicts how long a request sent now takes, including its time in the queue.
func (e *entry) expectedTime(now time.Time, p *pool, hosts int) time.Duration {
	service := e.serviceTime(now, p.expected)
	loadRatio := float64(e.load(now, hosts)+1) / e.capacity(now, p.slots)
	return time.Duration(float64(service) * max(1, loadRatio))
}

// usable reports whether the upstream may be sent a request. After an ejection it gets one request at a time until one succeeds.
func (e *entry) usable(now time.Time, hosts int) bool {
	if !e.mayReturn(now, hosts) || e.isEjected(now) {
		return false
	}
	return e.ejections == 0 || e.inFlight == 0
}

// mayReturn reports whether nothing but an ejection keeps the upstream from being used.
func (e *entry) mayReturn(now time.Time, hosts int) bool {
	return !e.up.Closed() && !e.isPaused(now) && !e.isHeld(now) && !e.isWithheld(now) && !e.isFull(now, hosts)
}

func (e *entry) isPaused(now time.Time) bool {
	return now.Before(e.pausedUntil)
}

// usableAt returns the earliest time at which the upstream may be usable, if it is not closed.
func (e *entry) usableAt() time.Time {
	at := e.ejectedUntil
	for _, t := range []time.Time{e.pausedUntil, e.heldUntil} {
		if t.After(at) {
			at = t
		}
	}
	if e.cold.Withheld && e.cold.Until.After(at) {
		at = e.cold.Until
	}
	return at
}

func (e *entry) isEjected(now time.Time) bool {
	return now.Before(e.ejectedUntil)
}

func (e *entry) recordSuccess(now time.Time, took time.Duration, loadRatio float64) {
	if e.ejections > 0 {
		e.readmit(now)
	}
	e.consecutiveFailures = 0
	e.sample(now, time.Duration(float64(took)/max(1, loadRatio)))
}

// readmit ends the trial of an upstream that was ejected.
func (e *entry) readmit(now time.Time) {
	e.readmittedAt = now
	e.ejections = 0
	e.ejectedUntil = time.Time{}
}

// sample adds a service time to the moving average. It restarts the average if the last sample is older than serviceTimeTTL.
func (e *entry) sample(now time.Time, sample time.Duration) {
	if e.avgService == 0 || now.Sub(e.sampledAt) > serviceTimeTTL {
		e.avgService = sample
	} else {
		e.avgService += time.Duration(serviceWeight * float64(sample-e.avgService))
	}
	e.sampledAt = now
}

// recordFailure counts a failure and reports whether the upstream should be ejected: after failuresToEject consecutive failures, or after any failure if it has not succeeded since its last ejection.
// An abandoned attempt would have taken even longer, so its duration is sampled if it is above the average.
func (e *entry) recordFailure(now time.Time, took, expected time.Duration) bool {
	if took > e.serviceTime(now, expected) {
		e.sample(now, took)
	}
	e.consecutiveFailures++
	return e.consecutiveFailures >= failuresToEject || e.ejections > 0
}

func (e *entry) eject(now time.Time) {
	duration := min(minEjection<<min(e.ejections, 5), maxEjection)
	e.ejections++
	e.consecutiveFailures = 0
	e.ejectedUntil = now.Add(duration)
}
