package follow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Guards against an outdated row that passes for a sign of life.
func TestUpstreamRanOnlyIfItsRowWasReadableForLong(t *testing.T) {
	const silence = 4 * time.Second
	cases := []struct {
		name string
		// play acts on upstreams that were read at 0 s; the call for changes that began at 10 s is the last one.
		play    func(at func(s float64), m *Upstreams)
		started int64
		ok      bool
	}{
		{name: "its row is there", started: 7, ok: true},
		{name: "its row is of another start", started: 8},
		{name: "its start is not known", started: 0},
		{name: "its row is gone", started: 7, play: func(at func(float64), m *Upstreams) {
			at(5)
			m.Apply([]Row{{Key: "u", Deleted: true}})
		}},
		{name: "the table can't be read", started: 7, play: func(at func(float64), m *Upstreams) {
			at(9)
			m.OutageStarted()
		}},
		{name: "the table could not be read until just now", started: 7, play: func(at func(float64), m *Upstreams) {
			at(5)
			m.OutageStarted()
			at(7)
			m.OutageEnded()
		}},
		{name: "the table could not be read long ago", started: 7, ok: true, play: func(at func(float64), m *Upstreams) {
			at(1)
			m.OutageStarted()
			at(5)
			m.OutageEnded()
		}},
		{name: "the table was restored from a copy just now", started: 7, play: func(at func(float64), m *Upstreams) {
			at(8)
			m.Restore([]Row{{Key: "u"}})
		}},
	}
	Convey("An upstream ran until shortly ago if", t, func() {
		for _, c := range cases {
			now := time.Unix(1000, 0)
			deps := common.NewQuietDeps("host", "d")
			deps.Now = func() time.Time { return now }
			at := func(s float64) { now = time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
			decode := func(key string, _ []byte) (route.Upstream, error) {
				return route.Upstream{Name: key, Addr: "10.0.0.1:1", Pool: "p", StartedAtMS: 7}, nil
			}
			m := NewUpstreams(deps, decode, time.Second, func() {})
			m.Reset([]Row{{Key: "u"}})
			if c.play != nil {
				c.play(at, m)
			}
			at(10)
			m.Confirm(now)
			ranAt, ok := m.RanAt("u", c.started, silence)
			So(ok, ShouldEqual, c.ok)
			if c.ok {
				So(now.Sub(ranAt), ShouldEqual, silence)
			}
		}
	})
}
