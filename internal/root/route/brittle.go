package route

import (
	"math/rand/v2"
	"time"
)

const (
	// probeMargin is how much longer than needed hosts wait on average between two requests to a brittle upstream that is not known to have room, as their requests may still meet.
	probeMargin = 4
	// maxProbePause bounds the time between two such requests.
	maxProbePause = time.Minute
	// slotHoldTime is for how long a host may use the slot of its request that has ended. After it, other hosts learn of the slot.
	slotHoldTime = 60 * time.Millisecond
	// rejectionPause is for how long after a rejection a host leaves its free slots to others, as they have more requests than there is room for.
	rejectionPause = time.Second
	// freshReport is the age up to which a report shows that there is room if an eighth of the slots is free. Of an older one a quarter must be.
	freshReport = 300 * time.Millisecond
)

// SetBrittle sets how many requests per second an upstream can turn away for want of room, from all hosts together, without falling over. 0 means any number.
func (t *Table) SetBrittle(i Incarnation, perSecond int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byName[i.Name]; ok && e.up.Incarnation() == i {
		e.brittle = perSecond
	}
}

// RecordFull ends an attempt that Pick counted, as the upstream turned the request away for want of room.
func (t *Table) RecordFull(now time.Time, name string) {
	t.Release(now, name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byName[name]; ok && e.brittle > 0 {
		e.rejectedAt = now
		e.postponeProbe(now, t.hosts)
	}
}

// postponeProbe determines when this host next sends a request to the brittle upstream that may be turned away. All hosts together then send no more of them than it can bear.
func (e *entry) postponeProbe(now time.Time, hosts int) {
	mean := time.Duration(probeMargin * float64(hosts) / float64(e.brittle) * float64(time.Second))
	pause := mean/2 + rand.N(mean)
	e.probeAt = now.Add(min(pause, maxProbePause))
}

// isFull reports whether a brittle upstream is not known to have room for another request of this host, and no probe of it is due.
func (e *entry) isFull(now time.Time, hosts int) bool {
	return e.exceedsKnownRoom(now, hosts) && now.Before(e.probeAt)
}

// exceedsKnownRoom reports whether another request of this host may be turned away by a brittle upstream.
func (e *entry) exceedsKnownRoom(now time.Time, hosts int) bool {
	return e.brittle > 0 && e.inFlight >= e.knownRoom(now, hosts)
}

// knownRoom returns how many requests this host may have in flight at the upstream by its last report: those that it had besides the one that ended with the report, and its part of the free slots; for a moment also the slot of that one, and one more if there is much room.
func (e *entry) knownRoom(now time.Time, hosts int) int {
	age := now.Sub(e.reportAt)
	if e.reportAt.IsZero() || age > reportTTL {
		return 0
	}
	free := max(0, e.report.Slots-e.report.Busy-e.report.Queued)
	room := e.inFlightAtReport - 1 + free/hosts
	if now.Sub(e.slotFreedAt) < slotHoldTime && now.Sub(e.rejectedAt) > rejectionPause {
		room++
	}
	enough := max(2, e.report.Slots/8)
	if age > freshReport {
		enough = max(2, e.report.Slots/4)
	}
	if free >= enough {
		room++
	}
	return max(0, room)
}

// inheritBrittle makes new upstreams of a pool as brittle as the others, as they have not said yet what they are.
func (p *pool) inheritBrittle(now time.Time, hosts int, added []*entry) {
	least := 0
	for _, e := range p.entries {
		if e.brittle > 0 && (least == 0 || e.brittle < least) {
			least = e.brittle
		}
	}
	if least == 0 {
		return
	}
	for _, e := range added {
		e.brittle = least
		e.postponeProbe(now, hosts)
	}
}
