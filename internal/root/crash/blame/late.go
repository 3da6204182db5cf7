package blame

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

const (
	// lateAfter is how long an upstream must have been sending a response for a crash to be a late one. The parts of the prompt have been read by then, so that only the request as a whole can be to blame.
	lateAfter = time.Second
	// chanceWindow is the time before the last crash of a request in which other crashes show how often upstreams crash without it.
	chanceWindow = 30 * time.Second
	// maxChance is how likely it may be at the most that one of the requests under late crashes was in progress at all of its crashes by chance, for it to be blocked.
	maxChance = 1e-5
)

// LateRun is a request as a whole that an upstream had been answering for a while when it crashed.
type LateRun struct {
	Own crash.Fingerprint `json:"own"`
	// RanMS is for how long the upstream had been answering, in milliseconds.
	RanMS int64 `json:"ran_ms"`
}

// UnmarshalJSON decodes a run and checks its fingerprint and its time.
func (r *LateRun) UnmarshalJSON(b []byte) error {
	type plain LateRun
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode late run: %w", err)
	}
	if p.Own == 0 || p.RanMS < 0 {
		return fmt.Errorf("check late run: %w", ErrInvalidRequest)
	}
	*r = LateRun(p)
	return nil
}

// lateRun returns the late run of a request, or false if it had none at the crash.
func (c Crash) lateRun(f crash.Fingerprint) (LateRun, bool) {
	i := slices.IndexFunc(c.Late, func(r LateRun) bool { return r.Own == f })
	if i < 0 {
		return LateRun{}, false
	}
	return c.Late[i], true
}

// WholeFingerprint returns the fingerprint that stands for responses to a request that were whole. Upstreams survive it only by these, and the request itself also by a response that goes on for a while.
func WholeFingerprint(own crash.Fingerprint) crash.Fingerprint {
	return own ^ 1<<63 ^ 0x5bd1e995
}

// Whole returns the request as it is survived by a response that is whole.
func (r Request) Whole() Request {
	r.Parts = append(slices.Clone(r.Parts), WholeFingerprint(r.Own))
	return r
}

// countsLate reports whether the crash counts against a request as a whole that was in progress there, late or not: the upstream did crash, and none has answered the request whole since.
func (e *Evidence) countsLate(c Crash, f crash.Fingerprint) bool {
	return e.counts(c, WholeFingerprint(f))
}

// inProgress returns the requests of a crash, late runs as requests without parts.
func inProgress(requests []Request, late []LateRun) []Request {
	out := slices.Clone(requests)
	for _, r := range late {
		out = append(out, Request{
			Own: r.Own,
		})
	}
	return out
}

// hit is a crash that counts against a request as a whole, late or not.
type hit struct {
	at       time.Time
	ran      time.Duration
	late     bool
	poolSize int
}

// hitsOf returns the crashes that count against the request as a whole. Of those within simultaneous of each other, the one after the longest run stands for all.
func (e *Evidence) hitsOf(open []Crash, f crash.Fingerprint) []hit {
	var out []hit
	for _, c := range open {
		h, ok := c.hit(f)
		switch last := len(out) - 1; {
		case !ok || !e.countsLate(c, f):
		case last >= 0 && h.at.Sub(out[last].at) < simultaneous:
			out[last].ran = max(out[last].ran, h.ran)
			out[last].late = out[last].late || h.late
		default:
			out = append(out, h)
		}
	}
	return out
}

// hit returns how the crash hit the request as a whole, or false if that was not in progress.
func (c Crash) hit(f crash.Fingerprint) (hit, bool) {
	h := hit{
		at:       c.At,
		ran:      lateAfter,
		poolSize: max(1, c.PoolSize),
	}
	if r, ok := c.lateRun(f); ok {
		h.ran = time.Duration(r.RanMS) * time.Millisecond
		h.late = true
		return h, true
	}
	return h, slices.ContainsFunc(c.Requests, func(r Request) bool { return r.Own == f })
}

// strongestLate returns the requests as a whole that late crashes block, those with the most crashes. A long run is likely to be in progress at a crash for another reason, so the crashes must be unlikely to have come together by chance.
func (e *Evidence) strongestLate(open []Crash) []crash.Fingerprint {
	var out []crash.Fingerprint
	most := 0
	last := lastLateCrashes(open)
	for f, n := range e.countHits(open, last) {
		if n < crashLimit {
			continue
		}
		hits := e.hitsOf(open, f)
		_, survived := e.survivals.last(WholeFingerprint(f))
		if len(hits) < limitOf(survived) || len(hits) < most || chanceOf(hits, open)*candidates(last, f) > maxChance {
			continue
		}
		if len(hits) > most {
			most = len(hits)
			out = nil
		}
		out = append(out, f)
	}
	slices.Sort(out)
	return out
}

// lastLateCrashes returns the requests under late crashes, each with the time of its last one.
func lastLateCrashes(open []Crash) map[crash.Fingerprint]time.Time {
	out := map[crash.Fingerprint]time.Time{}
	for _, c := range open {
		for _, r := range c.Late {
			out[r.Own] = c.At
		}
	}
	return out
}

// countHits returns how many crashes count against each of the requests as a whole.
func (e *Evidence) countHits(open []Crash, of map[crash.Fingerprint]time.Time) map[crash.Fingerprint]int {
	out := map[crash.Fingerprint]int{}
	for _, c := range open {
		for _, r := range inProgress(c.Requests, c.Late) {
			if _, ok := of[r.Own]; ok && e.countsLate(c, r.Own) {
				out[r.Own]++
			}
		}
	}
	return out
}

// candidates returns how many requests were under late crashes within chanceWindow of the last one of the request: the more there are, the more likely is it that one of them was hit by chance.
func candidates(last map[crash.Fingerprint]time.Time, f crash.Fingerprint) float64 {
	n := 0
	for _, at := range last {
		if at.Sub(last[f]).Abs() < chanceWindow {
			n++
		}
	}
	return float64(n)
}

// chanceOf returns how likely it is that a sound request was in progress at all of its crashes: the chance that an upstream crashes for another reason within the time of each run.
func chanceOf(hits []hit, open []Crash) float64 {
	last := hits[len(hits)-1].at
	others := 0
	for _, c := range open {
		isHit := slices.ContainsFunc(hits, func(h hit) bool { return c.At.Sub(h.at).Abs() < simultaneous })
		if !isHit && !c.At.After(last) && last.Sub(c.At) < chanceWindow {
			others++
		}
	}
	chance := 1.0
	for _, h := range hits {
		perSecond := float64(others+1) / (float64(h.poolSize) * chanceWindow.Seconds())
		chance *= min(1, perSecond*h.ran.Seconds())
	}
	return chance
}

// addLate adds late runs to the crash with the index, and reports whether one of them was new.
func (e *Evidence) addLate(i int, list []LateRun) bool {
	changed := false
	for _, r := range list {
		if _, known := e.crashes[i].lateRun(r.Own); known || len(e.crashes[i].Late) >= MaxRequests {
			continue
		}
		e.crashes[i].Late = append(e.crashes[i].Late, r)
		changed = true
	}
	return changed
}
