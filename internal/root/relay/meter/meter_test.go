package meter

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMeter(t *testing.T) {
	Convey("Given entries of two routes", t, func() {
		m := New()
		m.Add(Entry{Route: "a", Outcome: Answered, Took: 100 * time.Millisecond, Begun: 40 * time.Millisecond, Sends: 1})
		m.Add(Entry{Route: "a", Outcome: Refused, Cause: "overload", Took: time.Hour})
		m.Add(Entry{Route: "b", Outcome: Cut, Cause: "upstream_broke", Sends: 2})
		got := m.Routes()
		So(got["a"].Outcomes, ShouldResemble, map[Outcome]int64{Answered: 1, Refused: 1})
		So(got["a"].Causes, ShouldResemble, map[string]int64{"overload": 1})
		So(got["a"].Took.Count, ShouldEqual, 2)
		So(got["a"].Begun.Count, ShouldEqual, 1)
		So(got["a"].Begun.P50, ShouldBeBetweenOrEqual, 38, 42)
		So(got["b"].Sends, ShouldEqual, 2)
	})
	Convey("However many routes there are, the memory stays bounded", t, func() {
		m := New()
		for i := range 10 * maxRoutes {
			m.Add(Entry{Route: fmt.Sprint(i), Outcome: Answered})
		}
		So(len(m.Routes()), ShouldBeLessThanOrEqualTo, maxRoutes+1)
		So(m.Routes()[otherName].Outcomes[Answered], ShouldBeGreaterThan, 0)
	})
}
