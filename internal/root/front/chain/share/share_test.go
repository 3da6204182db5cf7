package share

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLatest(t *testing.T) {
	ms := func(n ...int) []time.Duration {
		out := make([]time.Duration, 0, len(n))
		for _, x := range n {
			out = append(out, time.Duration(x)*time.Millisecond)
		}
		return out
	}
	scenarios := []struct {
		name  string
		left  int
		needs []time.Duration
		want  int
	}{
		{name: "a single stage has all that is left", left: 100, needs: ms(10), want: 100},
		{name: "those after it keep what they need", left: 100, needs: ms(10, 20, 30), want: 50},
		{name: "a stage that ended early leaves more", left: 90, needs: ms(20, 30), want: 60},
		{name: "nothing is left for it", left: 40, needs: ms(10, 20, 30), want: 0},
		{name: "the deadline has passed", left: -5, needs: ms(10), want: 0},
	}
	for _, sc := range scenarios {
		Convey(sc.name, t, func() {
			So(Latest(time.Duration(sc.left)*time.Millisecond, sc.needs), ShouldEqual, time.Duration(sc.want)*time.Millisecond)
		})
	}
}
