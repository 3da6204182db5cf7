package flow

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// fakeOrigins returns an origin, after what happens while it is looked for.
type fakeOrigins struct {
	origin    origin.Origin
	meanwhile func()
}

func (fakeOrigins) Record(origin.Key, origin.Origin, time.Duration, origin.Scope) {}

func (f fakeOrigins) Find(context.Context, origin.Lookup) (origin.Origin, bool) {
	f.meanwhile()
	return f.origin, true
}

// retryCodec formats no other header than Retry-After.
type retryCodec struct {
	HeaderCodec
}

func (retryCodec) FormatRetryAfter(d time.Duration) string { return d.String() }

// Guards against a stream that goes on in a pool of an outdated configuration, as its version was concluded for the pools of that one (issue 57, rule ORDER).
func TestConcludedVersionCountsOnlyForTheConfigurationOfTheRequest(t *testing.T) {
	known := route.Incarnation{Name: "u", Addr: "10.0.0.1:1"}
	cases := []struct {
		upstream route.Incarnation
		changes  bool
		ok       bool
	}{
		{ok: true},
		{changes: true},
		{upstream: known, ok: true},
		{upstream: known, changes: true, ok: true},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("Given a stream that began at upstream %q, and a configuration that changes meanwhile (%t)", c.upstream.Name, c.changes), t, func() {
			plans := &plan.Active{}
			current := &plan.Plan{Version: 1}
			plans.ReplaceIfNewer(current)
			deps := common.NewQuietDeps("host-1", "d")
			w := httptest.NewRecorder()
			x := &exchange{
				Service: &Service{
					Deps:        deps,
					Plans:       plans,
					Moves:       &plan.Moves{},
					HeaderCodec: retryCodec{},
					Upstreams: follow.NewUpstreams(deps, func(string, []byte) (route.Upstream, error) {
						return route.Upstream{}, nil
					}, time.Second, func() {}),
					Origins: fakeOrigins{
						origin: origin.Origin{
							Pool:     "p",
							Version:  "v1",
							Upstream: c.upstream,
						},
						meanwhile: func() {
							if c.changes {
								plans.ReplaceIfNewer(&plan.Plan{Version: 2})
							}
						},
					},
				},
				w:    w,
				r:    httptest.NewRequest(http.MethodPost, "/x", nil),
				plan: current,
				route: plan.Route{
					Kind:      plan.Stream,
					Resumable: true,
					Timeout:   time.Second,
					Targets:   []plan.Target{{Pool: "p"}},
				},
				pool: "p",
				requestHead: RequestHead{
					LastEvent: "2",
					Resumes:   "s",
				},
			}
			So(x.findOrigin(), ShouldEqual, c.ok)
			So(w.Code == http.StatusServiceUnavailable, ShouldEqual, !c.ok)
		})
	}
}
