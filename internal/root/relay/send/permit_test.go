package send

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRequestWithExpiredPermitIsNotSent guards against a host that freezes while it connects to a cold upstream and then sends the request.
func TestRequestWithExpiredPermitIsNotSent(t *testing.T) {
	Convey("Given an upstream", t, func() {
		var arrived, spent atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
		defer server.Close()
		client := New((&net.Dialer{}).DialContext)
		request := Request{
			Addr:   server.Listener.Addr().String(),
			Method: http.MethodPost,
			Host:   "h",
			Target: "/x",
			Header: http.Header{},
			Body:   []byte("body"),
		}
		send := func(valid bool) Result {
			return client.Do(WithPermit(context.Background(), func() bool {
				spent.Add(1)
				return valid
			}), request)
		}
		Convey("a request whose permit is valid is sent, and the permit is spent once", func() {
			res, ok := send(true).(Response)
			So(ok, ShouldBeTrue)
			res.Body.Close()
			So(arrived.Load(), ShouldEqual, 1)
			So(spent.Load(), ShouldEqual, 1)
		})
		Convey("one whose permit has expired is not", func() {
			So(send(false), ShouldResemble, Late{})
			So(arrived.Load(), ShouldEqual, 0)
		})
		Convey("one without a permit is sent", func() {
			res, ok := client.Do(context.Background(), request).(Response)
			So(ok, ShouldBeTrue)
			res.Body.Close()
			So(arrived.Load(), ShouldEqual, 1)
		})
	})
}
