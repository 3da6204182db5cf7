package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stagesWithLoad returns a single stage whose pool has ten slots and the given load.
func stagesWithLoad(load, pending int) []Stage {
	return []Stage{
		{Service: 100 * time.Millisecond, Slots: 10, Load: load, Pending: pending},
	}
}

func TestDecide(t *testing.T) {
	scenarios := []struct {
		name    string
		request PipelineRequest
		want    Decision
	}{
		{name: "idle pool", request: PipelineRequest{TimeLeft: time.Second, Stages: stagesWithLoad(0, 0)}, want: Admitted{}},
		{name: "queue that drains in time", request: PipelineRequest{TimeLeft: time.Second, Stages: stagesWithLoad(70, 0)}, want: Admitted{}},
		{name: "queue that drains too late", request: PipelineRequest{TimeLeft: time.Second, Stages: stagesWithLoad(100, 0)}, want: Rejected{RetryAfter: 210 * time.Millisecond}},
		{name: "account over its share and a queue that drains too late for such an account", request: PipelineRequest{TimeLeft: time.Second, OverShare: true, Stages: stagesWithLoad(70, 0)}, want: Rejected{RetryAfter: 210 * time.Millisecond}},
		{name: "patient request and busy pool", request: PipelineRequest{TimeLeft: time.Second, Patient: true, Stages: stagesWithLoad(15, 0)}, want: Deferred{}},
		{name: "patient request and free slots", request: PipelineRequest{TimeLeft: time.Second, Patient: true, Stages: stagesWithLoad(9, 0)}, want: Admitted{}},
		{name: "pool without slots", request: PipelineRequest{TimeLeft: 150 * time.Millisecond, Stages: []Stage{{Service: 100 * time.Millisecond}}}, want: Rejected{RetryAfter: 200 * time.Millisecond}},
		{name: "deadline sooner than the service time", request: PipelineRequest{TimeLeft: 50 * time.Millisecond, Stages: stagesWithLoad(0, 0)}, want: Rejected{RetryAfter: 200 * time.Millisecond}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			So(Decide(sc.request), ShouldResemble, sc.want)
		})
	}
}

// simulateFinish returns when a new request finishes in the pool, by simulating the queue slot by slot.
func simulateFinish(s Stage) time.Duration {
	free := make([]time.Duration, s.Slots)
	var last time.Duration
	for range s.Load + 1 {
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		free[first] += s.Service
		last = free[first]
	}
	return last
}

func TestPredictLatencyMatchesQueueSimulation(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		s := Stage{
			Service: time.Duration(1+rng.IntN(500)) * time.Millisecond,
			Slots:   1 + rng.IntN(32),
			Load:    rng.IntN(400),
		}
		got, want := PredictLatency([]Stage{s}), simulateFinish(s)
		if off := (got - want).Abs(); off > s.Service {
			t.Fatalf("%+v: predicted %s, simulated %s", s, got, want)
		}
	}
}

func TestRateLimitersOnAllHostsEnforceAccountLimit(t *testing.T) {
	for _, hosts := range []int{1, 9, 36} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			const limit = 90.0
			rng := rand.New(rand.NewPCG(uint64(hosts), 1))
			limiters := make([]*RateLimiter, hosts)
			for i := range limiters {
				limiters[i] = NewRateLimiter()
			}
			now := time.Unix(1000, 0)
			allowed := 0
			const seconds = 60
			for range seconds * 400 {
				now = now.Add(time.Second / 400)
				if limiters[rng.IntN(hosts)].Take(now, "a", limit/float64(hosts)) == 0 {
					allowed++
				}
			}
			rate := float64(allowed) / seconds
			if rate > 1.05*limit || rate < 0.95*limit {
				t.Errorf("%d hosts allowed %.1f requests per second, the limit is %.0f", hosts, rate, limit)
			}
		})
	}
}

func TestUsageTrackerReportsOnlyAccountOverItsShare(t *testing.T) {
	Convey("Given one account with ten times the requests of another", t, func() {
		tracker := NewUsageTracker()
		now := time.Unix(1000, 0)
		over := map[string]int{}
		for i := range 5500 {
			now = now.Add(10 * time.Millisecond)
			account := "large"
			if i%11 == 0 {
				account = "small"
			}
			if tracker.Add(now, account, 1) {
				over[account]++
			}
		}
		So(over["large"], ShouldBeGreaterThan, 4500)
		So(over["small"], ShouldBeLessThan, 5)
		Convey("When the large account is the only active one, it is no longer over its share", func() {
			count := 0
			for range 3000 {
				now = now.Add(10 * time.Millisecond)
				if tracker.Add(now, "large", 1) {
					count++
				}
			}
			So(count, ShouldBeLessThan, 1100)
			So(tracker.Add(now, "large", 1), ShouldBeFalse)
		})
	})
}

func TestBacklogCountsRequestsUntilTheyReachPool(t *testing.T) {
	Convey("Given two admitted requests with stages in two pools", t, func() {
		backlog := NewBacklog()
		a, b := backlog.Add([]string{"x", "y"}), backlog.Add([]string{"x", "y"})
		So(backlog.Pending("x"), ShouldEqual, 2)
		a.ReachPool()
		So(backlog.Pending("x"), ShouldEqual, 1)
		So(backlog.Pending("y"), ShouldEqual, 2)
		a.Release()
		b.Release()
		b.Release()
		So(backlog.Pending("x")+backlog.Pending("y"), ShouldEqual, 0)
	})
}

func BenchmarkDecide(b *testing.B) {
	request := PipelineRequest{TimeLeft: 8 * time.Second, Stages: append(stagesWithLoad(5, 1), append(stagesWithLoad(6, 1), append(stagesWithLoad(7, 1), stagesWithLoad(8, 2)...)...)...)}
	b.ReportAllocs()
	for b.Loop() {
		Decide(request)
	}
}

func BenchmarkUsageTracker(b *testing.B) {
	tracker := NewUsageTracker()
	now := time.Unix(1000, 0)
	names := make([]string, 9800)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		tracker.Add(now.Add(time.Duration(i)*time.Microsecond), names[i%len(names)], 1)
	}
}
