package plan

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func streamRoute(prefix string, pools ...string) Route {
	r := Route{
		Host:      "h",
		Prefix:    prefix,
		Kind:      Stream,
		Resumable: true,
	}
	for _, p := range pools {
		r.Targets = append(r.Targets, Target{
			Pool:   p,
			Weight: 1,
		})
	}
	return r
}

// Guards against streams that are taken for those of the pools that their route has now, although it had others when they began (review/2, rule ORDER).
func TestMovesRememberWhereStreamsOfARouteWereSent(t *testing.T) {
	once := streamRoute("/a/", "q")
	once.Resumable = false
	cases := []struct {
		name string
		// plans follow each other, a second apart.
		plans [][]Route
		asked Route
		pools []string
	}{
		{name: "the first plan", plans: [][]Route{{streamRoute("/a/", "p")}}, asked: streamRoute("/a/", "p")},
		{name: "the same pools in another order", plans: [][]Route{{streamRoute("/a/", "p", "q")}, {streamRoute("/a/", "q", "p")}}, asked: streamRoute("/a/", "q", "p")},
		{name: "another pool", plans: [][]Route{{streamRoute("/a/", "p")}, {streamRoute("/a/", "q")}}, asked: streamRoute("/a/", "q"), pools: []string{"p"}},
		{name: "a pool of two is gone", plans: [][]Route{{streamRoute("/a/", "p", "q")}, {streamRoute("/a/", "q")}}, asked: streamRoute("/a/", "q"), pools: []string{"p"}},
		{name: "two moves", plans: [][]Route{{streamRoute("/a/", "p")}, {streamRoute("/a/", "q")}, {streamRoute("/a/", "r")}}, asked: streamRoute("/a/", "r"), pools: []string{"p", "q"}},
		{name: "there and back", plans: [][]Route{{streamRoute("/a/", "p")}, {streamRoute("/a/", "q")}, {streamRoute("/a/", "p")}}, asked: streamRoute("/a/", "p"), pools: []string{"q"}},
		{name: "a route with a longer prefix takes over", plans: [][]Route{{streamRoute("/a/", "p")}, {streamRoute("/a/", "p"), streamRoute("/a/b/", "q")}}, asked: streamRoute("/a/b/", "q"), pools: []string{"p"}},
		{name: "a route with a longer prefix is gone", plans: [][]Route{{streamRoute("/a/", "p"), streamRoute("/a/b/", "q")}, {streamRoute("/a/", "p")}}, asked: streamRoute("/a/", "p"), pools: []string{"q"}},
		{name: "another route moved", plans: [][]Route{{streamRoute("/a/", "p"), streamRoute("/b/", "p")}, {streamRoute("/a/", "p"), streamRoute("/b/", "q")}}, asked: streamRoute("/a/", "p")},
		{name: "its streams could not be resumed", plans: [][]Route{{once}, {streamRoute("/a/", "p")}}, asked: streamRoute("/a/", "p")},
	}
	for _, c := range cases {
		Convey("After "+c.name, t, func() {
			var m Moves
			now := time.Unix(1000, 0)
			for i, routes := range c.plans {
				now = now.Add(time.Second)
				p := New(int64(i+1), routes, nil, nil, Limits{})
				m.Update(now, p)
				So(m.Update(now, p), ShouldBeEmpty)
			}
			pools := m.PoolsSince(c.asked, now.Add(-time.Minute))
			slices.Sort(pools)
			So(pools, ShouldResemble, c.pools)
			So(m.PoolsSince(c.asked, now.Add(time.Millisecond)), ShouldBeEmpty)
		})
	}
	Convey("Moves are forgotten after a while", t, func() {
		var m Moves
		now := time.Unix(1000, 0)
		m.Update(now, New(1, []Route{streamRoute("/a/", "p")}, nil, nil, Limits{}))
		moves := m.Update(now, New(2, []Route{streamRoute("/a/", "q")}, nil, nil, Limits{}))
		So(moves, ShouldHaveLength, 1)
		So(moves[0].Before, ShouldResemble, []string{"p"})
		m.Update(now.Add(moveRetention+time.Second), New(3, []Route{streamRoute("/a/", "q")}, nil, nil, Limits{}))
		So(m.leftAt, ShouldBeEmpty)
	})
}
