package flow

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/warm"
)

// fakeSender ends each send with the result.
type fakeSender struct {
	result send.Result
}

func (s fakeSender) Do(context.Context, send.Request) send.Result { return s.result }

// fakeWarmUps counts what it is told.
type fakeWarmUps struct {
	unreachable int
}

func (w *fakeWarmUps) RecordUnreachable(route.Upstream) { w.unreachable++ }

func (*fakeWarmUps) RecordResponse(route.Upstream) {}

// plainCodec sets no headers.
type plainCodec struct {
	HeaderCodec
}

func (plainCodec) UpstreamRequestHead(http.Header, UpstreamRequestHead) {}

// fakeLimits grants permits for all upstreams but those named, and counts the questions.
type fakeLimits struct {
	denied map[string]bool
	asked  int
}

func (*fakeLimits) Note(route.Upstream, float64, time.Time) {}

func (l *fakeLimits) Take(_ context.Context, up route.Upstream) (granted bool, retry time.Duration) {
	l.asked++
	return !l.denied[up.Name], time.Second
}

// newColdExchange returns an exchange before a pool of a cold upstream and a warm one.
func newColdExchange(t *testing.T, result send.Result) (*exchange, *fakeWarmUps, *fakeLimits) {
	t.Helper()
	deps := common.NewQuietDeps("h", "d")
	table := route.New("d")
	ups := []route.Upstream{
		{Name: "cold", Addr: "10.0.0.1:1", Domain: "d", Pool: "p"},
		{Name: "warm", Addr: "10.0.0.2:1", Domain: "d", Pool: "p"},
	}
	now := deps.Now()
	table.SetCold(now, ups[0].Incarnation(), route.Cold{
		Since:     now,
		Until:     now.Add(time.Minute),
		PerSecond: 7,
	})
	table.Sync([]route.PoolSpec{{Name: "p", Slots: 4, Expected: time.Millisecond}}, ups, 1)
	warmUps := &fakeWarmUps{}
	limits := &fakeLimits{denied: map[string]bool{}}
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	return &exchange{
		Service: &Service{
			Deps:        deps,
			Table:       table,
			Sender:      fakeSender{result: result},
			HeaderCodec: plainCodec{},
			WarmUps:     warmUps,
			Limits:      limits,
			PermitClock: func() time.Duration { return 0 },
		},
		r:        r,
		header:   http.Header{},
		pool:     "p",
		deadline: now.Add(time.Minute),
	}, warmUps, limits
}

// TestLatePermitIsNoFailureOfUpstream guards against an upstream that is ejected, or taken for restarted, because this host was too slow to send.
func TestLatePermitIsNoFailureOfUpstream(t *testing.T) {
	scenarios := []struct {
		name        string
		result      send.Result
		unreachable int
	}{
		{name: "a late permit", result: send.Late{}},
		{name: "no connection", result: send.Unsent{Err: errors.New("refused")}, unreachable: 1},
	}
	for _, sc := range scenarios {
		Convey("After "+sc.name+" the request has not run and is tried elsewhere", t, func() {
			x, warmUps, _ := newColdExchange(t, sc.result)
			x.excluded = []string{"warm"}
			up, ok := x.pickUpstream(t.Context())
			So(ok, ShouldBeTrue)
			So(up.Name, ShouldEqual, "cold")
			ev, done := x.attempt(t.Context(), up)
			So(done, ShouldBeFalse)
			So(ev, ShouldResemble, retry.Unsent{})
			So(x.sends, ShouldEqual, 0)
			So(x.mayHaveRun, ShouldBeFalse)
			So(x.excluded, ShouldContain, "cold")
			So(warmUps.unreachable, ShouldEqual, sc.unreachable)
			_, usable := x.Table.PickRandomlySeeded(x.Now(), route.Query{Pool: "p", Exclude: []string{"warm"}})
			So(usable, ShouldEqual, sc.unreachable == 0)
		})
	}
}

// TestRequestWithoutPermitGoesElsewhereAtOnce guards against a request that waits for a cold upstream while a warm one is free, and against a permit that is used for another upstream.
func TestRequestWithoutPermitGoesElsewhereAtOnce(t *testing.T) {
	Convey("Given a cold upstream without a permit, and a warm one", t, func() {
		x, _, limits := newColdExchange(t, send.Late{})
		limits.denied["cold"] = true
		x.permit = warm.NewPermit(x.PermitClock)
		for range 20 {
			up, ok := x.pickUpstream(t.Context())
			So(ok, ShouldBeTrue)
			So(up.Name, ShouldEqual, "warm")
			So(x.permit, ShouldBeNil)
		}
		So(limits.asked, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("With a permit the cold one is used, and the attempt depends on it", t, func() {
		x, _, _ := newColdExchange(t, send.Late{})
		x.excluded = []string{"warm"}
		up, ok := x.pickUpstream(t.Context())
		So(ok, ShouldBeTrue)
		So(up.Name, ShouldEqual, "cold")
		So(x.permit, ShouldNotBeNil)
	})
}
