package crash

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
)

func newMark(fp Fingerprint, upstream string, at time.Time) Mark {
	return Mark{
		Fingerprint: fp,
		Upstream:    upstream,
		At:          at.UnixMilli(),
	}
}

func TestTrackerCountsCrashesAndBlocksRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a tracker and its guard", t, func() {
		tr := NewTracker()
		deps := common.NewQuietDeps("h", "d")
		deps.Now = func() time.Time { return now }
		g := NewGuard(deps, tr, nil, nil, nil)
		blocked := func(fp Fingerprint) bool {
			_, ok := g.Crashes(fp)
			return ok
		}
		Convey("marks that several hosts set for the same crash count once", func() {
			So(tr.Add(newMark(1, "u1", now), now), ShouldBeTrue)
			So(tr.Add(newMark(1, "u1", now.Add(time.Second)), now), ShouldBeFalse)
			So(tr.CrashCount(1, now), ShouldEqual, 1)
		})
		Convey("two crashes block the request, and one crash does not block another request", func() {
			for i, u := range []string{"u1", "u2"} {
				So(blocked(1), ShouldBeFalse)
				So(tr.CrashCount(1, now), ShouldEqual, i)
				tr.Add(newMark(1, u, now), now)
			}
			tr.Add(newMark(2, "u1", now), now)
			So(blocked(1), ShouldBeTrue)
			So(blocked(2), ShouldBeFalse)
			So(tr.Marks(now, 100), ShouldHaveLength, 3)
			So(tr.Marks(now, 2), ShouldHaveLength, 2)
		})
		Convey("marks expire after the retention period", func() {
			tr.Add(newMark(1, "u1", now), now)
			So(tr.CrashCount(1, now.Add(markRetention)), ShouldEqual, 0)
		})
	})
}

func TestTrackerMatchesPlainList(t *testing.T) {
	Convey("Over long runs the tracker counts the same crashes as a plain list", t, func() {
		for seed := range uint64(20) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			tr := NewTracker()
			var marks []Mark
			now := time.Unix(1000, 0)
			for range 400 {
				now = now.Add(time.Duration(rnd.IntN(20_000)) * time.Millisecond)
				m := newMark(Fingerprint(rnd.IntN(4)), string(rune('a'+rnd.IntN(3))), now)
				duplicate := false
				for _, o := range marks {
					duplicate = duplicate || (o.Fingerprint == m.Fingerprint && o.Upstream == m.Upstream && m.At-o.At < sameCrashWindow.Milliseconds())
				}
				if tr.Add(m, now) == duplicate {
					t.Fatalf("seed %d: mark %+v: Add disagrees with the plain list of marks, which has duplicate=%v", seed, m, duplicate)
				}
				if !duplicate {
					marks = append(marks, m)
				}
				for fp := range Fingerprint(4) {
					n := 0
					for _, o := range marks {
						if o.Fingerprint == fp && now.UnixMilli()-o.At < markRetention.Milliseconds() {
							n++
						}
					}
					if tr.CrashCount(fp, now) != n {
						t.Fatalf("seed %d: request %d has %d crashes in the tracker and %d in the plain list of marks", seed, fp, tr.CrashCount(fp, now), n)
					}
				}
			}
		}
		So(true, ShouldBeTrue)
	})
}
