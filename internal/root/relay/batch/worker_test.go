package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRestOfAWorkerThatFails(t *testing.T) {
	scenarios := []struct {
		name   string
		took   time.Duration
		rests  []time.Duration
		faults []int
	}{
		{
			name:   "one that refuses calls rests twice as long each time, up to a bound",
			took:   time.Millisecond,
			rests:  []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond, 3 * time.Second, 3 * time.Second},
			faults: []int{1, 2, 3, 4, 5, 6},
		},
		{
			name:   "one whose answers don't come rests for a moment, as the wait was a rest, and is not taken to be gone",
			took:   2 * time.Second,
			rests:  []time.Duration{restAfterSilence, restAfterSilence, restAfterSilence, restAfterSilence},
			faults: []int{1, 1, 1, 1},
		},
	}
	for _, sc := range scenarios {
		Convey("Of workers, "+sc.name, t, func() {
			spec := specOf(4)
			q := NewQueue(spec)
			q.SetWorkers(workersOf("x"))
			w := q.workers["w0"]
			now := start
			call := func() *Call {
				w.calls++
				c := &Call{
					Upstream: w.up,
					Expected: spec.Call,
					normal:   spec.Call,
					worker:   w,
					began:    now,
				}
				now = now.Add(sc.took)
				return c
			}
			for i, want := range sc.rests {
				broken := call()
				q.Broke(now, broken)
				c := call()
				q.running = append(q.running, c)
				q.Hedge(now)
				So(w.restTo.Sub(c.began), ShouldEqual, want)
				So(w.steady(now), ShouldBeFalse)
				So(w.faults, ShouldEqual, sc.faults[i])
				q.ended(c)
			}
			done := call()
			q.Finish(now, done, nil)
			So(w.faults, ShouldEqual, 0)
		})
	}
}
