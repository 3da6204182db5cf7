package warm

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// mutant is a change of the rules that breaks the bound over all hosts.
type mutant string

const (
	noMutant mutant = ""
	// oldNewsIsNew takes a row of the time before a failed connection as proof that the upstream has not restarted.
	oldNewsIsNew mutant = "a row that was written before the upstream restarted ends the doubt"
	// spendTwice sends two requests with one permit.
	spendTwice mutant = "a permit is spent twice"
	// oneToken sends a request with the token of one granting host.
	oneToken mutant = "the token of one granting host is enough"
	// emptyGrants lets a granting host give tokens from its start on.
	emptyGrants mutant = "a restarted granting host gives tokens at once"
)

// event is something that happens at a host.
type event struct {
	at   time.Duration
	host int
	do   func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// testHost is a host with a clock of its own.
type testHost struct {
	book   *Book
	grants *Grants
	// view holds the hosts that it takes for the granting ones.
	view []int
	// offset and drift make its clock differ from the true time.
	offset time.Duration
	drift  float64
	// frozenFrom and frozenUntil are when it stands still.
	frozenFrom  time.Duration
	frozenUntil time.Duration
}

const (
	testWarmUp = 3 * time.Second
	// crashAt is when the upstream crashes and restartAt when it is back, under the same name.
	crashAt   = 3 * time.Second
	restartAt = 4 * time.Second
	testEnd   = 9 * time.Second
)

// group is a number of hosts before one upstream that restarts.
type group struct {
	rng    *rand.Rand
	bound  Bound
	mutant mutant
	// lossy means that messages are lost, or are long under way, and anyPair that any granting host may be down for another.
	lossy   bool
	anyPair bool
	now     time.Duration
	events  eventHeap
	hosts   []*testHost
	up      route.Upstream
	// sent holds when requests were sent to the upstream while it was cold, and messages counts the questions for tokens.
	sent     []time.Duration
	messages int
}

func newGroup(seed uint64, n int, m mutant) *group {
	g := &group{
		rng:    rand.New(rand.NewPCG(seed, 9)),
		bound:  Bound{PerSecond: 15, Overage: 1.5, Slack: 5},
		mutant: m,
		up:     route.Upstream{Name: "u", Addr: "10.0.0.1:1", Pool: "p"},
	}
	for range n {
		g.hosts = append(g.hosts, &testHost{
			book: NewBook(),
			view: []int{0, 1, 2},
		})
	}
	for i := range g.hosts {
		g.restart(i)
	}
	return g
}

// disturb gives the hosts clocks that differ and different views, and freezes and restarts some of them, granting ones above all.
func (g *group) disturb() {
	// Hosts take any three of the granting hosts of two groups for the granting ones.
	count := min(maxGranters, len(g.hosts))
	views := [][]int{g.rng.Perm(count)[:Granters], g.rng.Perm(count)[:Granters]}
	if g.rng.IntN(2) == 0 && count == maxGranters {
		// The two groups have nothing in common.
		all := g.rng.Perm(count)
		views = [][]int{all[:Granters], all[Granters:]}
	}
	g.anyPair = true
	g.lossy = g.rng.IntN(2) == 0
	thaw := restartAt + time.Duration(1500+g.rng.IntN(1000))*time.Millisecond
	together, unstable := g.rng.IntN(3) == 0, g.rng.IntN(3) == 0
	for i, h := range g.hosts {
		h.view = views[g.rng.IntN(len(views))]
		h.offset = time.Duration(g.rng.IntN(2000)-1000) * time.Millisecond
		h.drift = (g.rng.Float64() - 0.5) * 0.04
		g.restart(i)
		switch {
		case i >= count && together:
			// They freeze one after the other, and go on at the same moment.
			h.frozenFrom = restartAt + time.Duration(g.rng.Int64N(int64(thaw-restartAt)))
			h.frozenUntil = thaw
		case i < count || g.rng.IntN(5) == 0:
			h.frozenFrom = restartAt + time.Duration(g.rng.IntN(4000)-500)*time.Millisecond
			h.frozenUntil = h.frozenFrom + time.Duration(g.rng.IntN(1500))*time.Millisecond
		}
		if i < count {
			g.restartOften(i, unstable)
		}
	}
}

// restartOften restarts a granting host once, or again and again if it is unstable.
func (g *group) restartOften(i int, unstable bool) {
	for at := restartAt; at < testEnd; {
		pause := 4000
		if unstable {
			pause = 600
		}
		at += time.Duration(g.rng.IntN(pause)) * time.Millisecond
		g.at(at, i, func() { g.restart(i) })
		if !unstable {
			return
		}
	}
}

// restart begins a new process of a host, which knows nothing of the tokens that it gave.
func (g *group) restart(i int) {
	began := g.clock(i)
	if g.mutant == emptyGrants {
		began = began.Add(-time.Hour)
	}
	g.hosts[i].grants = NewGrants(began)
}

// clock returns the time by the clock of a host.
func (g *group) clock(i int) time.Time {
	return time.Unix(1000, 0).Add(g.sinceBoot(i))
}

func (g *group) sinceBoot(i int) time.Duration {
	h := g.hosts[i]
	return g.now + h.offset + time.Duration(h.drift*float64(g.now))
}

func (g *group) at(at time.Duration, host int, do func()) {
	heap.Push(&g.events, event{
		at:   at,
		host: host,
		do:   do,
	})
}

// run lets everything happen in order. What is due at a host that is frozen happens once it goes on.
func (g *group) run() {
	for g.events.Len() > 0 {
		e := heap.Pop(&g.events).(event)
		h := g.hosts[e.host]
		if e.at >= h.frozenFrom && e.at < h.frozenUntil {
			g.at(h.frozenUntil, e.host, e.do)
			continue
		}
		g.now = e.at
		e.do()
	}
}

// delay returns how long a message is under way: mostly milliseconds, at times long, and negative if it is lost.
func (g *group) delay() time.Duration {
	kind := g.rng.IntN(20)
	switch {
	case g.lossy && kind == 0:
		return -1
	case g.lossy && kind == 1:
		return time.Duration(g.rng.IntN(400)) * time.Millisecond
	default:
		return time.Duration(1+g.rng.IntN(6)) * time.Millisecond
	}
}

// learn lets all hosts find that the upstream can't be reached, then get an outdated row of it, and some the row of its new start.
func (g *group) learn() {
	for i := range g.hosts {
		g.at(crashAt+time.Duration(g.rng.IntN(400))*time.Millisecond, i, func() {
			g.hosts[i].book.Failed(g.clock(i), g.up)
		})
		g.at(restartAt+time.Duration(g.rng.IntN(300))*time.Millisecond, i, func() {
			g.hosts[i].book.Row(g.clock(i), g.up, 0, false)
			if g.mutant == oldNewsIsNew {
				g.hosts[i].book.entries = map[route.Incarnation]*entry{}
			}
		})
		if g.rng.IntN(3) > 0 {
			g.at(restartAt+time.Duration(300+g.rng.IntN(1200))*time.Millisecond, i, func() {
				g.hosts[i].book.Row(g.clock(i), g.up, testWarmUp, false)
			})
		}
	}
}

// demand has hosts want to send requests at the rate, over all hosts.
func (g *group) demand(perSecond float64) {
	for at := restartAt; at < testEnd; at += time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		i := g.rng.IntN(len(g.hosts))
		g.at(at, i, func() { g.request(i) })
	}
}

