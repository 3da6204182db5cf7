package blame

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

const (
	// retention is how long a crash is remembered.
	retention = 2 * time.Hour
	// sameCrashWindow is the time within which hosts that report the crash of the same start of an upstream mean the same crash.
	sameCrashWindow = 5 * time.Second
	// maxCrashes is the maximum number of crashes that are remembered. The oldest ones are forgotten first.
	maxCrashes = 256
)

// Evidence holds the crashes and the survivals that a host knows of. Merging the same update again changes nothing, and the order of updates does not matter. It is not safe for concurrent use.
type Evidence struct {
	crashes   []Crash
	survivals survivals
	// alive holds the last time at which each start of an upstream that was thought to have crashed is known to have been running.
	alive map[string]time.Time
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{
		alive: map[string]time.Time{},
	}
}

// Merge adds what another host tells, and reports whether anything in it was new.
func (e *Evidence) Merge(now time.Time, u Update) bool {
	changed := false
	for _, c := range u.Crashes {
		changed = e.AddCrash(now, Crash{
			Upstream: c.Upstream,
			At:       now.Add(-time.Duration(c.AgeMS) * time.Millisecond),
			Requests: c.Requests,
			Late:     c.Late,
			PoolSize: c.PoolSize,
		}) || changed
	}
	for _, s := range u.Survivals {
		changed = e.AddSurvival(Survival{
			Fingerprint: s.Fingerprint,
			At:          now.Add(-time.Duration(s.AgeMS) * time.Millisecond),
		}) || changed
	}
	return changed
}

// AddCrash adds a crash, or its requests if the crash itself is known. It reports whether anything was new.
func (e *Evidence) AddCrash(now time.Time, c Crash) bool {
	if now.Sub(c.At) >= retention {
		return false
	}
	for i, known := range e.crashes {
		if known.Upstream == c.Upstream && known.At.Sub(c.At).Abs() < sameCrashWindow {
			return e.addRuns(i, c)
		}
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(old Crash) bool { return now.Sub(old.At) >= retention })
	e.crashes = append(e.crashes, Crash{
		Upstream: c.Upstream,
		At:       c.At,
	})
	e.addRuns(len(e.crashes)-1, c)
	slices.SortStableFunc(e.crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream))
	})
	e.crashes = e.crashes[max(0, len(e.crashes)-maxCrashes):]
	return true
}

// addRuns adds what was in progress to the crash with the index, and reports whether something was new.
func (e *Evidence) addRuns(i int, c Crash) bool {
	e.crashes[i].PoolSize = max(e.crashes[i].PoolSize, c.PoolSize)
	late := e.addLate(i, c.Late)
	return e.addRequests(i, c.Requests) || late
}

// addRequests adds requests to the crash with the index, and reports whether one of them was new.
func (e *Evidence) addRequests(i int, list []Request) bool {
	changed := false
	for _, r := range list {
		known := slices.ContainsFunc(e.crashes[i].Requests, func(o Request) bool { return o.Own == r.Own && slices.Equal(o.Parts, r.Parts) })
		if known || len(e.crashes[i].Requests) >= MaxRequests {
			continue
		}
		e.crashes[i].Requests = append(e.crashes[i].Requests, r)
		changed = true
	}
	return changed
}

// AddAlive records that the start of an upstream was running at the given time, so that it had not crashed before. It reports whether a crash counts no longer.
func (e *Evidence) AddAlive(upstream string, at time.Time) bool {
	changed := false
	for _, c := range e.crashes {
		if c.Upstream == upstream && !c.At.After(at) && !e.refuted(c) {
			changed = true
		}
	}
	if changed {
		e.alive[upstream] = at
	}
	e.forgetAlive()
	return changed
}

// forgetAlive forgets the starts of which no crash is remembered.
func (e *Evidence) forgetAlive() {
	for upstream := range e.alive {
		if !slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.Upstream == upstream }) {
			delete(e.alive, upstream)
		}
	}
}

// refuted reports whether the upstream is known to have run on after the crash.
func (e *Evidence) refuted(c Crash) bool {
	at, ok := e.alive[c.Upstream]
	return ok && !c.At.After(at)
}

// Unrefuted returns the crashes after the given time of starts of upstreams that are not known to have run on.
func (e *Evidence) Unrefuted(since time.Time) []Crash {
	var out []Crash
	for _, c := range e.crashes {
		if c.At.After(since) && !e.refuted(c) {
			out = append(out, c)
		}
	}
	return out
}

// AddSurvival records a survival, and reports whether it is later than the one that was known.
func (e *Evidence) AddSurvival(s Survival) bool {
	return e.survivals.add(s)
}

// Survivals returns the known survivals of the fingerprints.
func (e *Evidence) Survivals(list []crash.Fingerprint) []Survival {
	var out []Survival
	for _, f := range list {
		if at, ok := e.survivals.last(f); ok {
			out = append(out, Survival{
				Fingerprint: f,
				At:          at,
			})
		}
	}
	return out
}

// Against returns the crashes that count against the fingerprint, each with only those of its requests that have the fingerprint.
func (e *Evidence) Against(f crash.Fingerprint) []Crash {
	var out []Crash
	for _, c := range e.crashes {
		if with := e.against(c, f); len(with.Requests)+len(with.Late) > 0 {
			out = append(out, with)
		}
	}
	return out
}

// against returns the crash with only those of its requests that have the fingerprint and against which it counts.
func (e *Evidence) against(c Crash, f crash.Fingerprint) Crash {
	out := Crash{
		Upstream: c.Upstream,
		At:       c.At,
		PoolSize: c.PoolSize,
	}
	if r, ok := c.lateRun(f); ok && e.countsLate(c, f) {
		out.Late = append(out.Late, r)
	}
	if !e.counts(c, f) {
		return out
	}
	for _, r := range c.Requests {
		if r.has(f) {
			out.Requests = append(out.Requests, r)
		}
	}
	return out
}

// counts reports whether the crash counts against a fingerprint that one of its requests has: the upstream did crash, and none has survived the fingerprint since.
func (e *Evidence) counts(c Crash, f crash.Fingerprint) bool {
	if e.refuted(c) {
		return false
	}
	at, ok := e.survivals.last(f)
	return !ok || c.At.After(at)
}
