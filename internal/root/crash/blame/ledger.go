package blame

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

const (
	// watchTime is how long survivals of a suspect are told to the hosts that count crashes, and how long the answers of a survey hold.
	watchTime = time.Minute
	// maxToldCrashes is how many crashes that count against a fingerprint other hosts are told, and maxToldRequests how many requests of each. They bound the size of a message.
	maxToldCrashes  = 16
	maxToldRequests = 16
	// maxToldSurvivals is the maximum number of fingerprints of these requests whose survivals are told.
	maxToldSurvivals = 256
	// maxWatched is the maximum number of suspects that a host watches.
	maxWatched = 4096
	// untoldTime is how long a change of the verdict waits to be told. Only the hosts that collect crashes tell changes, so it bounds what the others keep.
	untoldTime = 10 * time.Second
)

// watch is a suspect whose survivals other hosts want to know.
type watch struct {
	until time.Time
	told  time.Time
}

// Ledger holds the evidence of one host, the verdict that follows from it, and what other hosts want to know. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	evidence *Evidence
	verdict  Verdict
	watched  map[crash.Fingerprint]watch
	surveyed map[crash.Fingerprint]time.Time
	// untold holds the fingerprints whose blocks have changed since the last TakeUntold, with the times of the changes.
	untold  map[crash.Fingerprint]time.Time
	permits map[crash.Fingerprint]time.Time
	trials  int
	saved   savedSuspects
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		evidence: NewEvidence(),
		watched:  map[crash.Fingerprint]watch{},
		surveyed: map[crash.Fingerprint]time.Time{},
		untold:   map[crash.Fingerprint]time.Time{},
		permits:  map[crash.Fingerprint]time.Time{},
	}
}

// Merge adds what another host tells. It changes the verdict only with the next Assess.
func (l *Ledger) Merge(now time.Time, u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evidence.Merge(now, u)
}

// Unrefuted returns the crashes after the given time of starts of upstreams that are not known to have run on.
func (l *Ledger) Unrefuted(since time.Time) []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evidence.Unrefuted(since)
}

// AddAlive records that the start of an upstream was running at the given time, and reports whether a crash counts no longer. It changes the verdict only with the next Assess.
func (l *Ledger) AddAlive(upstream string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evidence.AddAlive(upstream, at)
}

// Survived records that an upstream survived the request. It returns the survivals that other hosts want to know, each at most once per interval.
func (l *Ledger) Survived(now time.Time, r Request, interval time.Duration) []Survival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Survival
	for _, f := range r.Fingerprints() {
		s := Survival{
			Fingerprint: f,
			At:          now,
		}
		l.evidence.AddSurvival(s)
		w, ok := l.watched[f]
		_, blocked := l.verdict.Block(f)
		if !blocked && (!ok || now.After(w.until)) || now.Sub(w.told) < interval {
			continue
		}
		w.told = now
		l.watched[f] = w
		out = append(out, s)
	}
	return out
}

// Watch makes Survived return the survivals of the fingerprints for watchTime.
func (l *Ledger) Watch(now time.Time, list []crash.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch(now, list)
}

func (l *Ledger) watch(now time.Time, list []crash.Fingerprint) {
	if len(l.watched)+len(list) > maxWatched {
		for f, w := range l.watched {
			if now.After(w.until) {
				delete(l.watched, f)
			}
		}
	}
	for _, f := range list {
		w, ok := l.watched[f]
		if !ok && len(l.watched) >= maxWatched {
			return
		}
		w.until = now.Add(watchTime)
		l.watched[f] = w
	}
}

// DueSurvey returns the suspects of which the survivals on other hosts are not known, and counts them as asked for. This host watches them too.
func (l *Ledger) DueSurvey(now time.Time) []crash.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, at := range l.surveyed {
		if now.Sub(at) >= watchTime {
			delete(l.surveyed, f)
		}
	}
	var out []crash.Fingerprint
	for _, f := range l.evidence.Suspects() {
		if _, ok := l.surveyed[f]; !ok {
			l.surveyed[f] = now
			out = append(out, f)
		}
	}
	l.watch(now, out)
	return out
}

// Survivals returns the known survivals of the fingerprints.
func (l *Ledger) Survivals(now time.Time, list []crash.Fingerprint) Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	return NewUpdate(now, nil, l.evidence.Survivals(list))
}

