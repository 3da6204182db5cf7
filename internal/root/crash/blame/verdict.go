package blame

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

const (
	// crashLimit is the number of crashes that block a fingerprint which no upstream is known to have survived.
	crashLimit = 3
	// survivedLimit is the number of crashes that block a fingerprint which upstreams have survived before. Crashes within simultaneous of each other then count once, as one event such as a loss of power can end many upstreams.
	survivedLimit = 5
	simultaneous  = 100 * time.Millisecond
	// suspectLimit is the number of crashes from which on all hosts are asked for survivals of a fingerprint.
	suspectLimit = 2
	// burstGap is the least time between a crash and the next one for that to be the outcome of a trial, and not of a request that was in progress as the part was blocked.
	burstGap = 5 * time.Second
	// firstTrial is the time after the last crash at which one more request with a blocked part may be sent. Each further trial comes trialFactor times later, up to maxTrial.
	firstTrial  = 10 * time.Second
	trialFactor = 3
	maxTrial    = 15 * time.Minute
	// severalBlockedDelay is how much later a request is tried that has several blocked parts, as its crash would not show which of them is at fault.
	severalBlockedDelay = 30 * time.Second
)

// Block is a fingerprint that crashes upstreams.
type Block struct {
	Fingerprint crash.Fingerprint
	// Companions are the fingerprints that all requests with Fingerprint under the crashes had. Requests without one of them are not blocked, as they may be sound.
	Companions []crash.Fingerprint
	Crashes    int
	LastCrash  time.Time
	// trials is the number of crashes that came burstGap or more after the one before.
	trials int
}

// interval returns the time from the last crash to the next trial.
func (b Block) interval() time.Duration {
	d := firstTrial
	for range b.trials {
		d = min(maxTrial, d*trialFactor)
	}
	return d
}

// TrialAt returns the time from which on one more request may be sent.
func (b Block) TrialAt() time.Time {
	return b.LastCrash.Add(b.interval())
}

// NextTrial returns the time from which on another request may be sent if one was sent at the given time and its outcome is not known.
func (b Block) NextTrial(last time.Time) time.Time {
	if at := last.Add(b.interval()); at.After(b.TrialAt()) {
		return at
	}
	return b.TrialAt()
}

// Verdict holds what is blocked. It is immutable.
type Verdict struct {
	blocks map[crash.Fingerprint]Block
}

// Blocks returns the blocks that apply to the request.
func (v Verdict) Blocks(r Request) []Block {
	if len(v.blocks) == 0 {
		return nil
	}
	var out []Block
	for _, f := range r.Fingerprints() {
		if b, ok := v.blocks[f]; ok && r.hasAll(b.Companions) {
			out = append(out, b)
		}
	}
	return out
}

// TrialAt returns the time from which on the request may be tried, or false if it is not tried again. A request as a whole is not: nothing else would run if it were found to be sound.
func TrialAt(r Request, blocks []Block) (time.Time, bool) {
	var at time.Time
	for _, b := range blocks {
		if b.Fingerprint == r.Own {
			return time.Time{}, false
		}
		if t := b.TrialAt(); t.After(at) {
			at = t
		}
	}
	if len(blocks) > 1 {
		at = at.Add(severalBlockedDelay)
	}
	return at, true
}

// Block returns the block of a fingerprint, or false if it is not blocked.
func (v Verdict) Block(f crash.Fingerprint) (Block, bool) {
	b, ok := v.blocks[f]
	return b, ok
}

// Fingerprints returns the blocked fingerprints in ascending order.
func (v Verdict) Fingerprints() []crash.Fingerprint {
	return slices.Sorted(maps.Keys(v.blocks))
}

// Verdict returns what the evidence blocks. The fingerprint with the most crashes comes first, those that upstreams never survived before the others, and those that late crashes block last. It then explains its crashes, which no longer count against what else was in progress there.
func (e *Evidence) Verdict() Verdict {
	v := Verdict{
		blocks: map[crash.Fingerprint]Block{},
	}
	open := slices.Clone(e.crashes)
	for {
		found := e.strongest(open)
		if len(found) == 0 {
			found = e.strongestLate(open)
		}
		if len(found) == 0 {
			return v
		}
		for _, f := range found {
			v.blocks[f] = e.block(f)
		}
		open = slices.DeleteFunc(open, func(c Crash) bool { return e.explained(c, found) })
	}
}

