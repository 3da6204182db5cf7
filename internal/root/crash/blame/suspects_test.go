package blame

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

// Guards against sound requests that are blamed after all hosts were lost, as what upstreams have survived was not kept.
func TestSuspectsAreKeptOnlyWhileTheirCrashesCount(t *testing.T) {
	const bad, shared = 1, 2
	Convey("Given a crash under a request that crashes upstreams and a sound one", t, func() {
		l := NewLedger()
		l.Merge(at(1), NewUpdate(at(1), []Crash{crashAt(1, req(7, bad), req(8, shared))}, nil))
		l.Assess(at(1))
		So(l.TakeSuspectsChange(at(1)), ShouldBeTrue)
		So(l.TakeSuspectsChange(at(2)), ShouldBeFalse)
		So(l.Suspects(at(1)).Crashes[0].Requests, ShouldHaveLength, 2)
		Convey("what an upstream survives is kept no longer, which is saved some time later", func() {
			l.Survived(at(2), req(8, shared), 0)
			So(l.Suspects(at(2)).Crashes[0].Requests, ShouldResemble, []Request{req(7, bad)})
			So(l.TakeSuspectsChange(at(3)), ShouldBeFalse)
			So(l.TakeSuspectsChange(at(1).Add(suspectsSaveTime)), ShouldBeTrue)
		})
		Convey("a host that is told of it blocks the bad one alone after two more crashes", func() {
			l.Survived(at(2), req(8, shared), 0)
			next := NewLedger()
			next.Merge(at(3), l.Suspects(at(3)))
			next.Merge(at(4), NewUpdate(at(4), []Crash{crashAt(3, req(7, bad), req(8, shared)), crashAt(4, req(7, bad), req(8, shared))}, nil))
			next.Assess(at(4))
			So(next.Blocked(), ShouldResemble, []crash.Fingerprint{bad, req(7).Own})
		})
		Convey("crashes that a blocked part explains are kept with it, not as suspects", func() {
			l.Survived(at(1.5), req(8, shared), 0)
			l.Merge(at(4), NewUpdate(at(4), []Crash{crashAt(3, req(9, bad)), crashAt(4, req(10, bad))}, nil))
			l.Assess(at(4))
			So(l.Blocked(), ShouldResemble, []crash.Fingerprint{bad})
			So(l.Suspects(at(4)).Crashes, ShouldBeEmpty)
		})
	})
	Convey("Old crashes are kept no longer", t, func() {
		l := NewLedger()
		l.Merge(at(1), NewUpdate(at(1), []Crash{crashAt(1, req(7))}, nil))
		next := NewLedger()
		now := at(1).Add(retention + time.Second)
		next.Merge(now, l.Suspects(now))
		So(next.Suspects(now).Crashes, ShouldBeEmpty)
	})
}
