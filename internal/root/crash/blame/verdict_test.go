package blame

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

var start = time.Unix(1000, 0)

// at returns a time in seconds after start.
func at(s float64) time.Time {
	return start.Add(time.Duration(s * float64(time.Second)))
}

// req returns a request whose own fingerprint is 1000 plus own, with the parts.
func req(own int, parts ...crash.Fingerprint) Request {
	return Request{
		Own:   crash.Fingerprint(1000 + own),
		Parts: parts,
	}
}

// crashAt returns a crash at a time in seconds after start, of an upstream of its own.
func crashAt(s float64, requests ...Request) Crash {
	return Crash{
		Upstream: fmt.Sprintf("u%g", s),
		At:       at(s),
		Requests: requests,
	}
}

// Each row guards against one way to blame the wrong part, or none, for crashes under several requests (incident BUDGET).
func TestVerdictBlocksWhatCrashesUpstreams(t *testing.T) {
	const bad, first, other = 1, 2, 3
	scenarios := []struct {
		name     string
		crashes  []Crash
		survived []Survival
		blocked  []crash.Fingerprint
		passes   []Request
		stopped  []Request
	}{
		{name: "two crashes are too few", crashes: []Crash{crashAt(1, req(1, bad)), crashAt(2, req(2, bad))}, passes: []Request{req(3, bad)}},
		{name: "three crashes under one part", crashes: []Crash{crashAt(1, req(1, bad)), crashAt(2, req(2, bad)), crashAt(3, req(3, bad))}, blocked: []crash.Fingerprint{bad}, stopped: []Request{req(4, bad), req(5, other, bad)}, passes: []Request{req(6, other)}},
		{name: "one request sent three times", crashes: []Crash{crashAt(1, req(1)), crashAt(2, req(1)), crashAt(3, req(1))}, blocked: []crash.Fingerprint{1001}, stopped: []Request{req(1)}, passes: []Request{req(2)}},
		{name: "reports of several hosts about one crash", crashes: []Crash{crashAt(1, req(1, bad)), crashAt(1, req(2, bad)), crashAt(1, req(3, bad))}, passes: []Request{req(4, bad)}},
		{name: "sound requests beside it", crashes: []Crash{crashAt(1, req(1, bad), req(2, other)), crashAt(2, req(3, bad), req(4, other)), crashAt(3, req(5, bad))}, blocked: []crash.Fingerprint{bad}, stopped: []Request{req(6, bad)}, passes: []Request{req(7, other)}},
		{name: "the first part always goes with it, and no sound request has it", crashes: []Crash{crashAt(1, req(1, first, bad)), crashAt(2, req(2, first, bad)), crashAt(3, req(3, first, bad))}, blocked: []crash.Fingerprint{bad, first}, stopped: []Request{req(4, first, bad)}, passes: []Request{req(5, first, other), req(6, other, bad)}},
		{name: "the first part has been survived before", crashes: []Crash{crashAt(1, req(1, first, bad)), crashAt(2, req(2, first, bad)), crashAt(3, req(3, first, bad))}, survived: []Survival{{Fingerprint: first, At: at(0)}}, blocked: []crash.Fingerprint{bad}, stopped: []Request{req(4, first, bad)}, passes: []Request{req(5, first, other)}},
		{name: "survived after the crashes", crashes: []Crash{crashAt(1, req(1, bad)), crashAt(2, req(2, bad)), crashAt(3, req(3, bad))}, survived: []Survival{{Fingerprint: bad, At: at(4)}}, passes: []Request{req(4, bad)}},
		{name: "survived long ago, four crashes since", crashes: []Crash{crashAt(1, req(1, bad)), crashAt(2, req(2, bad)), crashAt(3, req(3, bad)), crashAt(4, req(4, bad))}, survived: []Survival{{Fingerprint: bad, At: at(0)}}, passes: []Request{req(5, bad)}},
		{name: "survived long ago, five crashes since", crashes: []Crash{crashAt(1, req(1, bad)), crashAt(2, req(2, bad)), crashAt(3, req(3, bad)), crashAt(4, req(4, bad)), crashAt(5, req(5, bad))}, survived: []Survival{{Fingerprint: bad, At: at(0)}}, blocked: []crash.Fingerprint{bad}, stopped: []Request{req(6, bad)}},
		{name: "a failure domain ends under a part that many share", crashes: []Crash{crashAt(1, req(1, first)), crashAt(1.01, req(2, first)), crashAt(1.02, req(3, first)), crashAt(1.03, req(4, first)), crashAt(1.04, req(5, first)), crashAt(1.05, req(6, first))}, survived: []Survival{{Fingerprint: first, At: at(0)}}, passes: []Request{req(7, first)}},
		{name: "two crashing parts", crashes: []Crash{crashAt(1, req(1, bad)), crashAt(2, req(2, other)), crashAt(3, req(3, bad)), crashAt(4, req(4, other)), crashAt(5, req(5, bad)), crashAt(6, req(6, other))}, blocked: []crash.Fingerprint{bad, other}, stopped: []Request{req(7, bad), req(8, other)}, passes: []Request{req(9, first)}},
	}
	for _, sc := range scenarios {
		Convey(sc.name, t, func() {
			e := NewEvidence()
			for _, s := range sc.survived {
				e.AddSurvival(s)
			}
			for _, c := range sc.crashes {
				e.AddCrash(c.At, c)
			}
			v := e.Verdict()
			if len(sc.blocked) == 0 {
				So(v.Fingerprints(), ShouldBeEmpty)
			} else {
				So(v.Fingerprints(), ShouldResemble, sc.blocked)
			}
			for _, r := range sc.passes {
				So(v.Blocks(r), ShouldBeEmpty)
			}
			for _, r := range sc.stopped {
				So(v.Blocks(r), ShouldNotBeEmpty)
			}
		})
	}
}

