package blame

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

// Guards against a host that joins, is told of crashes but not of survivals, and blocks a sound part that many requests share (rule RECOVER).
func TestJoiningHostBlocksNothingThatUpstreamsSurvived(t *testing.T) {
	const bad, shared = 1, 2
	Convey("Given a host that knows a part that crashes upstreams, beside a shared one that they survive", t, func() {
		old := NewLedger()
		old.Survived(at(0), req(9, shared), 0)
		old.Merge(at(3), NewUpdate(at(3), []Crash{crashAt(1, req(1, shared, bad)), crashAt(2, req(2, shared, bad)), crashAt(3, req(3, shared, bad))}, nil))
		old.Assess(at(3))
		So(old.Blocked(), ShouldResemble, []crash.Fingerprint{bad})
		Convey("one that is told of it blocks the same", func() {
			joined := NewLedger()
			joined.Merge(at(4), old.Evidence(at(4), old.Blocked()))
			joined.Assess(at(4))
			So(joined.Blocked(), ShouldResemble, []crash.Fingerprint{bad})
		})
	})
}
