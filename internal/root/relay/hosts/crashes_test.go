package hosts

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/flow"
	"github.com/cornelwing/cornelwing/internal/root/relay/links"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// newTestRosters returns the rosters of n hosts that all know each other.
func newTestRosters(n int) []*Roster {
	var all []Host
	for i := range n {
		all = append(all, hostOf(i, fmt.Sprintf("10.0.0.%d:1", i)))
	}
	rosters := make([]*Roster, n)
	for i, h := range all {
		rosters[i] = newTestRoster(h, all)
	}
	return rosters
}

// newTestRoster returns the roster of a host that knows all hosts.
func newTestRoster(h Host, all []Host) *Roster {
	r := NewRoster(common.NewQuietDeps(h.Name, h.Domain), h)
	r.Reset(rowsOf(all...))
	return r
}

func TestCrashIsReportedToReplicasAndBlockToAllHosts(t *testing.T) {
	for _, n := range []int{2, 9, 81} {
		Convey(fmt.Sprintf("Of %d hosts", n), t, func() {
			rosters := newTestRosters(n)
			Convey("a crash is reported to at most three hosts, the same ones whichever host reports it", func() {
				replicas := map[string]bool{}
				for _, r := range rosters {
					list := r.RankedOthers(countersKey, crashCounters)
					So(len(list), ShouldBeLessThanOrEqualTo, crashCounters)
					for _, h := range list {
						So(h.Name, ShouldNotEqual, r.self.Name)
						replicas[h.Name] = true
					}
				}
				So(len(replicas), ShouldEqual, min(n, crashCounters))
			})
			Convey("a host that starts is notified of blocked requests by one to three hosts", func() {
				notifying := 0
				for _, r := range rosters[1:] {
					if r.selfInTop(rosters[0].self.Name, crashCounters) {
						notifying++
					}
				}
				So(notifying, ShouldBeBetweenOrEqual, 1, crashCounters)
			})
			Convey("all other hosts that are up are notified of a blocked request", func() {
				r := rosters[0]
				So(r.LiveOthers(), ShouldHaveLength, n-1)
				r.MarkDown(rosters[1].self, errors.New("silent"))
				So(r.LiveOthers(), ShouldHaveLength, n-2)
			})
		})
	}
}

// TestRequestsAreNotBlockedForCrashesDuringPartitions guards against blocked requests when a failure domain is disconnected and reconnected repeatedly. Each disconnection breaks the connections of all requests in progress between this domain and the others, as a crash of their upstreams would.
func TestRequestsAreNotBlockedForCrashesDuringPartitions(t *testing.T) {
	Convey("Given a host that loses its upstreams in every partition", t, func() {
		deps := common.NewQuietDeps("h0", "d")
		// The clock is read by reports in the background, too.
		var elapsed atomic.Int64
		deps.Now = func() time.Time { return time.Unix(1000, 0).Add(time.Duration(elapsed.Load())) }
		self := hostOf(0, "127.0.0.1:0")
		peers := NewPeers(deps, self.Addr, NewRoster(deps, self), &fakeLocalQueues{name: "h0"})
		c := NewCrashes(deps, peers, links.NewDialer(deps).Reaches)
		gone := func(i int) route.Upstream {
			return route.Upstream{
				Name: fmt.Sprintf("u%d", i),
				Addr: "127.0.0.1:1",
			}
		}
		popular := blame.Request{
			Own: crash.FingerprintOf(nil, "h.example", "/popular", "account"),
		}
		blocked := func() bool {
			_, ok := c.Check(popular).(flow.Rejected)
			return ok
		}
		Convey("a frequent request that completes between the partitions is never blocked", func() {
			for partition := range 20 {
				elapsed.Add(int64(10 * time.Second))
				c.RecordConnLoss(t.Context(), popular, gone(2*partition))
				c.RecordConnLoss(t.Context(), popular, gone(2*partition+1))
				So(blocked(), ShouldBeFalse)
				c.RecordSurvived(popular)
			}
		})
		Convey("a request that never completes is blocked after three upstreams have crashed", func() {
			for i := range 3 {
				So(blocked(), ShouldBeFalse)
				c.RecordConnLoss(t.Context(), popular, gone(i))
			}
			So(blocked(), ShouldBeTrue)
		})
		Convey("an upstream that still accepts connections is not counted as crashed", func() {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer ln.Close()
			for i := range 5 {
				up := gone(i)
				up.Addr = ln.Addr().String()
				c.RecordConnLoss(t.Context(), popular, up)
			}
			So(blocked(), ShouldBeFalse)
		})
	})
}
