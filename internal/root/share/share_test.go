package share

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFirstStageLimit(t *testing.T) {
	ms := func(n ...int) []time.Duration {
		out := make([]time.Duration, 0, len(n))
		for _, x := range n {
			out = append(out, time.Duration(x)*time.Millisecond)
		}
		return out
	}
	scenarios := []struct {
		name     string
		left     int
		required []time.Duration
		want     int
	}{
		{name: "a single stage may use all the time left", left: 100, required: ms(10), want: 100},
		{name: "the time that later stages need is reserved", left: 100, required: ms(10, 20, 30), want: 50},
		{name: "a stage that ended early leaves more time for the next one", left: 90, required: ms(20, 30), want: 60},
		{name: "the limit is zero if later stages need all the time left", left: 40, required: ms(10, 20, 30), want: 0},
		{name: "the limit is zero after the deadline", left: -5, required: ms(10), want: 0},
	}
	for _, sc := range scenarios {
		Convey(sc.name, t, func() {
			So(FirstStageLimit(time.Duration(sc.left)*time.Millisecond, sc.required), ShouldEqual, time.Duration(sc.want)*time.Millisecond)
		})
	}
}
