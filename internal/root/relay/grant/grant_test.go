package grant

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLeaseExpiresOneTermAfterTheConfirmationRequest(t *testing.T) {
	Convey("Given a lease with a term of 5 s", t, func() {
		var now time.Duration
		l := New(func() time.Duration { return now }, 5*time.Second)
		Convey("it is not valid before the first confirmation", func() {
			So(l.Valid(), ShouldBeFalse)
		})
		Convey("the term starts when the confirmation is requested, not when it arrives", func() {
			requestedAt := l.RequestTime()
			now = 2 * time.Second
			l.Confirm(requestedAt)
			now = 4999 * time.Millisecond
			So(l.Valid(), ShouldBeTrue)
			now = 5 * time.Second
			So(l.Valid(), ShouldBeFalse)
		})
		Convey("a confirmation of an earlier request does not shorten the lease", func() {
			old := l.RequestTime()
			now = time.Second
			l.Confirm(l.RequestTime())
			l.Confirm(old)
			now = 5900 * time.Millisecond
			So(l.Valid(), ShouldBeTrue)
		})
		Convey("while it is paused, confirmations do not extend it before it is resumed", func() {
			l.Confirm(l.RequestTime())
			l.Pause()
			now = 2 * time.Second
			l.Confirm(l.RequestTime())
			now = 5 * time.Second
			So(l.Valid(), ShouldBeFalse)
			l.Resume(l.Pauses())
			So(l.Valid(), ShouldBeTrue)
			now = 7 * time.Second
			So(l.Valid(), ShouldBeFalse)
		})
		Convey("a pause drops the confirmations that an earlier pause held back, and outlasts its end", func() {
			l.Pause()
			first := l.Pauses()
			l.Confirm(l.RequestTime())
			l.Pause()
			l.Resume(first)
			l.Confirm(l.RequestTime())
			So(l.Valid(), ShouldBeFalse)
			l.Pause()
			l.Resume(l.Pauses())
			So(l.Valid(), ShouldBeFalse)
		})
		Convey("the lease expires while the host is suspended", func() {
			l.Confirm(l.RequestTime())
			now += time.Minute
			So(l.Valid(), ShouldBeFalse)
		})
	})
	Convey("The boot clock increases", t, func() {
		a := SinceBoot()
		time.Sleep(2 * time.Millisecond)
		So(SinceBoot(), ShouldBeGreaterThan, a)
	})
}
