package meter

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
)

func TestMeterCountsByRouteAndObjective(t *testing.T) {
	now := time.Unix(100_000, 0)
	Convey("Entries are counted separately for each route", t, func() {
		m := New()
		m.Add(now, Entry{Route: "a", Outcome: Answered, Latency: 100 * time.Millisecond, FirstByte: 40 * time.Millisecond, Sends: 1})
		m.Add(now, Entry{Route: "a", Outcome: Refused, Cause: "overload", Latency: time.Hour})
		m.Add(now, Entry{Route: "b", Outcome: Truncated, Cause: "upstream_broke", Sends: 2, Unframed: true})
		got := m.Routes()
		So(got["a"].Outcomes, ShouldResemble, map[Outcome]int64{Answered: 1, Refused: 1})
		So(got["a"].Causes, ShouldResemble, map[string]int64{"overload": 1})
		So(got["a"].Latency.Count, ShouldEqual, 2)
		So(got["a"].FirstByte.Count, ShouldEqual, 1)
		So(got["a"].FirstByte.P50, ShouldBeBetweenOrEqual, 38, 42)
		So(got["b"].Sends, ShouldEqual, 2)
		So(got["a"].Unframed, ShouldEqual, 0)
		So(got["b"].Unframed, ShouldEqual, 1)
	})
	Convey("Only eligible requests count for the objective, and those that are late count as missed", t, func() {
		m := New()
		for i := range 100 {
			m.Add(now, Entry{Route: "a", Outcome: Answered, Eligible: true, OnTime: i >= 20})
			m.Add(now, Entry{Route: "a", Outcome: Rejected})
		}
		So(m.Routes()["a"].Eligible, ShouldEqual, 100)
		So(m.Routes()["a"].OnTime, ShouldEqual, 80)
		r := m.BurnRates(now, 0.99)
		So(r.Severity, ShouldEqual, burn.SeverityPage)
		So(r.Windows[0].Rate, ShouldAlmostEqual, 20, 0.01)
		So(m.BurnRates(now, 0.95).Severity, ShouldEqual, burn.SeverityNone)
	})
	Convey("Routes above the limit share one set of counters", t, func() {
		m := New()
		for i := range 10 * maxRoutes {
			m.Add(now, Entry{Route: fmt.Sprint(i), Outcome: Answered})
		}
		So(len(m.Routes()), ShouldBeLessThanOrEqualTo, maxRoutes+1)
		So(m.Routes()[otherRoutes].Outcomes[Answered], ShouldBeGreaterThan, 0)
	})
}
