package vital_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

// Guards against an idle connection that its server has dropped without a notice, and whose silence is taken for a sign that the server has outlived a response (rule ORDER, case review/6).
func TestDroppedIdleConnectionDoesNotConfirmEnd(t *testing.T) {
	for _, idle := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 340 * time.Millisecond, time.Second} {
		Convey(fmt.Sprintf("Given a server that dies %s after the head, and that has dropped its idle connections", idle), t, func() {
			s := listenPartServer(t, "127.0.0.1:0")
			host := startHost(t, s.ln.Addr().String())
			s.accept()
			s.sendPart()
			host.waitFor("reading")
			time.Sleep(idle)
			s.dead.Store(true)
			// The connections of the server that are idle stay open for the kernel of the host.
			So(s.ln.Close(), ShouldBeNil)
			So(s.request.Close(), ShouldBeNil)
			Convey("the part does not pass for the whole", func() {
				So(host.waitFor("bytes"), ShouldContainSubstring, send.ErrUnconfirmedEnd.Error())
			})
		})
	}
}
