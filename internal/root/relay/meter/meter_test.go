package meter

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
)

func TestMeter(t *testing.T) {
	now := time.Unix(100_000, 0)
	Convey("Given entries of two routes", t, func() {
		m := New()
		m.Add(now, Entry{Route: "a", Outcome: Answered, Took: 100 * time.Millisecond, Begun: 40 * time.Millisecond, Sends: 1})
		m.Add(now, Entry{Route: "a", Outcome: Refused, Cause: "overload", Took: time.Hour})
		m.Add(now, Entry{Route: "b", Outcome: Cut, Cause: "upstream_broke", Sends: 2})
		got := m.Routes()
		So(got["a"].Outcomes, ShouldResemble, map[Outcome]int64{Answered: 1, Refused: 1})
		So(got["a"].Causes, ShouldResemble, map[string]int64{"overload": 1})
		So(got["a"].Took.Count, ShouldEqual, 2)
		So(got["a"].Begun.Count, ShouldEqual, 1)
		So(got["a"].Begun.P50, ShouldBeBetweenOrEqual, 38, 42)
		So(got["b"].Sends, ShouldEqual, 2)
	})
	Convey("Only what is owed counts for the objective, and only what is on time for it", t, func() {
		m := New()
		for i := range 100 {
			m.Add(now, Entry{Route: "a", Outcome: Answered, Owed: true, OnTime: i >= 20})
			m.Add(now, Entry{Route: "a", Outcome: Rejected})
		}
		So(m.Routes()["a"].Owed, ShouldEqual, 100)
		So(m.Routes()["a"].OnTime, ShouldEqual, 80)
		r := m.Burn(now, 0.99)
		So(r.Severity, ShouldEqual, burn.Page)
		So(r.Windows[0].Rate, ShouldAlmostEqual, 20, 0.01)
		So(m.Burn(now, 0.95).Severity, ShouldEqual, burn.Calm)
	})
	Convey("However many routes there are, the memory stays bounded", t, func() {
		m := New()
		for i := range 10 * maxRoutes {
			m.Add(now, Entry{Route: fmt.Sprint(i), Outcome: Answered})
		}
		So(len(m.Routes()), ShouldBeLessThanOrEqualTo, maxRoutes+1)
		So(m.Routes()[otherName].Outcomes[Answered], ShouldBeGreaterThan, 0)
	})
}
