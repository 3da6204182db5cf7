package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a host that takes it for a statement about a route that it remembers no move of it, although it has just started (issue 57, rule ORDER).
func TestMovesKnowSinceWhenTheyKnowAllPoolsOfARoute(t *testing.T) {
	const long = time.Minute
	began := time.Unix(10_000, 0)
	plan := func(version int64, routes ...Route) *Plan { return New(version, routes, nil, nil, Limits{}) }
	here, moved := streamRoute("/a/", "p"), streamRoute("/a/", "q")
	cases := []struct {
		name string
		// earlier is the plan that other hosts have had since long ago by what they wrote, or nil if they are of an older build.
		earlier *Plan
		plans   []*Plan
		asked   Route
		after   time.Duration
		known   bool
	}{
		{name: "others wrote the same pools", earlier: plan(1, here), plans: []*Plan{plan(2, here)}, asked: here, known: true},
		{name: "others wrote other pools", earlier: plan(1, here), plans: []*Plan{plan(2, moved)}, asked: moved},
		{name: "others wrote other pools, long ago", earlier: plan(1, here), plans: []*Plan{plan(2, moved)}, asked: moved, after: long, known: true},
		{name: "a route with a longer prefix is gone", earlier: plan(1, here, streamRoute("/a/b/", "q")), plans: []*Plan{plan(2, here)}, asked: here},
		{name: "this host itself has seen the move", earlier: plan(1, here), plans: []*Plan{plan(1, here), plan(2, moved)}, asked: moved, known: true},
		{name: "others are of an older build", plans: []*Plan{plan(2, moved)}, asked: moved, known: true},
	}
	for _, c := range cases {
		for _, readFirst := range []bool{true, false} {
			Convey("Where "+c.name, t, func() {
				var m Moves
				tell := func() {
					if c.earlier == nil {
						return
					}
					var other Moves
					other.Update(began.Add(-long), c.earlier)
					digests, ok := other.Digests()
					So(ok, ShouldBeTrue)
					m.AddEarlier(digests)
				}
				if readFirst {
					tell()
				}
				for _, p := range c.plans {
					m.Update(began, p)
				}
				tell()
				now := began.Add(c.after)
				So(m.KnowsSince(c.asked, now.Add(-long)), ShouldEqual, c.known)
			})
		}
	}
}

func TestRoutesThatOthersToldStaySinceTheSameTime(t *testing.T) {
	Convey("A host that reads what it has written itself, with a time that is a little off, does not take it for longer", t, func() {
		var m Moves
		now := time.Unix(10_000, 0)
		m.Update(now, New(1, []Route{streamRoute("/a/", "p")}, nil, nil, Limits{}))
		for range 100 {
			digests, _ := m.Digests()
			for i := range digests {
				digests[i].Since = digests[i].Since.Add(-10 * time.Millisecond)
			}
			m.AddEarlier(digests)
		}
		So(m.KnowsSince(streamRoute("/a/", "p"), now.Add(-11*time.Millisecond)), ShouldBeFalse)
	})
}
