package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// queueWithBacklog returns a queue with n waiting jobs whose inputs are near a worker, while all workers are busy.
func queueWithBacklog(n int) *Queue {
	q := NewQueue(specOf(18))
	q.SetWorkers(workersIn("a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c"))
	domains := []string{"a", "b", "c"}
	for i := range n {
		q.Add(start, workOf(fmt.Sprint(i), 2).withTime(time.Hour, 2*time.Hour).withInputsIn(domains[i%3], 3_000_000))
	}
	for i := range 12 {
		q.NextCall(start.Add(time.Duration(i) * time.Second))
	}
	return q
}

// TestNextCallAllocatesNothingWhileAllWorkersAreBusy guards against slow decisions during a burst: the owner of a queue may have little processor time, and each event checks the queue for a possible call.
func TestNextCallAllocatesNothingWhileAllWorkersAreBusy(t *testing.T) {
	Convey("With 400 waiting jobs and no available worker, NextCall allocates nothing", t, func() {
		q := queueWithBacklog(400)
		now := start.Add(13 * time.Second)
		So(q.running, ShouldHaveLength, 12)
		So(testing.AllocsPerRun(10, func() {
			if _, ok := q.NextCall(now); ok {
				t.Fatal("NextCall returned a call, but all workers are busy")
			}
		}), ShouldEqual, 0)
	})
}

// BenchmarkNextCallWithBacklog measures the duration of NextCall with a backlog and busy workers.
func BenchmarkNextCallWithBacklog(b *testing.B) {
	for _, n := range []int{20, 100, 400} {
		b.Run(fmt.Sprintf("%d waiting", n), func(b *testing.B) {
			q := queueWithBacklog(n)
			now := start.Add(13 * time.Second)
			for b.Loop() {
				q.NextCall(now)
			}
		})
	}
}
