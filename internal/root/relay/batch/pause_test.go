package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/retry"
)

func TestPausedWorkerGetsNoCalls(t *testing.T) {
	Convey("Given two workers and a call to one of them, which asks for a pause of 1 s instead", t, func() {
		q := NewQueue(specOf(4))
		q.SetWorkers(workersIn("x", "x"))
		j, refused := q.Add(start, workOf("a", 2))
		So(refused, ShouldBeNil)
		now := start.Add(50 * time.Millisecond)
		c, ok := q.NextCall(now)
		So(ok, ShouldBeTrue)
		ended, unused := q.PauseCall(now, c, time.Second)
		So(ended, ShouldBeEmpty)
		So(unused, ShouldBeEmpty)
		Convey("its pieces go to the other worker, and that is no further attempt", func() {
			So(j.attempts, ShouldEqual, 0)
			next, ok := q.NextCall(now)
			So(ok, ShouldBeTrue)
			So(next.Upstream.Name, ShouldNotEqual, c.Upstream.Name)
			So(next.Items, ShouldHaveLength, 2)
		})
		Convey("it counts as no failure", func() {
			So(c.worker.faultCount, ShouldEqual, 0)
			So(q.stats.FailedCalls, ShouldEqual, 0)
			So(q.stats.Pauses, ShouldEqual, 1)
		})
		Convey("a shorter pause does not end it earlier, and an endless one is bounded", func() {
			c.worker.recordPause(now, time.Millisecond)
			So(c.worker.freeIn(now), ShouldEqual, time.Second)
			c.worker.recordPause(now, 1000*time.Hour)
			So(c.worker.freeIn(now), ShouldEqual, retry.MaxPause)
		})
		Convey("if the other worker asks for a longer pause too", func() {
			next, ok := q.NextCall(now)
			So(ok, ShouldBeTrue)
			q.PauseCall(now, next, 2*time.Second)
			Convey("no call is made until the first pause ends", func() {
				_, ok := q.NextCall(now.Add(999 * time.Millisecond))
				So(ok, ShouldBeFalse)
				again, ok := q.NextCall(now.Add(time.Second))
				So(ok, ShouldBeTrue)
				So(again.Upstream.Name, ShouldEqual, c.Upstream.Name)
			})
			Convey("work that has the time waits", func() {
				w := workOf("b", 2)
				w.HardTimeout = 5 * time.Second
				_, refused := q.Add(now, w)
				So(refused, ShouldBeNil)
			})
			Convey("work that has not is refused at once, until the first pause ends and one after the other", func() {
				w := workOf("b", 4)
				w.HardTimeout = 500 * time.Millisecond
				_, first := q.Add(now, w)
				So(first.After, ShouldEqual, time.Second)
				_, second := q.Add(now, w)
				So(second.After, ShouldEqual, time.Second+q.returnSpacing(w))
			})
			Convey("waiting work that cannot be done after the pause is refused now", func() {
				w := workOf("b", 2)
				w.HardTimeout = 5 * time.Second
				late, refused := q.Add(now, w)
				So(refused, ShouldBeNil)
				late.hardDeadline = now.Add(900 * time.Millisecond)
				ended, _ := q.Expire(now)
				So(ended, ShouldContain, late)
				So(late.Outcome, ShouldHaveSameTypeAs, Refused{})
				So(late.Outcome.(Refused).After, ShouldBeGreaterThanOrEqualTo, time.Second)
			})
		})
	})
}
