package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPausedCallersReturnInOrderAndSpread(t *testing.T) {
	Convey("Given callers that are refused until a pause of 2 s ends", t, func() {
		now := time.Unix(1000, 0)
		end := now.Add(2 * time.Second)
		var r Returns
		Convey("they return in the order in which they were refused, one per spacing, whenever each was refused", func() {
			for i := range 10 {
				at := now.Add(time.Duration(i) * 100 * time.Millisecond)
				So(at.Add(r.Next(at, end, 50*time.Millisecond, 1)), ShouldEqual, end.Add(time.Duration(i)*50*time.Millisecond))
			}
		})
		Convey("a caller waits for those of its rank and of more urgent ones, and for no others", func() {
			scenarios := []struct {
				rank  int
				ahead int
			}{
				{rank: 2, ahead: 0},
				{rank: 2, ahead: 1},
				{rank: 0, ahead: 0},
				{rank: 1, ahead: 1},
				{rank: 0, ahead: 1},
				{rank: 2, ahead: 5},
				{rank: 1, ahead: 3},
			}
			for _, sc := range scenarios {
				So(r.Next(now, end, 50*time.Millisecond, sc.rank), ShouldEqual, 2*time.Second+time.Duration(sc.ahead)*50*time.Millisecond)
			}
		})
		Convey("the spread is bounded", func() {
			for range 1000 {
				So(r.Next(now, end, 50*time.Millisecond, 1), ShouldBeLessThanOrEqualTo, 2*time.Second+maxReturnSpread)
			}
		})
		Convey("the next pause begins a new order", func() {
			r.Next(now, end, time.Second, 1)
			r.Next(now, end, time.Second, 1)
			So(r.Next(now, end.Add(time.Second), time.Second, 1), ShouldEqual, 3*time.Second)
		})
		Convey("a pause that has ended leaves only the spread", func() {
			So(r.Next(end.Add(time.Second), end, time.Second, 1), ShouldEqual, 0)
			So(r.Next(end.Add(time.Second), end, time.Second, 1), ShouldEqual, time.Second)
		})
	})
}
