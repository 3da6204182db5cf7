package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBackoffOfFailingWorker(t *testing.T) {
	scenarios := []struct {
		name       string
		took       time.Duration
		backoffs   []time.Duration
		faultCount []int
	}{
		{
			name:       "a worker that refuses calls doubles its backoff each time, up to a maximum",
			took:       time.Millisecond,
			backoffs:   []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 1200 * time.Millisecond, 1200 * time.Millisecond, 1200 * time.Millisecond},
			faultCount: []int{1, 2, 3, 4, 5, 6},
		},
		{
			name:       "a worker whose call timed out gets a short backoff, because the wait for the response was already a pause, and is not considered gone",
			took:       2 * time.Second,
			backoffs:   []time.Duration{timeoutBackoff, timeoutBackoff, timeoutBackoff, timeoutBackoff},
			faultCount: []int{1, 1, 1, 1},
		},
	}
	for _, sc := range scenarios {
		Convey("After failed calls, "+sc.name, t, func() {
			spec := specOf(4)
			q := NewQueue(spec)
			q.SetWorkers(workersIn("x"))
			w := q.workers["w0"]
			now := start
			call := func() *Call {
				w.calls++
				c := &Call{
					Upstream:  w.upstream,
					Expected:  spec.Call,
					baseline:  spec.Call,
					worker:    w,
					startedAt: now,
				}
				now = now.Add(sc.took)
				return c
			}
			for i, want := range sc.backoffs {
				broken := call()
				q.FailCall(now, broken)
				c := call()
				q.running = append(q.running, c)
				q.Hedge(now)
				So(w.backoffUntil.Sub(c.startedAt), ShouldEqual, want)
				So(w.healthy(now), ShouldBeFalse)
				So(w.faultCount, ShouldEqual, sc.faultCount[i])
				q.removeCall(c)
			}
			done := call()
			q.CompleteCall(now, done, nil)
			So(w.faultCount, ShouldEqual, 0)
		})
	}
}
