package route

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/stage"
)

func TestSharedReportsReplaceOlderOnes(t *testing.T) {
	Convey("Given a host that has got a report, and one that has not", t, func() {
		now := time.Unix(1000, 0)
		from, list := newTable(3, 16)
		to, _ := newTable(3, 16)
		name := list[0].Name
		from.Report(name, stage.Load{Busy: 5, Queued: 3, Slots: 16, Pace: 1.25}, now)
		later := now.Add(200 * time.Millisecond)
		told := from.SharedReports(later, 10, true)
		So(told, ShouldHaveLength, 1)
		Convey("the other host takes it with its age, and tells it on, but not as its own", func() {
			to.RecordShared(later, told)
			e := to.byName[name]
			So(e.report, ShouldResemble, from.byName[name].report)
			So(e.reportAt, ShouldEqual, now)
			So(to.SharedReports(later, 10, false), ShouldHaveLength, 1)
			So(to.SharedReports(later, 10, true), ShouldBeEmpty)
		})
		Convey("a newer report stays", func() {
			to.Report(name, stage.Load{Busy: 1, Slots: 16, Pace: 1}, later)
			to.RecordShared(later, told)
			So(to.byName[name].report.Busy, ShouldEqual, 1)
		})
		Convey("a report that is too old is neither told nor taken", func() {
			So(from.SharedReports(now.Add(2*maxSharedAge), 10, true), ShouldBeEmpty)
			told[0].AgeMS = (2 * maxSharedAge).Milliseconds()
			to.RecordShared(later, told)
			So(to.byName[name].reportAt.IsZero(), ShouldBeTrue)
		})
		Convey("a brittle upstream is left to the host's own reports", func() {
			to.SetBrittle(list[0].Incarnation(), 1)
			to.RecordShared(later, told)
			So(to.byName[name].reportAt.IsZero(), ShouldBeTrue)
		})
		Convey("a report of an unknown upstream is ignored", func() {
			told[0].Upstream++
			So(func() { to.RecordShared(later, told) }, ShouldNotPanic)
		})
	})
}

func FuzzSharedReport(f *testing.F) {
	good, _ := cbor.Marshal(SharedReport{Upstream: 1, Busy: 2, Queued: 3, Slots: 4, PacePercent: 100, AgeMS: 5})
	f.Add(good)
	f.Add([]byte{0xa1, 0x02, 0x20})
	f.Fuzz(func(t *testing.T, b []byte) {
		var r SharedReport
		if cbor.Unmarshal(b, &r) != nil {
			return
		}
		if min(r.Busy, r.Queued, r.Slots, r.PacePercent) < 0 || max(r.Busy, r.Queued, r.Slots, r.PacePercent) > maxSharedCount || r.AgeMS < 0 {
			t.Fatalf("decoded %+v", r)
		}
	})
}