// request sends a request, with a permit if the host takes the upstream for cold.
func (g *group) request(i int) {
	h := g.hosts[i]
	s, ok := h.book.State(g.clock(i), g.up.Incarnation(), testWarmUp)
	if !ok || !g.clock(i).Before(s.Until) {
		g.send(i)
		return
	}
	permit := NewPermit(func() time.Duration { return g.sinceBoot(i) })
	missing := Quorum(len(h.view))
	for _, granter := range g.choose(h.view, missing) {
		g.ask(i, granter, func() {
			if missing--; missing == 0 || g.mutant == oneToken {
				// The connection to the upstream takes a moment.
				g.at(g.now+g.connectTime(), i, func() { g.spend(i, permit) })
			}
		})
	}
}

// choose returns the granting hosts to ask: the first ones, or any if some are down for the host.
func (g *group) choose(view []int, n int) []int {
	if !g.anyPair {
		return view[:n]
	}
	var out []int
	for _, at := range g.rng.Perm(len(view))[:n] {
		out = append(out, view[at])
	}
	return out
}

// ask asks a granting host for its token, and calls granted once the host has it.
func (g *group) ask(asker, granter int, granted func()) {
	g.messages++
	there, back := g.delay(), g.delay()
	if there < 0 {
		return
	}
	g.at(g.now+there, granter, func() {
		h := g.hosts[granter]
		if !slices.Contains(h.view, granter) {
			return
		}
		if ok, _ := h.grants.Take(g.clock(granter), g.up.Name, g.bound.Tokens()); ok && back >= 0 {
			g.at(g.now+back, asker, granted)
		}
	})
}

