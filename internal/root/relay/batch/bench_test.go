package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// backlog returns a queue whose workers are all busy while so much work waits near its inputs.
func backlog(n int) *Queue {
	q := NewQueue(specOf(18))
	q.SetWorkers(workersOf("a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c"))
	domains := []string{"a", "b", "c"}
	for i := range n {
		q.Add(start, workOf(fmt.Sprint(i), 2).withTime(time.Hour, 2*time.Hour).near(domains[i%3], 3_000_000))
	}
	for i := range 12 {
		q.Next(start.Add(time.Duration(i) * time.Second))
	}
	return q
}

// TestBacklogCostsNothingWhileWorkersAreBusy answers a burst at the owner of a queue that has little processor time: each event looks at the queue.
func TestBacklogCostsNothingWhileWorkersAreBusy(t *testing.T) {
	Convey("With 400 works waiting and no worker free, looking for the next call allocates nothing", t, func() {
		q := backlog(400)
		now := start.Add(13 * time.Second)
		So(q.running, ShouldHaveLength, 12)
		So(testing.AllocsPerRun(10, func() {
			if _, ok := q.Next(now); ok {
				t.Fatal("a worker was free")
			}
		}), ShouldEqual, 0)
	})
}

// BenchmarkBacklog measures what an event costs while a backlog waits.
func BenchmarkBacklog(b *testing.B) {
	for _, n := range []int{20, 100, 400} {
		b.Run(fmt.Sprintf("%d waiting", n), func(b *testing.B) {
			q := backlog(n)
			now := start.Add(13 * time.Second)
			for b.Loop() {
				q.Next(now)
			}
		})
	}
}
