package room

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// The bounds are the target of the service: how much of what could be on time is on time, and how much of what was accepted may be late.
const (
	minShareOfLimit = 0.9
	maxLateShare    = 0.05
)

var start = time.Unix(1000, 0)

// load describes requests of one rank that need a second of work for every unit of their rate.
type load struct {
	rank  int
	rate  float64
	slack time.Duration
	// work is what one request needs of each pool.
	work time.Duration
}

// played is what became of the requests of a load.
type played struct {
	offered, accepted int
}

// play offers the loads to a ledger of pools that do one second of work per second each, and returns what became of them.
func play(t *testing.T, l *Ledger, loads []load, length time.Duration) []played {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	out := make([]played, len(loads))
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		for i, x := range loads {
			if rng.Float64() >= x.rate*step.Seconds()/x.work.Seconds() {
				continue
			}
			out[i].offered++
			if l.Reserve(start.Add(at), x.rank, claimsOf(x.work), x.slack, oneWorker) == nil {
				out[i].accepted++
			}
		}
	}
	return out
}

func claimsOf(work time.Duration) []Claim {
	return []Claim{
		{Pool: "first", Work: work / 2},
		{Pool: "second", Work: work},
	}
}

func oneWorker(string) float64 {
	return 1
}

// Guards against a chain of which one pool is overloaded and that accepts more than that pool does (load: overlapping bursts of 2.3 times the usual for each of two kinds).
func TestOverlappingBurstsAreAcceptedUpToTheBindingPool(t *testing.T) {
	const length = 10 * time.Second
	work := 50 * time.Millisecond
	got := play(t, &Ledger{}, []load{
		{rate: 1.15, slack: time.Second, work: work},
		{rate: 1.15, slack: 800 * time.Millisecond, work: work},
	}, length)
	accepted := float64(got[0].accepted+got[1].accepted) * work.Seconds()
	possible := length.Seconds() + time.Second.Seconds()
	if accepted < minShareOfLimit*possible || accepted > possible {
		t.Errorf("%.1f s of work were accepted, and %.1f s could be done in time", accepted, possible)
	}
	for i, p := range got {
		if share := float64(p.accepted) / float64(p.offered); share < 0.1 {
			t.Errorf("kind %d is starved: %.2f of it was accepted", i, share)
		}
	}
}

// Guards against a load of one side that leaves the other nothing (load: one account at 7.5 times its usual, of higher and of lower urgency than the others).
func TestOneAccountDoesNotStarveOthers(t *testing.T) {
	work := 20 * time.Millisecond
	for _, busy := range []int{0, 1} {
		t.Run(fmt.Sprintf("rank %d is busy", busy), func(t *testing.T) {
			loads := []load{
				{rank: 0, rate: 0.3, slack: time.Second, work: work},
				{rank: 1, rate: 0.3, slack: time.Second, work: work},
			}
			loads[busy].rate *= 7.5
			got := play(t, &Ledger{}, loads, 10*time.Second)
			share := func(i int) float64 { return float64(got[i].accepted) / float64(got[i].offered) }
			if busy == 1 && share(0) < 0.99 {
				t.Errorf("less urgent requests keep more urgent ones out: %.2f of these were accepted", share(0))
			}
			if busy == 0 && share(1) < minShare {
				t.Errorf("less urgent requests are starved: %.2f of them were accepted", share(1))
			}
		})
	}
}

// Guards against refusals that cost later requests their place (load: clients that repeat at once).
func TestRepeatedRefusalsReserveNothing(t *testing.T) {
	l := &Ledger{}
	for l.Reserve(start, 0, claimsOf(100*time.Millisecond), time.Second, oneWorker) == nil {
	}
	for range 1000 {
		if l.Reserve(start, 0, claimsOf(100*time.Millisecond), time.Second, oneWorker) == nil {
			t.Fatal("a request was accepted though there is no time for it")
		}
	}
	if r := l.Reserve(start.Add(200*time.Millisecond), 0, claimsOf(100*time.Millisecond), time.Second, oneWorker); r != nil {
		t.Errorf("200 ms later, 100 ms of work are refused for pool %s", r.Pool)
	}
}

