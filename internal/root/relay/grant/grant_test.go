package grant

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLease(t *testing.T) {
	Convey("Given a lease of 5 s", t, func() {
		var now time.Duration
		l := New(func() time.Duration { return now }, 5*time.Second)
		Convey("it does not hold before the first confirmation", func() {
			So(l.Valid(), ShouldBeFalse)
		})
		Convey("a confirmation counts from when it was asked for, not from its answer", func() {
			asked := l.Start()
			now = 2 * time.Second
			l.Confirm(asked)
			now = 4999 * time.Millisecond
			So(l.Valid(), ShouldBeTrue)
			now = 5 * time.Second
			So(l.Valid(), ShouldBeFalse)
		})
		Convey("an answer that comes late does not shorten it", func() {
			old := l.Start()
			now = time.Second
			l.Confirm(l.Start())
			l.Confirm(old)
			now = 5900 * time.Millisecond
			So(l.Valid(), ShouldBeTrue)
		})
		Convey("time that passed while the host was suspended counts", func() {
			l.Confirm(l.Start())
			now += time.Minute
			So(l.Valid(), ShouldBeFalse)
		})
	})
	Convey("The boot clock goes on", t, func() {
		a := Boot()
		time.Sleep(2 * time.Millisecond)
		So(Boot(), ShouldBeGreaterThan, a)
	})
}
