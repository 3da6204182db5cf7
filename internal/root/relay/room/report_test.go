package room

import (
	"math"
	"testing"
	"time"
)

func TestBookKeepsTheNewestUsableReport(t *testing.T) {
	scenarios := []struct {
		name string
		// later is reported a second after a report of pace 0.5.
		later Report
		want  float64
	}{
		{name: "a newer one", later: Report{Pace: 0.3}, want: 0.3},
		{name: "one that is older than what is known", later: Report{Pace: 0.3, Age: 2 * time.Second}, want: 0.5},
		{name: "a negative pace", later: Report{Pace: -1}, want: 0.5},
		{name: "a pace above 1", later: Report{Pace: 1e6}, want: 0.5},
		{name: "no number", later: Report{Pace: math.NaN()}, want: 0.5},
		{name: "a negative age", later: Report{Pace: 0.3, Age: -time.Hour}, want: 0.5},
		{name: "too old", later: Report{Pace: 0.3, Age: time.Hour}, want: 0.5},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			var b Book
			b.Record(start, Report{
				Queue: "q",
				Pace:  0.5,
			})
			sc.later.Queue = "q"
			now := start.Add(time.Second)
			b.Record(now, sc.later)
			got := b.Reports(now, []string{"q", "unknown"})
			if len(got) != 1 || got[0].Pace != sc.want {
				t.Errorf("reports %+v, want one of pace %.1f", got, sc.want)
			}
		})
	}
}

func TestReportsLoseWeightWithAge(t *testing.T) {
	var b Book
	b.Record(start, Report{
		Queue: "q",
		Pace:  0,
	})
	if fresh, old := b.Pace(start, []string{"q"}), b.Pace(start.Add(reportTTL), []string{"q"}); fresh != minPace || old != 1 {
		t.Errorf("pace %.2f at once and %.2f once the report is too old, want %.2f and 1", fresh, old, minPace)
	}
	if p := b.Pace(start, nil); p != 1 {
		t.Errorf("pace %.2f of no queues", p)
	}
}
