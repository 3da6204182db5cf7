package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRestOfAWorkerThatFails(t *testing.T) {
	for _, took := range []time.Duration{time.Millisecond, 2 * time.Second} {
		Convey("The rest after a fault doubles up to its bound, however long the call had taken, "+took.String(), t, func() {
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
				now = now.Add(took)
				return c
			}
			for i, want := range []time.Duration{1, 2, 4, 8, 10, 10} {
				broken := call()
				q.Broke(now, broken)
				c := call()
				q.running = append(q.running, c)
				q.Hedge(now)
				So(w.restTo.Sub(c.began), ShouldEqual, want*restAfterFault)
				So(w.steady(now), ShouldBeFalse)
				So(w.faults, ShouldEqual, i+1)
				q.ended(c)
			}
			done := call()
			q.Finish(now, done, nil)
			So(w.faults, ShouldEqual, 0)
		})
	}
}
