package relay

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// newPlacedRelay returns a daemon with one upstream in each of the domains a and b.
func newPlacedRelay(evacuate time.Duration) *Relay {
	deps := common.NewQuietDeps("host-1", "a")
	r := New(deps, setup.Relay{
		Host:      setup.RelayHost{Host: setup.Host{Name: "host-1", Domain: "a"}, Region: "ra"},
		Upstreams: setup.Upstreams{Evacuate: config.Span(evacuate)},
		Domains:   map[string]string{"b": "rb"},
	}, Adapter{
		Workers: noWorkers,
		Starts:  noStarts,
		Hosts:   emptyHostTable{},
		Eras:    follow.NewEras(deps),
		Evacuation: func(key string, _ []byte) (string, error) {
			domain, _ := strings.CutPrefix(key, "out/")
			return domain, nil
		},
		Upstream: func(key string, _ []byte) (route.Upstream, error) {
			return route.Upstream{
				Name:   key,
				Addr:   "10.0.0.1:" + key,
				Pool:   "p",
				Domain: key,
			}, nil
		},
	})
	r.upstreams.Reset([]follow.Row{{Key: "a"}, {Key: "b"}})
	r.plans.ReplaceIfNewer(plan.New(1, nil, []plan.Pool{{Name: "p"}}, nil, plan.Limits{}))
	r.sync()
	return r
}

// domainsInUse returns the domains and regions of the upstreams that the routing table chooses.
func (r *Relay) domainsInUse() map[string]string {
	out := map[string]string{}
	for _, d := range []string{"a", "b"} {
		if up, ok := r.table.PickRandomlySeeded(r.Now(), route.Query{Pool: "p", PreferDomain: d}); ok {
			out[up.Domain] = up.Region
			r.table.Release(r.Now(), up.Name)
		}
	}
	return out
}

// TestNothingIsRoutedBeforeOrdersAreKnown guards against a host that has a configuration from another host, and sends to an evacuated domain until it has read the orders.
func TestNothingIsRoutedBeforeOrdersAreKnown(t *testing.T) {
	Convey("Given a host with orders to follow that has a configuration and upstreams", t, func() {
		r := newPlacedRelay(2 * time.Second)
		So(r.domainsInUse(), ShouldBeEmpty)
		Convey("it routes once it has read the orders, and not to the evacuated domain", func() {
			r.orders.Reset([]follow.Row{{Key: "out/a"}})
			So(r.domainsInUse(), ShouldResemble, map[string]string{"b": "rb"})
			r.orders.Apply([]follow.Row{{Key: "out/a", Deleted: true}})
			So(r.domainsInUse(), ShouldResemble, map[string]string{"a": "ra", "b": "rb"})
		})
	})
}

// TestOrdersAreIgnoredUnlessSettingsAskForThem guards against a deployment without evacuations that waits for orders, or takes a row for one.
func TestOrdersAreIgnoredUnlessSettingsAskForThem(t *testing.T) {
	Convey("Given a host without the setting, it routes at once, and its configuration feed has no sink for orders", t, func() {
		r := newPlacedRelay(0)
		So(r.domainsInUse(), ShouldHaveLength, 2)
		So(r.configurationSinks(), ShouldEqual, r.planSink)
	})
}
