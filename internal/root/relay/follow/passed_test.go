package follow

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Guards against a version that counts as alone all along, although an upstream of another one came and went between two reads (issue 57, rule ORDER).
func TestUpstreamThatCameAndWentUnseenIsNoticed(t *testing.T) {
	gone := func(key string) Row { return Row{Key: key, Deleted: true} }
	cases := []struct {
		name   string
		play   func(m *Upstreams)
		passed int
	}{
		{name: "nothing", play: func(*Upstreams) {}},
		{name: "a known one goes", play: func(m *Upstreams) { m.Apply([]Row{gone("a")}) }},
		{name: "a known one goes, and another host tells so again", play: func(m *Upstreams) {
			m.Apply([]Row{gone("a")})
			m.Apply([]Row{gone("a")})
		}},
		{name: "one comes and goes between two reads", passed: 1, play: func(m *Upstreams) { m.Apply([]Row{gone("b")}) }},
		{name: "one comes, and goes at the next read", play: func(m *Upstreams) {
			m.Apply([]Row{{Key: "b"}})
			m.Apply([]Row{gone("b")})
		}},
		{name: "a row that can't be read goes", play: func(m *Upstreams) {
			m.Apply([]Row{{Key: "damaged"}})
			m.Apply([]Row{gone("damaged")})
		}},
		{name: "a row that can't be read goes while the whole table is read, and one of its name comes and goes between two reads", passed: 1, play: func(m *Upstreams) {
			m.Apply([]Row{{Key: "damaged"}})
			m.Reset([]Row{{Key: "a"}})
			m.Apply([]Row{gone("damaged")})
		}},
		{name: "it goes a second time unseen", passed: 1, play: func(m *Upstreams) {
			m.Apply([]Row{{Key: "damaged"}})
			m.Apply([]Row{gone("damaged")})
			m.Apply([]Row{gone("damaged")})
		}},
	}
	Convey("Given an upstream a", t, func() {
		for _, c := range cases {
			passed := 0
			decode := func(key string, _ []byte) (route.Upstream, error) {
				if key == "damaged" {
					return route.Upstream{}, errors.New("damaged")
				}
				return route.Upstream{Name: key, Addr: "10.0.0.1:1", Pool: "p"}, nil
			}
			m := NewUpstreams(common.NewQuietDeps("host-1", "d"), decode, forgetTime, func() {})
			m.OnPassed(func() { passed++ })
			m.Reset([]Row{{Key: "a"}})
			c.play(m)
			So(c.name, ShouldNotBeEmpty)
			So(passed, ShouldEqual, c.passed)
		}
	})
}
