package follow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Guards against a stream that counts as begun by the version of an outdated row, once the row that showed the later start is gone (issue 57, rule ORDER).
func TestUpstreamMayHaveRestartedAlsoOnceItsRowIsGone(t *testing.T) {
	const sinceSent = 5 * time.Second
	Convey("Given an upstream that a stream was sent to, and which started again with another version just before", t, func() {
		now := time.Unix(1000, 0)
		deps := common.NewQuietDeps("host-1", "d")
		deps.Now = func() time.Time { return now }
		row := func(startedAtMS int64, version string) route.Upstream {
			return route.Upstream{
				Name:        "u",
				Addr:        "10.0.0.1:80",
				Pool:        "p",
				Version:     version,
				StartedAtMS: startedAtMS,
			}
		}
		ups := NewUpstreams(deps, decodeStart, forgetTime, func() {})
		ups.put(row(1, "v1"))
		began := row(1, "v1").Incarnation()
		sentAt := now
		now = now.Add(time.Second)
		ups.put(row(2, "v2"))
		So(ups.MayHaveRestarted(began, "v1", sentAt), ShouldBeTrue)
		Convey("it may have restarted once its row is gone, too", func() {
			ups.drop(row(2, "v2"))
			So(ups.MayHaveRestarted(began, "v1", sentAt), ShouldBeTrue)
			So(ups.MayHaveRestarted(began, "v1", sentAt.Add(-sinceSent)), ShouldBeFalse)
		})
		Convey("and after a third start with the first version", func() {
			now = now.Add(time.Second)
			ups.put(row(3, "v1"))
			So(ups.MayHaveRestarted(row(3, "v1").Incarnation(), "v1", now.Add(-time.Second/2)), ShouldBeFalse)
			So(ups.MayHaveRestarted(began, "v1", sentAt), ShouldBeTrue)
			So(ups.MayHaveRestarted(began, "v1", sentAt.Add(-sinceSent)), ShouldBeFalse)
		})
	})
}