// connectTime returns how long a connection to the upstream takes.
func (g *group) connectTime() time.Duration {
	if g.rng.IntN(4) == 0 {
		return time.Duration(g.rng.IntN(200)) * time.Millisecond
	}
	return time.Duration(1+g.rng.IntN(5)) * time.Millisecond
}

func (g *group) spend(i int, permit *Permit) {
	if !permit.Spend() {
		return
	}
	g.send(i)
	if g.mutant == spendTwice {
		g.send(i)
	}
}

// send records a request that reaches the upstream, which answers it.
func (g *group) send(i int) {
	if g.now < restartAt+testWarmUp {
		g.sent = append(g.sent, g.now)
	}
	g.hosts[i].book.Answered(g.clock(i), g.up.Incarnation())
}

// busiestSecond returns the largest number of requests that were sent within a second.
func (g *group) busiestSecond() int {
	most := 0
	for i, from := range g.sent {
		end, _ := slices.BinarySearchFunc(g.sent[i:], from+time.Second, func(a, b time.Duration) int { return cmp.Compare(a, b+1) })
		most = max(most, end)
	}
	return most
}

// play runs a seed with all troubles, and returns the busiest second.
func play(seed uint64, m mutant) (busiest, bound int) {
	sizes := []int{3, 9, 60, 300}
	g := newGroup(seed, sizes[seed%uint64(len(sizes))], m)
	g.disturb()
	g.learn()
	g.demand(40 + 200*g.rng.Float64())
	g.run()
	return g.busiestSecond(), g.bound.Max()
}

// TestColdUpstreamGetsNoMoreThanItsBound guards against a cold upstream that falls over because hosts which lose messages, freeze, restart, have other clocks or disagree about the granting hosts send too much together; and each mutant against a check that would not see that.
func TestColdUpstreamGetsNoMoreThanItsBound(t *testing.T) {
	const seeds = 1000
	most := 0
	for seed := range uint64(seeds) {
		busiest, bound := play(seed, noMutant)
		if busiest > bound {
			t.Fatalf("seed %d: %d requests within a second, %d are allowed", seed, busiest, bound)
		}
		most = max(most, busiest)
	}
	t.Logf("%d seeds: at most %d requests within a second", seeds, most)
	for _, m := range []mutant{oldNewsIsNew, spendTwice, oneToken, emptyGrants} {
		if !isCaught(t, m, seeds) {
			t.Errorf("mutant %q is not caught", m)
		}
	}
}

// isCaught reports whether one of the seeds shows that the mutant exceeds the bound.
func isCaught(t *testing.T, m mutant, seeds uint64) bool {
	t.Helper()
	for seed := range seeds {
		if busiest, bound := play(seed, m); busiest > bound {
			t.Logf("mutant %q: caught by seed %d, with %d requests within a second", m, seed, busiest)
			return true
		}
	}
	return false
}

// TestColdUpstreamsAreUsed guards against permits that are granted far below the rate, whatever the number of hosts, and tells what they cost.
func TestColdUpstreamsAreUsed(t *testing.T) {
	for _, n := range []int{1, 2, 60, 300} {
		t.Run(fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			g := newGroup(1, n, noMutant)
			for i, h := range g.hosts {
				h.view = h.view[:min(n, Granters)]
				g.at(crashAt, i, func() { h.book.Failed(g.clock(i), g.up) })
			}
			g.demand(10 * g.bound.Rate())
			g.run()
			perSecond := float64(len(g.sent)) / testWarmUp.Seconds()
			t.Logf("%.1f permits a second of %.1f, %.0f questions a second", perSecond, g.bound.Rate(), float64(g.messages)/(testEnd-restartAt).Seconds())
			if perSecond < 0.6*g.bound.Rate() {
				t.Errorf("got %.1f permits a second, want more than 0.6 of %.1f", perSecond, g.bound.Rate())
			}
		})
	}
}
