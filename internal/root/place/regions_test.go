package place

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestIntersectionBindsToBoth guards against a request that leaves the regions of its route or of its account because the other one allows more.
func TestIntersectionBindsToBoth(t *testing.T) {
	scenarios := []struct {
		name       string
		a, b, want Regions
	}{
		{name: "neither bound"},
		{name: "one bound", a: Regions{"x"}, want: Regions{"x"}},
		{name: "the other one bound", b: Regions{"x"}, want: Regions{"x"}},
		{name: "both bound", a: Regions{"x", "y", "z"}, b: Regions{"z", "y"}, want: Regions{"y", "z"}},
		{name: "nothing in common", a: Regions{"x"}, b: Regions{"y"}, want: Regions{}},
		{name: "one that allows none", a: Regions{}, want: Regions{}},
		{name: "one that allows none and a bound one", a: Regions{}, b: Regions{"x"}, want: Regions{}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			So(sc.a.Intersect(sc.b), ShouldResemble, sc.want)
		})
	}
	Convey("A bound request may use neither another region nor one that is not known", t, func() {
		So(Regions{"x"}.Allows("x"), ShouldBeTrue)
		So(Regions{"x"}.Allows("y"), ShouldBeFalse)
		So(Regions{"x", ""}.Allows(""), ShouldBeFalse)
		So(Regions{}.Allows("x"), ShouldBeFalse)
		So(Regions(nil).Allows(""), ShouldBeTrue)
	})
}