func TestTrialsOfBlockedParts(t *testing.T) {
	const bad, first = 1, 2
	Convey("Given a part that is blocked after three crashes within two seconds", t, func() {
		e := NewEvidence()
		for i := range 3 {
			c := crashAt(float64(i), req(i, bad))
			e.AddCrash(c.At, c)
		}
		Convey("the first trial is due after firstTrial, and each further one comes later", func() {
			last := at(2)
			wait := firstTrial
			for i := range 8 {
				v := e.Verdict()
				due, ok := TrialAt(req(10, bad), v.Blocks(req(10, bad)))
				So(ok, ShouldBeTrue)
				So(due, ShouldEqual, last.Add(wait))
				last = due
				wait = min(maxTrial, wait*trialFactor)
				c := Crash{
					Upstream: fmt.Sprintf("t%d", i),
					At:       due,
					Requests: []Request{req(20+i, bad)},
				}
				e.AddCrash(due, c)
			}
		})
		Convey("crashes of requests that were in progress delay the trial by no more than their own time", func() {
			e.AddCrash(at(2.5), crashAt(2.5, req(4, bad)))
			due, _ := TrialAt(req(10, bad), e.Verdict().Blocks(req(10, bad)))
			So(due, ShouldEqual, at(2.5).Add(firstTrial))
		})
		Convey("a trial that succeeds lifts the block, and one that is under way allows no second one", func() {
			l := NewLedger()
			now := at(2)
			l.Merge(now, NewUpdate(now, e.crashes, nil))
			l.Assess(now)
			So(l.GrantTrial(at(11), bad), ShouldBeFalse)
			So(l.GrantTrial(at(12), bad), ShouldBeTrue)
			So(l.GrantTrial(at(13), bad), ShouldBeFalse)
			So(l.GrantTrial(at(22), bad), ShouldBeTrue)
			So(l.Survived(at(23), req(10, bad), 0), ShouldHaveLength, 1)
			_, lifted := l.Assess(at(23))
			So(lifted, ShouldResemble, []crash.Fingerprint{bad})
			So(l.Blocks(req(11, bad)), ShouldBeEmpty)
			So(l.GrantTrial(at(40), bad), ShouldBeFalse)
		})
		Convey("a request with several blocked parts is tried later", func() {
			for i := range 3 {
				c := crashAt(float64(i)+0.5, req(10+i, first))
				e.AddCrash(c.At, c)
			}
			v := e.Verdict()
			due, ok := TrialAt(req(20, bad, first), v.Blocks(req(20, bad, first)))
			So(ok, ShouldBeTrue)
			So(due, ShouldEqual, at(2.5).Add(firstTrial+severalBlockedDelay))
		})
	})
	Convey("A request that is blocked as a whole is not tried", t, func() {
		e := NewEvidence()
		for i := range 3 {
			c := crashAt(float64(i), req(1))
			e.AddCrash(c.At, c)
		}
		_, ok := TrialAt(req(1), e.Verdict().Blocks(req(1)))
		So(ok, ShouldBeFalse)
	})
}