// Assess draws the verdict from the evidence. It returns the blocks that are new or have more crashes, and the fingerprints that are no longer blocked.
func (l *Ledger) Assess(now time.Time) (blocked []Block, lifted []crash.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.verdict
	l.verdict = l.evidence.Verdict()
	for _, f := range l.verdict.Fingerprints() {
		b, _ := l.verdict.Block(f)
		if before, ok := old.Block(f); !ok || before.Crashes != b.Crashes || !slices.Equal(before.Companions, b.Companions) {
			blocked = append(blocked, b)
			l.untold[f] = now
		}
	}
	for _, f := range old.Fingerprints() {
		if _, ok := l.verdict.Block(f); !ok {
			lifted = append(lifted, f)
			l.untold[f] = now
			delete(l.permits, f)
		}
	}
	l.forgetUntold(now)
	return blocked, lifted
}

func (l *Ledger) forgetUntold(now time.Time) {
	for f, at := range l.untold {
		if now.Sub(at) >= untoldTime {
			delete(l.untold, f)
		}
	}
}

// TakeUntold returns the fingerprints whose blocks have changed within untoldTime and since the last call, in ascending order. A change may have been found by an Assess for a message of another host, so what one Assess returns is not all there is to tell.
func (l *Ledger) TakeUntold(now time.Time) []crash.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetUntold(now)
	out := slices.Sorted(maps.Keys(l.untold))
	clear(l.untold)
	return out
}

// Blocks returns the blocks that apply to the request.
func (l *Ledger) Blocks(r Request) []Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdict.Blocks(r)
}

// Blocked returns the blocked fingerprints.
func (l *Ledger) Blocked() []crash.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdict.Fingerprints()
}

// BlockedAmong returns the fingerprints of the update's crashes that are blocked.
func (l *Ledger) BlockedAmong(u Update) []crash.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []crash.Fingerprint
	for _, c := range u.Crashes {
		for _, r := range inProgress(c.Requests, c.Late) {
			for _, b := range l.verdict.Blocks(r) {
				if !slices.Contains(out, b.Fingerprint) {
					out = append(out, b.Fingerprint)
				}
			}
		}
	}
	return out
}

// Evidence returns what is known of the fingerprints: the latest crashes, with some of their requests, and the survivals of all that these have. A host that does not know them would blame a sound part beside the one that crashes upstreams.
func (l *Ledger) Evidence(now time.Time, list []crash.Fingerprint) Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	var crashes []Crash
	for _, f := range list {
		against := l.evidence.Against(f)
		for _, c := range against[max(0, len(against)-maxToldCrashes):] {
			c.Requests = c.Requests[:min(len(c.Requests), maxToldRequests)]
			crashes = append(crashes, c)
		}
	}
	return NewUpdate(now, crashes, l.evidence.Survivals(withMostFrequent(list, crashes)))
}

// withMostFrequent returns the list, followed by further fingerprints of the crashes, those of the most requests first, up to maxToldSurvivals.
func withMostFrequent(list []crash.Fingerprint, crashes []Crash) []crash.Fingerprint {
	counts := map[crash.Fingerprint]int{}
	for _, c := range crashes {
		for _, r := range c.Requests {
			for _, f := range r.Fingerprints() {
				counts[f]++
			}
		}
		for _, r := range c.Late {
			counts[r.Own]++
			counts[WholeFingerprint(r.Own)]++
		}
	}
	for _, f := range list {
		delete(counts, f)
	}
	more := slices.SortedFunc(maps.Keys(counts), func(a, b crash.Fingerprint) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return append(slices.Clone(list), more[:min(len(more), maxToldSurvivals)]...)
}

// GrantTrial reports whether one more request with a blocked fingerprint may be sent now, and counts it as sent.
func (l *Ledger) GrantTrial(now time.Time, f crash.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.verdict.Block(f)
	if !ok || now.Before(b.NextTrial(l.permits[f])) {
		return false
	}
	l.permits[f] = now
	l.trials++
	return true
}

// Stats holds counts for the metrics.
type Stats struct {
	// Blocked is the number of fingerprints that are blocked now, and Trials how often this host allowed one more request with one of them.
	Blocked int
	Trials  int
}

// Stats returns the counts.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{
		Blocked: len(l.verdict.blocks),
		Trials:  l.trials,
	}
}
