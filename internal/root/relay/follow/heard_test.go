package follow

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Guards against a host that leaves the current era because another one, which lags behind, states an earlier one.
func TestErasHeardFromHostsNeverFall(t *testing.T) {
	cases := []struct {
		name          string
		current, seen Era
		want          Era
		outdated      bool
	}{
		{name: "the same era", current: EraOf(4), seen: EraOf(4), want: EraOf(4)},
		{name: "a later era", current: EraOf(4), seen: EraOf(5), want: EraOf(5)},
		{name: "an earlier era", current: EraOf(4), seen: EraOf(3), want: EraOf(4), outdated: true},
		{name: "the first era", seen: EraOf(0), want: EraOf(0)},
		{name: "no era in either", want: Era{}},
		{name: "no era any more", current: EraOf(4), want: EraOf(4), outdated: true},
	}
	for _, sc := range cases {
		Convey("A host that hears of "+sc.name, t, func() {
			e := NewEras(common.NewQuietDeps("h", "d"))
			if sc.current.Known() {
				_, err := e.Observe(Era{}, sc.current)
				So(err, ShouldBeNil)
			}
			So(e.ObserveHeard(sc.seen) != nil, ShouldEqual, sc.outdated)
			current, _ := e.Current()
			So(current, ShouldResemble, sc.want)
		})
	}
}
