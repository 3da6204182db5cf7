package tally

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// randomEntry returns an entry with a random account, pipeline, outcome and latency.
func randomEntry(rng *rand.Rand) Entry {
	e := Entry{
		Account:  fmt.Sprintf("a%d", rng.IntN(3)),
		Pipeline: fmt.Sprintf("p%d", rng.IntN(2)),
		Outcome:  []wire.Outcome{wire.Answered, wire.NotRun, wire.Failed, wire.Unknown}[rng.IntN(4)],
		Latency:  time.Duration(rng.IntN(8000)) * time.Millisecond,
		Stages:   []wire.StageReport{{Stage: "s", Attempts: 1, Cost: 0.5, Wasted: 0.25}},
	}
	e.InTime = e.Outcome == wire.Answered
	return e
}

func TestMergedCountersEqualSingleCounter(t *testing.T) {
	Convey("Given the same entries in one counter and distributed over five", t, func() {
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1000, 0)
		single := NewCounter()
		var counters [5]*Counter
		for i := range counters {
			counters[i] = NewCounter()
		}
		for range 5000 {
			e := randomEntry(rng)
			single.Add(now, e)
			counters[rng.IntN(5)].Add(now, e)
		}
		var all []Count
		for _, c := range counters {
			data, err := json.Marshal(c.Counts())
			So(err, ShouldBeNil)
			var decoded []Count
			So(json.Unmarshal(data, &decoded), ShouldBeNil)
			all = append(all, decoded...)
		}
		merged, want := Merge(all), single.Counts()
		So(len(merged), ShouldEqual, len(want))
		for i := range want {
			So(merged[i].Sent, ShouldEqual, want[i].Sent)
			So(merged[i].Attainment(), ShouldEqual, want[i].Attainment())
			So(merged[i].Stages, ShouldResemble, want[i].Stages)
			for _, q := range []float64{50, 95, 99} {
				So(merged[i].Quantile(q), ShouldEqual, want[i].Quantile(q))
			}
		}
	})
}

func TestInconsistentCountIsNotDecoded(t *testing.T) {
	Convey("A count with more outcomes than requests is rejected", t, func() {
		var c Count
		So(json.Unmarshal([]byte(`{"sent":1,"answered":1,"failed":1}`), &c), ShouldNotBeNil)
	})
}

// naiveRate computes the burn rate of a window by iterating over all entries.
func naiveRate(times []time.Time, bad []bool, now time.Time, window time.Duration, objective float64) float64 {
	var good, missed int64
	first := now.Truncate(burn.BucketLength).Add(burn.BucketLength - window)
	for i, at := range times {
		if at.Before(first) {
			continue
		}
		if bad[i] {
			missed++
			continue
		}
		good++
	}
	return burn.Rate(good, missed, objective)
}

func TestBurnRatesEqualNaiveComputation(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	now := time.Unix(1_000_000, 0)
	counter := NewCounter()
	var times []time.Time
	var bad []bool
	for i := range 20_000 {
		now = now.Add(time.Duration(rng.IntN(2500)) * time.Millisecond)
		e := randomEntry(rng)
		e.InTime = rng.IntN(100) > i%7
		counter.Add(now, e)
		times = append(times, now)
		bad = append(bad, !e.InTime)
		if i%500 > 0 {
			continue
		}
		for _, w := range counter.Burn(now, 0.99).Windows {
			if want := naiveRate(times, bad, now, time.Duration(w.Minutes)*time.Minute, 0.99); w.Rate != want {
				t.Fatalf("after %d entries: burn rate over %d min is %v, want %v", i, w.Minutes, w.Rate, want)
			}
		}
	}
}

func TestBurnRateDeterminesAlertSeverity(t *testing.T) {
	scenarios := []struct {
		name   string
		missed int
		want   burn.Severity
	}{
		{name: "no requests missed", missed: 0, want: burn.SeverityNone},
		{name: "as many misses as allowed", missed: 10, want: burn.SeverityNone},
		{name: "seven times the allowed misses", missed: 70, want: burn.SeverityTicket},
		{name: "twenty times the allowed misses", missed: 200, want: burn.SeverityPage},
	}
	for _, sc := range scenarios {
		Convey("Over six hours with "+sc.name, t, func() {
			counter := NewCounter()
			now := time.Unix(1_000_000, 0)
			for i := range 6 * 360 {
				now = now.Add(10 * time.Second)
				for j := range 10 {
					counter.Add(now, Entry{Outcome: wire.Answered, InTime: (i*10+j)*919%1000 >= sc.missed})
				}
			}
			So(counter.Burn(now, 0.99).Severity, ShouldEqual, sc.want)
		})
	}
}

// BenchmarkMemory measures the memory of a counter for up to 9,800 accounts, the number that the system is designed for, each on seven pipelines.
func BenchmarkMemory(b *testing.B) {
	for _, accounts := range []int{100, 1000, 9800} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			counter := NewCounter()
			for b.Loop() {
				for i := range accounts {
					for p := range 7 {
						counter.Add(time.Unix(1000, 0), Entry{Account: fmt.Sprint(i), Pipeline: fmt.Sprint(p), Outcome: wire.Answered, InTime: true})
					}
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
			runtime.KeepAlive(counter)
		})
	}
}
