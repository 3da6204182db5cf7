package reach

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Guards against bytes of an upstream in trouble that are no response and count as a refusal, a result, a report or an accepted order (class of MIXED of issue 54).
func TestBytesThatAreNoResponseOfUpstreamTellNothing(t *testing.T) {
	heads := []struct {
		name string
		head string
	}{
		{name: "the status 000", head: "HTTP/1.1 000 OK\r\n"},
		{name: "the status 700", head: "HTTP/1.1 700 OK\r\n"},
		{name: "a blank in a name", head: "HTTP/1.1 200 OK\r\nX A: b\r\n"},
		{name: "a blank in a name of a refusal", head: "HTTP/1.1 503 No\r\nX A: b\r\n"},
	}
	for _, h := range heads {
		Convey("Given an upstream whose responses have "+h.name, t, func() {
			u := newEndingUpstream(t)
			respond := func(body string) {
				u.text = fmt.Sprintf("%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", h.head, len(body), body)
				u.sent = len(u.text)
			}
			for _, body := range []string{endRefusal, endResult} {
				respond(body)
				for _, newConn := range []bool{true, false} {
					got, _ := u.do(t, false, newConn)
					So(got, ShouldHaveSameTypeAs, Broken{})
				}
			}
			respond(endLoad)
			_, err := New().Load(t.Context(), u.addr)
			So(err, ShouldNotBeNil)
			respond("{}")
			So(New().Order(t.Context(), u.addr, stage.Order{}), ShouldNotBeNil)
		})
	}
}
