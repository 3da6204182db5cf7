package relay

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/setup"
)

// TestNewestUpstreamsAreUsedWhateverChangesBesides lets a change of the upstreams meet changes of the configuration: whichever ends last, the routing table has the newest upstreams.
func TestNewestUpstreamsAreUsedWhateverChangesBesides(t *testing.T) {
	const (
		rounds = 3000
		beside = 4
	)
	Convey("Over many changes that meet, the newest address is always the one in use", t, func() {
		r := New(common.Quiet("host-1", "d"), setup.Relay{}, Adapter{
			Hosts: noHosts{},
			Upstream: func(key string, value []byte) (route.Upstream, error) {
				return route.Upstream{
					Name: key,
					Addr: string(value),
					Pool: "p",
				}, nil
			},
		})
		r.plans.Offer(plan.New(1, nil, []plan.Pool{{Name: "p"}}, nil, plan.Limits{}))
		r.members.Reset(nil)
		stale := 0
		for i := range rounds {
			addr := fmt.Sprintf("10.0.0.1:%d", i)
			var all sync.WaitGroup
			for range beside {
				all.Go(r.sync)
			}
			all.Go(func() {
				r.members.Apply([]follow.Row{{
					Key:   "u",
					Value: []byte(addr),
				}})
			})
			all.Wait()
			up, ok := r.table.PickAny(r.Now(), route.Query{Pool: "p"})
			if !ok || up.Addr != addr {
				stale++
			}
			r.table.Release(r.Now(), up.Name)
		}
		So(stale, ShouldEqual, 0)
	})
}