// Guards against callers who wait in vain (load: requests refused at once, whose callers come back when they are told).
func TestRefusedRequestIsAcceptedWhenItIsToldToComeBack(t *testing.T) {
	l := &Ledger{}
	var refused *Refusal
	for refused == nil {
		refused = l.Reserve(start, 0, claimsOf(90*time.Millisecond), time.Second, oneWorker)
	}
	if refused.Pool != "second" || refused.After <= 0 || refused.After > 90*time.Millisecond {
		t.Fatalf("refused for pool %q, to come back after %s", refused.Pool, refused.After)
	}
	if r := l.Reserve(start.Add(refused.After), 0, claimsOf(90*time.Millisecond), time.Second, oneWorker); r != nil {
		t.Errorf("refused again for pool %s", r.Pool)
	}
}

// Guards against work that is reserved for nobody (load: clients that give up).
func TestCanceledReservationsAreGivenBack(t *testing.T) {
	l := &Ledger{}
	accepted := 0
	for l.Reserve(start, 1, claimsOf(50*time.Millisecond), time.Second, oneWorker) == nil {
		accepted++
	}
	for range accepted {
		l.Cancel(1, claimsOf(50*time.Millisecond), start.Add(time.Second))
	}
	for i := range accepted {
		if r := l.Reserve(start, 1, claimsOf(50*time.Millisecond), time.Second, oneWorker); r != nil {
			t.Fatalf("request %d of %d is refused after all were given back", i, accepted)
		}
	}
}

func TestPoolsWithoutCapacityRefuse(t *testing.T) {
	l := &Ledger{}
	if l.Reserve(start, 0, claimsOf(time.Millisecond), time.Hour, func(string) float64 { return 0 }) == nil {
		return
	}
	if l.Reserve(start, 0, claimsOf(time.Second), time.Second, func(string) float64 { return 0 }) == nil {
		t.Error("a pool without workers accepts a second of work within a second")
	}
}

// Guards against reservations by what workers do when they are well (load: a third of a stage's workers slow).
func TestPaceFollowsSlowWorkers(t *testing.T) {
	var p Pace
	now := start
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		span := 300 * time.Millisecond
		if i%3 == 0 {
			span *= 5
		}
		p.Observe(now, 300*time.Millisecond, span)
	}
	if v := p.Value(now); v < 0.6 || v > 0.85 {
		t.Errorf("with a third of the calls five times as long, the pace is %.2f", v)
	}
	if v := p.Value(now.Add(10 * paceDecay)); v < 0.99 {
		t.Errorf("long after the last call, the pace is %.2f", v)
	}
}

func TestWorkTimeOfPools(t *testing.T) {
	spec := plan.Worker{
		Batch:          10,
		Call:           200 * time.Millisecond,
		PieceTime:      10 * time.Millisecond,
		ResultCapacity: 1000,
	}
	scenarios := []struct {
		name   string
		bytes  int64
		change func(s *plan.Worker)
		want   time.Duration
	}{
		{name: "no results", bytes: 0, want: 30 * time.Millisecond},
		{name: "room for two calls", bytes: 50, want: 30 * time.Millisecond},
		{name: "room for one call, which is fetched first", bytes: 100, want: 35 * time.Millisecond},
		{name: "room for no result", bytes: 2000, want: 260 * time.Millisecond},
		{name: "no batch", bytes: 0, change: func(s *plan.Worker) { s.Batch = 0 }, want: 210 * time.Millisecond},
		{name: "no room", bytes: 10, change: func(s *plan.Worker) { s.ResultCapacity = 0 }, want: 260 * time.Millisecond},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			p := Pool{
				Spec: spec,
			}
			if sc.change != nil {
				sc.change(&p.Spec)
			}
			if got := p.WorkTime(Need{Pieces: 1, Bytes: sc.bytes}, p.Spec.PieceTime); got != sc.want {
				t.Errorf("a piece takes %s, want %s", got, sc.want)
			}
		})
	}
}
