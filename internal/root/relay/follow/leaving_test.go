package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

func TestLeavingMarkBelongsToIncarnation(t *testing.T) {
	start := route.Incarnation{Name: "a", Addr: "addr-a", StartedAtMS: 5}
	unknownStart := route.Incarnation{Name: "a", Addr: "addr-a"}
	scenarios := []struct {
		name string
		// row is the row of upstream a when it announces that it is leaving, and later its next row or "" for none.
		row, later string
		marked     route.Incarnation
		after      time.Duration
		leaving    bool
	}{
		{name: "its own announcement", row: "5 ready", marked: start, leaving: true},
		{name: "its own announcement, and a later row of the same start", row: "5 ready", marked: start, later: "5 ready", leaving: true},
		{name: "its own announcement, and a row of a later start", row: "5 ready", marked: start, later: "6 ready"},
		{name: "the announcement of an earlier start", row: "6 ready", marked: start},
		{name: "the announcement of another upstream at an earlier address", row: "5 ready", marked: route.Incarnation{Name: "a", Addr: "addr-b", StartedAtMS: 5}},
		{name: "its own announcement long ago", row: "5 ready", marked: start, after: time.Hour, leaving: true},
		{name: "its own announcement without a start time", row: "0 ready", marked: unknownStart, later: "0 ready", leaving: true},
		{name: "its own announcement without a start time, long ago", row: "0 ready", marked: unknownStart, after: time.Hour},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			now := time.Unix(1000, 0)
			deps := common.NewQuietDeps("h", "d")
			deps.Now = func() time.Time { return now }
			changes := 0
			m := NewUpstreams(deps, decodeStart, forgetTime, func() { changes++ })
			m.Reset([]Row{rowOf("a", sc.row)})
			before := changes
			m.MarkLeaving(sc.marked)
			m.MarkLeaving(sc.marked)
			So(changes-before, ShouldBeLessThanOrEqualTo, 1)
			if sc.later != "" {
				m.Apply([]Row{rowOf("a", sc.later)})
			}
			now = now.Add(sc.after)
			So(m.List()[0].Leaving, ShouldEqual, sc.leaving)
		})
	}
}

// TestLeavingMarkWithoutStartTimeIsSetAgain guards against an upstream that goes on being used although it announces again that it is leaving, after its first mark has ended.
func TestLeavingMarkWithoutStartTimeIsSetAgain(t *testing.T) {
	Convey("Given a leaving upstream without a start time whose mark has ended", t, func() {
		now := time.Unix(1000, 0)
		deps := common.NewQuietDeps("h", "d")
		deps.Now = func() time.Time { return now }
		changes := 0
		m := NewUpstreams(deps, decodeStart, forgetTime, func() { changes++ })
		m.Reset([]Row{rowOf("a", "0 ready")})
		i := route.Incarnation{Name: "a", Addr: "addr-a"}
		m.MarkLeaving(i)
		now = now.Add(leaverRetention + time.Millisecond)
		So(m.List()[0].Leaving, ShouldBeFalse)
		Convey("its next announcement takes it out of use at once, and later ones change nothing", func() {
			before := changes
			m.MarkLeaving(i)
			So(changes-before, ShouldEqual, 1)
			So(m.List()[0].Leaving, ShouldBeTrue)
			m.MarkLeaving(i)
			So(changes-before, ShouldEqual, 1)
		})
	})
}

func TestLeavingUpstreamIsNotRetainedAfterOutage(t *testing.T) {
	Convey("An upstream that announced its leaving and lost its row in an outage is removed at once", t, func() {
		m := NewUpstreams(common.NewQuietDeps("h", "d"), decodeStart, forgetTime, func() {})
		m.Reset([]Row{rowOf("a", "5 ready")})
		m.MarkLeaving(route.Incarnation{Name: "a", Addr: "addr-a", StartedAtMS: 5})
		m.OutageStarted()
		m.Reset(nil)
		So(m.List(), ShouldBeEmpty)
	})
}

// TestLeavingMarksAgainstNaive applies random rows, announcements, removals, outages and restores, and compares the usable upstreams with a naive record of everything that each incarnation said of itself.
func TestLeavingMarksAgainstNaive(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 21))
		m := NewUpstreams(common.NewQuietDeps("h", "d"), decodeStart, forgetTime, func() {})
		announced := map[route.Incarnation]bool{}
		table := map[string]string{}
		var copies []map[string]string
		rows := func() []Row {
			var out []Row
			for k, v := range table {
				out = append(out, rowOf(k, v))
			}
			return out
		}
		for step := range 1500 {
			name := fmt.Sprint("u", rng.IntN(4))
			switch rng.IntN(8) {
			case 0:
				delete(table, name)
				m.Apply([]Row{{Key: name, Deleted: true}})
			case 1:
				i := route.Incarnation{Name: name, Addr: "addr-" + name, StartedAtMS: int64(1 + step/100)}
				announced[i] = true
				m.MarkLeaving(i)
			case 2:
				saved := map[string]string{}
				for k, v := range table {
					saved[k] = v
				}
				copies = append(copies, saved)
			case 3:
				if len(copies) > 0 {
					clear(table)
					for k, v := range copies[rng.IntN(len(copies))] {
						table[k] = v
					}
					m.Restore(rows())
				}
			default:
				table[name] = fmt.Sprintf("%d %s", 1+step/100, []string{"ready", "ready", "leaving"}[rng.IntN(3)])
				m.Apply([]Row{rowOf(name, table[name])})
			}
			for _, u := range m.List() {
				if announced[u.Incarnation()] && !u.Leaving {
					t.Fatalf("seed %d, step %d: %v is used although it announced that it is leaving", seed, step, u)
				}
			}
		}
	}
}
