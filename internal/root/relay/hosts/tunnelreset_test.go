package hosts

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a reset of the upstream's connection that the carrying host tells as its end, as the copy of what is sent to the upstream got the error (MIXED, issue 54).
func TestResetOfUpstreamDuringUploadThroughTunnelIsNoEnd(t *testing.T) {
	Convey("Given a host that sends much to an upstream through another one", t, func() {
		c := newTunnelCluster(t, 2, 1)
		Convey("a reset within that is never read as the end", func() {
			const rounds = 20
			for range rounds {
				client, upstream := c.connect()
				_, err := upstream.Write([]byte("part"))
				So(err, ShouldBeNil)
				go func() {
					for {
						if _, err := client.Write(make([]byte, 64<<10)); err != nil {
							return
						}
					}
				}()
				time.Sleep(5 * time.Millisecond)
				So(upstream.(*net.TCPConn).SetLinger(0), ShouldBeNil)
				So(upstream.Close(), ShouldBeNil)
				got, err := io.ReadAll(client)
				So(len(got), ShouldBeLessThanOrEqualTo, len("part"))
				So(err, ShouldNotBeNil)
				So(errors.Is(err, io.EOF), ShouldBeFalse)
				_ = client.Close()
			}
		})
	})
}
