package crash

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func markOf(p Fingerprint, upstream string, at time.Time) Mark {
	return Mark{
		Fingerprint: p,
		Upstream:    upstream,
		At:          at.UnixMilli(),
	}
}

func TestTracker(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a tracker that stops requests at three crashes", t, func() {
		tr := NewTracker(WithLimit(3))
		Convey("marks of one crash that come from several hosts count once", func() {
			So(tr.Add(markOf(1, "u1", now), now), ShouldBeTrue)
			So(tr.Add(markOf(1, "u1", now.Add(time.Second)), now), ShouldBeFalse)
			So(tr.Count(1, now), ShouldEqual, 1)
		})
		Convey("it stops at the third, and only that request", func() {
			for i, u := range []string{"u1", "u2", "u3"} {
				So(tr.Blocked(1, now), ShouldBeFalse)
				So(tr.Count(1, now), ShouldEqual, i)
				tr.Add(markOf(1, u, now), now)
			}
			tr.Add(markOf(2, "u1", now), now)
			So(tr.Blocked(1, now), ShouldBeTrue)
			So(tr.Blocked(2, now), ShouldBeFalse)
			So(tr.Stopped(now, 100), ShouldHaveLength, 3)
			So(tr.Stopped(now, 2), ShouldBeEmpty)
			So(tr.Of(1), ShouldHaveLength, 3)
		})
		Convey("one that ran to its end was beside a crash, and begins anew", func() {
			tr.Add(markOf(1, "u1", now), now)
			So(tr.Clear(1), ShouldBeTrue)
			So(tr.Clear(1), ShouldBeFalse)
			So(tr.Count(1, now), ShouldEqual, 0)
		})
		Convey("marks are forgotten after their time", func() {
			tr.Add(markOf(1, "u1", now), now)
			So(tr.Count(1, now.Add(keepFor)), ShouldEqual, 0)
		})
	})
}

// TestTrackerAgainstNaive compares long seeded runs with a plain list of crashes.
func TestTrackerAgainstNaive(t *testing.T) {
	Convey("Over long runs the tracker counts as a plain list does", t, func() {
		for seed := range uint64(20) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			tr := NewTracker(WithLimit(3))
			var list []Mark
			now := time.Unix(1000, 0)
			for range 400 {
				now = now.Add(time.Duration(rnd.IntN(20_000)) * time.Millisecond)
				m := markOf(Fingerprint(rnd.IntN(4)), string(rune('a'+rnd.IntN(3))), now)
				if rnd.IntN(20) == 0 {
					tr.Clear(m.Fingerprint)
					list = without(list, m.Fingerprint)
					continue
				}
				same := false
				for _, o := range list {
					same = same || (o.Fingerprint == m.Fingerprint && o.Upstream == m.Upstream && m.At-o.At < sameCrash.Milliseconds())
				}
				if tr.Add(m, now) == same {
					t.Fatalf("seed %d: mark %+v was taken as %v", seed, m, same)
				}
				if !same {
					list = append(list, m)
				}
				for p := range Fingerprint(4) {
					n := 0
					for _, o := range list {
						if o.Fingerprint == p && now.UnixMilli()-o.At < keepFor.Milliseconds() {
							n++
						}
					}
					if tr.Count(p, now) != n || tr.Blocked(p, now) != (n >= 3) {
						t.Fatalf("seed %d: request %d counts %d, the list has %d", seed, p, tr.Count(p, now), n)
					}
				}
			}
		}
		So(true, ShouldBeTrue)
	})
}

func without(list []Mark, p Fingerprint) []Mark {
	var out []Mark
	for _, m := range list {
		if m.Fingerprint != p {
			out = append(out, m)
		}
	}
	return out
}
