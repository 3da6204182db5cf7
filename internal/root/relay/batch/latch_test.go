package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// failEachWorker lets every worker fail the given number of calls in a row.
func failEachWorker(q *Queue, now time.Time, failures int) {
	for _, w := range q.workers {
		for range failures {
			w.recordFailure(now)
		}
	}
}

// Guards against a queue that refuses all work for good once each of its workers has failed twice, as no call could then succeed (incident RECOVER).
func TestQueueAcceptsWorkAgainAfterAllWorkersFailed(t *testing.T) {
	for _, failures := range []int{1, 2, 3, 6} {
		Convey("Given five workers that have each failed several calls in a row", t, func() {
			q := NewQueue(specOf(4))
			q.SetWorkers(workersIn("x", "x", "y", "y", "z"))
			failEachWorker(q, start, failures)
			Convey("work is accepted once a worker may be tried again, and all work after it has succeeded", func() {
				now := start.Add(maxBackoff)
				_, refused := q.Add(now, workOf("a", 1))
				So(refused, ShouldBeNil)
				c, ok := q.NextCall(now.Add(100 * time.Millisecond))
				So(ok, ShouldBeTrue)
				now = now.Add(300 * time.Millisecond)
				q.CompleteCall(now, c, []Result{{Handle: "h"}})
				for range 8 {
					_, refused := q.Add(now, workOf("b", 1))
					So(refused, ShouldBeNil)
				}
			})
		})
	}
}

// The opposite of TestQueueAcceptsWorkAgainAfterAllWorkersFailed.
func TestQueueRefusesWorkWhileNoWorkerMayBeTried(t *testing.T) {
	Convey("Given workers that have all failed twice just now", t, func() {
		q := NewQueue(specOf(4))
		q.SetWorkers(workersIn("x", "y"))
		failEachWorker(q, start, 2)
		Convey("work is refused at once, and told when the first of them is tried", func() {
			_, refused := q.Add(start, workOf("a", 1))
			So(refused, ShouldNotBeNil)
			soonest := maxBackoff
			for _, w := range q.workers {
				soonest = min(soonest, w.freeIn(start))
			}
			So(refused.After, ShouldEqual, max(soonest, minRetryAfter))
		})
		Convey("while one call tries a worker, further work is refused", func() {
			now := start.Add(maxBackoff)
			for range q.workers {
				_, refused := q.Add(now, workOf("a", 4))
				So(refused, ShouldBeNil)
				_, ok := q.NextCall(now.Add(100 * time.Millisecond))
				So(ok, ShouldBeTrue)
			}
			_, refused := q.Add(now.Add(100*time.Millisecond), workOf("b", 1))
			So(refused, ShouldNotBeNil)
		})
	})
}
