package follow

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Guards against upstreams that pass for ones of the version of their row, although another process answers at their address (incident ORDER of issue 54).
func TestReplacedUpstreamHasNoVersionUntilItsRowChanges(t *testing.T) {
	row := func(startedAtMS int64, version string) route.Upstream {
		return route.Upstream{
			Name:        "u",
			Addr:        "10.0.0.1:80",
			Pool:        "p",
			Version:     version,
			StartedAtMS: startedAtMS,
		}
	}
	Convey("Given an upstream whose process has been replaced", t, func() {
		changes := 0
		ups := NewUpstreams(common.NewQuietDeps("host-1", "d"), decodeStart, forgetTime, func() { changes++ })
		ups.put(row(1, "v1"))
		ups.MarkReplaced(row(1, "v1").Incarnation(), 2)
		So(ups.List()[0].Version, ShouldEqual, "")
		So(changes, ShouldEqual, 1)
		Convey("the same finding changes nothing, and another one does", func() {
			ups.MarkReplaced(row(1, "v1").Incarnation(), 2)
			So(changes, ShouldEqual, 1)
			ups.MarkReplaced(row(1, "v1").Incarnation(), 3)
			So(changes, ShouldEqual, 2)
		})
		Convey("the row that it had says nothing new", func() {
			ups.put(row(1, "v1"))
			So(ups.List()[0].Version, ShouldEqual, "")
		})
		Convey("its own row does", func() {
			ups.put(row(2, "v2"))
			So(ups.List()[0].Version, ShouldEqual, "v2")
			ups.MarkReplaced(row(1, "v1").Incarnation(), 2)
			So(ups.List()[0].Version, ShouldEqual, "v2")
		})
		Convey("an upstream that comes back is a new one", func() {
			ups.forget("u")
			ups.put(row(1, "v1"))
			So(ups.List()[0].Version, ShouldEqual, "v1")
		})
	})
}