// explained reports whether a request of the crash has one of the fingerprints, and the crash counts against it.
func (e *Evidence) explained(c Crash, by []crash.Fingerprint) bool {
	for _, f := range by {
		if with := e.against(c, f); len(with.Requests)+len(with.Late) > 0 {
			return true
		}
	}
	return false
}

// strongest returns the fingerprints that reach their limit and have the most crashes, those that upstreams never survived before the others.
func (e *Evidence) strongest(open []Crash) []crash.Fingerprint {
	var out []crash.Fingerprint
	most := 0
	outSurvived := false
	for f, times := range e.crashTimes(open) {
		_, survived := e.survivals.last(f)
		n := countOf(times, survived)
		if n < limitOf(survived) {
			continue
		}
		stronger := len(out) == 0 || (outSurvived && !survived) || (outSurvived == survived && n > most)
		switch {
		case stronger:
			out = []crash.Fingerprint{f}
			most = n
			outSurvived = survived
		case outSurvived == survived && n == most:
			out = append(out, f)
		}
	}
	return out
}

// crashTimes returns the times of the crashes that count against each fingerprint.
func (e *Evidence) crashTimes(open []Crash) map[crash.Fingerprint][]time.Time {
	out := map[crash.Fingerprint][]time.Time{}
	for _, c := range open {
		seen := map[crash.Fingerprint]bool{}
		for _, r := range c.Requests {
			for _, f := range r.Fingerprints() {
				if !seen[f] && e.counts(c, f) {
					out[f] = append(out[f], c.At)
				}
				seen[f] = true
			}
		}
	}
	return out
}

// lateCrashTimes adds to the times of crashes those of late ones.
func (e *Evidence) lateCrashTimes(times map[crash.Fingerprint][]time.Time) {
	for _, c := range e.crashes {
		for _, r := range c.Late {
			if e.countsLate(c, r.Own) {
				times[r.Own] = append(times[r.Own], c.At)
			}
		}
	}
}

func limitOf(survived bool) int {
	if survived {
		return survivedLimit
	}
	return crashLimit
}

// countOf counts crashes by their times, which are in ascending order.
func countOf(times []time.Time, survived bool) int {
	if !survived {
		return len(times)
	}
	n := 0
	var last time.Time
	for _, t := range times {
		if n == 0 || t.Sub(last) >= simultaneous {
			n++
			last = t
		}
	}
	return n
}

// block returns the block of a fingerprint from all crashes that count against it.
func (e *Evidence) block(f crash.Fingerprint) Block {
	against := e.Against(f)
	b := Block{
		Fingerprint: f,
		Crashes:     len(against),
	}
	first := true
	for _, c := range against {
		if !first && c.At.Sub(b.LastCrash) >= burstGap {
			b.trials++
		}
		b.LastCrash = c.At
		for _, r := range inProgress(c.Requests, c.Late) {
			if first {
				b.Companions = slices.DeleteFunc(r.Fingerprints(), func(o crash.Fingerprint) bool { return o == f })
				first = false
				continue
			}
			b.Companions = slices.DeleteFunc(b.Companions, func(o crash.Fingerprint) bool { return !r.has(o) })
		}
	}
	return b
}

// Suspects returns the fingerprints with so many crashes that further survivals of them are worth knowing, in ascending order.
func (e *Evidence) Suspects() []crash.Fingerprint {
	var out []crash.Fingerprint
	all := e.crashTimes(e.crashes)
	e.lateCrashTimes(all)
	for f, times := range all {
		if len(times) >= suspectLimit {
			out = append(out, f)
		}
	}
	for f := range lastLateCrashes(e.crashes) {
		if len(all[f]) >= suspectLimit {
			out = append(out, WholeFingerprint(f))
		}
	}
	slices.Sort(out)
	return out
}
