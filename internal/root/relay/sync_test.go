package relay

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/setup"
)

// TestConcurrentSyncsKeepNewestUpstreams guards against a lost update. An upstream changes while other changes sync the routing table; whichever call ends last, the table must hold the newest address.
func TestConcurrentSyncsKeepNewestUpstreams(t *testing.T) {
	const (
		rounds          = 3000
		concurrentSyncs = 4
	)
	Convey("When syncs run concurrently with a change, the routing table always has the newest address", t, func() {
		r := New(common.NewQuietDeps("host-1", "d"), setup.Relay{}, Adapter{
			Hosts:   emptyHostTable{},
			Workers: noWorkers,
			Starts:  noStarts,
			Eras:    follow.NewEras(common.NewQuietDeps("host-1", "d")),
			Upstream: func(key string, value []byte) (route.Upstream, error) {
				return route.Upstream{
					Name: key,
					Addr: string(value),
					Pool: "p",
				}, nil
			},
		})
		r.plans.ReplaceIfNewer(plan.New(1, nil, []plan.Pool{{Name: "p"}}, nil, plan.Limits{}))
		r.upstreams.Reset(nil)
		stale := 0
		for i := range rounds {
			addr := fmt.Sprintf("10.0.0.1:%d", i)
			var all sync.WaitGroup
			for range concurrentSyncs {
				all.Go(r.sync)
			}
			all.Go(func() {
				r.upstreams.Apply([]follow.Row{{
					Key:   "u",
					Value: []byte(addr),
				}})
			})
			all.Wait()
			up, ok := r.table.PickRandomlySeeded(r.Now(), route.Query{Pool: "p"})
			if !ok || up.Addr != addr {
				stale++
			}
			r.table.Release(r.Now(), up.Name)
		}
		So(stale, ShouldEqual, 0)
	})
}
