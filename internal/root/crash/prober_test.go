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
				Convey("Requests that lose their connections at the same time get the right answer from shared probes", t, func() {
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
					So(probes, ShouldBeLessThanOrEqualTo, 3)
					So(time.Since(lost), ShouldBeLessThanOrEqualTo, settleTime+3*probeTime)
				})
			})
		})
	}
}

// Guards against a sound upstream that counts as crashed because one probe got no answer.
func TestProberForgivesOneLostProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An upstream is reachable although its second probe is lost", t, func() {
			probes := 0
			p := NewProber(func(ctx context.Context, _ string) bool {
				probes++
				if probes == 2 {
					<-ctx.Done()
					return false
				}
				return true
			})
			So(p.StaysReachable(t.Context(), route.Upstream{
				Name: "u1",
			}), ShouldBeTrue)
		})
	})
}

// Guards against a lost connection that is judged by a probe which began long before it.
func TestLossDuringLastProbeIsProbedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an upstream that dies while it is probed for the second time", t, func() {
			const probeTime = 10 * time.Millisecond
			began := time.Now()
			diesAt := settleTime + 2*probeTime
			p := NewProber(func(context.Context, string) bool {
				there := time.Since(began) < diesAt
				time.Sleep(probeTime)
				return there
			})
			up := route.Upstream{
				Name: "u1",
			}
			first := make(chan bool)
			go func() { first <- p.StaysReachable(t.Context(), up) }()
			time.Sleep(settleTime + probeTime + probeTime/2)
			Convey("a connection that is lost then shows the crash, the one before doesn't", func() {
				So(p.StaysReachable(t.Context(), up), ShouldBeFalse)
				So(<-first, ShouldBeTrue)
			})
		})
	})
}
