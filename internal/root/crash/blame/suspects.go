package blame

import (
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

const (
	// maxSuspectCrashes is the maximum number of crashes that are kept for suspects. The latest ones are kept.
	maxSuspectCrashes = 32
	// suspectsSaveTime is the least time between two saves of suspects of which no upstream has crashed meanwhile.
	suspectsSaveTime = 10 * time.Second
)

// suspicion is one request that was in progress at a crash.
type suspicion struct {
	upstream string
	own      crash.Fingerprint
}

// savedSuspects is what was last saved of suspects.
type savedSuspects struct {
	at         time.Time
	suspicions map[suspicion]bool
}

// suspected returns the latest crashes that nothing blocked explains, each with only those of its requests against which it counts.
func (e *Evidence) suspected(v Verdict) []Crash {
	blocked := v.Fingerprints()
	var out []Crash
	for _, c := range slices.Backward(e.crashes) {
		if len(out) == maxSuspectCrashes {
			break
		}
		if e.refuted(c) || e.explained(c, blocked) {
			continue
		}
		kept := Crash{
			Upstream: c.Upstream,
			At:       c.At,
			Requests: slices.DeleteFunc(slices.Clone(c.Requests), func(r Request) bool { return !e.countsAgainst(c, r) }),
			Late:     slices.DeleteFunc(slices.Clone(c.Late), func(r LateRun) bool { return !e.countsLate(c, r.Own) }),
			PoolSize: c.PoolSize,
		}
		if len(kept.Requests)+len(kept.Late) > 0 {
			out = append(out, kept)
		}
	}
	return out
}

// countsAgainst reports whether the crash counts against a fingerprint of the request.
func (e *Evidence) countsAgainst(c Crash, r Request) bool {
	return slices.ContainsFunc(r.Fingerprints(), func(f crash.Fingerprint) bool { return e.counts(c, f) })
}

// Suspects returns what is known of requests that have crashed upstreams and are not blocked yet: the crashes, and the survivals of what was in progress there. What is lost with all hosts would else begin at none again.
func (l *Ledger) Suspects(now time.Time) Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes := l.evidence.suspected(l.verdict)
	return NewUpdate(now, crashes, l.evidence.Survivals(withMostFrequent(nil, crashes)))
}

// TakeSuspectsChange reports whether Suspects is to be saved: a crash has been added since it was last saved, or has ceased to count some time after that. It counts them as saved then.
func (l *Ledger) TakeSuspectsChange(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := map[suspicion]bool{}
	added := false
	for _, c := range l.evidence.suspected(l.verdict) {
		for _, r := range inProgress(c.Requests, c.Late) {
			s := suspicion{
				upstream: c.Upstream,
				own:      r.Own,
			}
			current[s] = true
			added = added || !l.saved.suspicions[s]
		}
	}
	removed := len(current) < len(l.saved.suspicions) && now.Sub(l.saved.at) >= suspectsSaveTime
	if !added && !removed {
		return false
	}
	l.saved = savedSuspects{
		at:         now,
		suspicions: current,
	}
	return true
}