// naiveVerdict is Evidence.Verdict over plain lists, by repeated search.
func naiveVerdict(crashes []Crash, survived map[crash.Fingerprint]time.Time) []crash.Fingerprint {
	open := slices.Clone(crashes)
	var blocked []crash.Fingerprint
	for {
		var best []crash.Fingerprint
		bestScore := 0
		for f := crash.Fingerprint(1); f < 2000; f++ {
			n := 0
			var last time.Time
			lastSurvival, before := survived[f]
			for _, c := range open {
				if (before && !c.At.After(lastSurvival)) || !slices.ContainsFunc(c.Requests, func(r Request) bool { return r.has(f) }) {
					continue
				}
				if before && n > 0 && c.At.Sub(last) < simultaneous {
					continue
				}
				n++
				last = c.At
			}
			score := n
			if !before {
				score += 1000
			}
			if n < crashLimit || (before && n < survivedLimit) {
				continue
			}
			if score > bestScore {
				best = nil
				bestScore = score
			}
			if score == bestScore {
				best = append(best, f)
			}
		}
		if len(best) == 0 {
			slices.Sort(blocked)
			return blocked
		}
		blocked = append(blocked, best...)
		var rest []Crash
		for _, c := range open {
			explained := false
			for _, f := range best {
				lastSurvival, before := survived[f]
				counts := !before || c.At.After(lastSurvival)
				for _, r := range c.Requests {
					explained = explained || (counts && r.has(f))
				}
			}
			if !explained {
				rest = append(rest, c)
			}
		}
		open = rest
	}
}

// TestVerdictMatchesNaiveWhateverTheOrderOfMessages guards against evidence that depends on which host told what first, or how often.
func TestVerdictMatchesNaiveWhateverTheOrderOfMessages(t *testing.T) {
	Convey("Over many seeds, hosts that receive the same messages in any order, split and repeated, draw the verdict of a naive version that sees everything", t, func() {
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 1))
			now := at(100)
			var crashes []Crash
			for i := range 1 + rng.IntN(12) {
				c := Crash{
					Upstream: fmt.Sprintf("u%d", i),
					At:       at(float64(i/2)*8 + float64(i%2)*0.06 + float64(rng.IntN(4))/100),
				}
				for range 1 + rng.IntN(4) {
					r := req(rng.IntN(30))
					for range rng.IntN(4) {
						r.Parts = append(r.Parts, crash.Fingerprint(1+rng.IntN(5)))
					}
					if !slices.ContainsFunc(c.Requests, func(o Request) bool { return o.Own == r.Own && slices.Equal(o.Parts, r.Parts) }) {
						c.Requests = append(c.Requests, r)
					}
				}
				crashes = append(crashes, c)
			}
			survived := map[crash.Fingerprint]time.Time{}
			var survivals []Survival
			for f := crash.Fingerprint(1); f <= 5; f++ {
				if rng.IntN(2) == 0 {
					survived[f] = at(float64(rng.IntN(100)))
					survivals = append(survivals, Survival{Fingerprint: f, At: survived[f]})
				}
			}
			want := naiveVerdict(crashes, survived)
			for range 3 {
				e := NewEvidence()
				var updates []Update
				for _, c := range crashes {
					for _, r := range c.Requests {
						part := c
						part.Requests = []Request{r}
						updates = append(updates, NewUpdate(now, []Crash{part}, nil))
					}
				}
				for _, s := range survivals {
					updates = append(updates, NewUpdate(now, nil, []Survival{s}))
				}
				updates = append(updates, updates[:len(updates)/2]...)
				rng.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
				for _, u := range updates {
					e.Merge(now, u)
				}
				got := e.Verdict().Fingerprints()
				if !slices.Equal(got, want) {
					t.Fatalf("seed %d: blocked %v, naive version %v", seed, got, want)
				}
			}
		}
		So(true, ShouldBeTrue)
	})
}
