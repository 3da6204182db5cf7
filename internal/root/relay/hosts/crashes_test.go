package hosts

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
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
					list := r.RankedOthers("a1b2", crashReplicas)
					So(len(list), ShouldBeLessThanOrEqualTo, crashReplicas)
					for _, h := range list {
						So(h.Name, ShouldNotEqual, r.self.Name)
						replicas[h.Name] = true
					}
				}
				So(len(replicas), ShouldEqual, min(n, crashReplicas))
			})
			Convey("a host that starts is notified of blocked requests by one to three hosts", func() {
				notifying := 0
				for _, r := range rosters[1:] {
					if r.selfInTop(rosters[0].self.Name, crashReplicas) {
						notifying++
					}
				}
				So(notifying, ShouldBeBetweenOrEqual, 1, crashReplicas)
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
		now := time.Unix(1000, 0)
		deps.Now = func() time.Time { return now }
		self := hostOf(0, "127.0.0.1:0")
		peers := NewPeers(deps, self.Addr, NewRoster(deps, self), &fakeLocalQueues{name: "h0"})
		c := NewCrashes(deps, peers)
		gone := func(i int) route.Upstream {
			return route.Upstream{
				Name: fmt.Sprintf("u%d", i),
				Addr: "127.0.0.1:1",
			}
		}
		popular := crash.FingerprintOf(nil, "h.example", "/popular", "account")
		Convey("a frequent request that completes between the partitions is never blocked", func() {
			for partition := range 20 {
				now = now.Add(10 * time.Second)
				c.RecordConnLoss(t.Context(), popular, gone(2*partition))
				c.RecordConnLoss(t.Context(), popular, gone(2*partition+1))
				So(c.Blocked(popular), ShouldBeFalse)
				c.RecordCompleted(popular)
			}
		})
		Convey("a request that never completes is blocked after three upstreams have crashed", func() {
			for i := range 3 {
				So(c.Blocked(popular), ShouldBeFalse)
				c.RecordConnLoss(t.Context(), popular, gone(i))
			}
			So(c.Blocked(popular), ShouldBeTrue)
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
			So(c.Blocked(popular), ShouldBeFalse)
		})
	})
}
