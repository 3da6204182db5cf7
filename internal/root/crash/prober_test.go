package crash

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Guards against a crash that nobody notices because the listener of the upstream outlives its connections for a moment (class of incident ORDER).
func TestProberNoticesUpstreamWhoseListenerOutlivesItsConnections(t *testing.T) {
	const probeTime = 100 * time.Microsecond
	cases := []struct {
		name string
		// gone is when the upstream is gone, after the loss of the connection.
		gone      time.Duration
		reachable bool
	}{
		{name: "gone at once"},
		{name: "gone after 1 ms", gone: time.Millisecond},
		{name: "gone after 25 ms", gone: 25 * time.Millisecond},
		{name: "alive", gone: time.Hour, reachable: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("Requests that lose their connections at the same time get the right answer from one probe", t, func() {
					lost := time.Now()
					var mu sync.Mutex
					probes := 0
					p := NewProber(func(context.Context, string) bool {
						mu.Lock()
						probes++
						mu.Unlock()
						there := time.Since(lost) < tc.gone
						time.Sleep(probeTime)
						return there
					})
					answers := make(chan bool)
					for range 10 {
						go func() {
							answers <- p.StaysReachable(t.Context(), route.Upstream{
								Name: "u1",
							})
						}()
					}
					for range 10 {
						So(<-answers, ShouldEqual, tc.reachable)
					}
					So(probes, ShouldBeLessThanOrEqualTo, 2)
					So(time.Since(lost), ShouldBeLessThanOrEqualTo, settleTime+2*probeTime)
				})
			})
		})
	}
}
