package links

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

func poolOf(name string, n int) []route.Upstream {
	var out []route.Upstream
	for i := range n {
		out = append(out, route.Upstream{
			Name: fmt.Sprintf("%s%d", name, i),
			Addr: fmt.Sprintf("%s%d:1", name, i),
			Pool: name,
		})
	}
	return out
}

func TestHostIsSuspectedOnlyAfterSeveralUpstreamsFailedInARow(t *testing.T) {
	type step struct {
		upstream int
		ok       bool
	}
	cases := []struct {
		name  string
		size  int
		steps []step
		cut   bool
	}{
		{name: "nothing tried", size: 3},
		{name: "one of three fails, again and again", size: 3, steps: []step{{0, false}, {0, false}, {0, false}}},
		{name: "two of three fail", size: 3, steps: []step{{0, false}, {1, false}}, cut: true},
		{name: "two of three fail, one works in between", size: 3, steps: []step{{0, false}, {2, true}, {1, false}}},
		{name: "all failed, one works again", size: 3, steps: []step{{0, false}, {1, false}, {2, false}, {1, true}}},
		{name: "the only one fails", size: 1, steps: []step{{0, false}}, cut: true},
	}
	Convey("Evidence of connections", t, func() {
		for _, c := range cases {
			ups := poolOf("p", c.size)
			e := evidence{}
			e.sync(append(ups, poolOf("q", 2)...))
			for _, s := range c.steps {
				e.record(time.Unix(100, 0), ups[s.upstream], s.ok)
			}
			So(fmt.Sprint(c.name, e.cut("p")), ShouldEqual, fmt.Sprint(c.name, c.cut))
			So(e.cut("q"), ShouldBeFalse)
		}
	})
}

func TestEvidenceGoesWithItsUpstreams(t *testing.T) {
	Convey("Given a pool of which two of three upstreams failed", t, func() {
		ups := poolOf("p", 3)
		e := evidence{}
		e.sync(ups)
		e.record(time.Unix(100, 0), ups[0], false)
		e.record(time.Unix(100, 0), ups[1], false)
		So(e.cut("p"), ShouldBeTrue)
		Convey("a failed one that is removed shows nothing any more", func() {
			e.sync(ups[1:])
			So(e.cut("p"), ShouldBeFalse)
		})
		Convey("a pool that is removed shows nothing", func() {
			e.sync(nil)
			So(e.cut("p"), ShouldBeFalse)
		})
	})
}
