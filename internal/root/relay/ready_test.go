package relay

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/links"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/setup"
)

// emptyHostTable is a host table that accepts writes and stores no rows.
type emptyHostTable struct {
	follow.Source
}

func (emptyHostTable) Put(context.Context, string, []byte) error {
	return nil
}

func (emptyHostTable) Remove(context.Context, string) error {
	return nil
}

// newTestRelay returns a daemon without a platform.
func newTestRelay() *Relay {
	return New(common.NewQuietDeps("host-1", "d"), setup.Relay{
		Listen: setup.RelayListen{Callers: "127.0.0.1:0"},
		Stop:   setup.Stop{Grace: 1},
	}, Adapter{Workers: noWorkers, Starts: noStarts, Hosts: emptyHostTable{}, Eras: follow.NewEras(common.NewQuietDeps("host-1", "d"))})
}

// TestNotReadyUntilUpstreamsAreInRoutingTable covers the interval between reading the upstreams and adding them to the routing table and the queues, which can be long on a busy host.
func TestNotReadyUntilUpstreamsAreInRoutingTable(t *testing.T) {
	Convey("Given a host that has read its upstreams and its configuration but has not synced its routing table", t, func() {
		r := newTestRelay()
		r.upstreams.Reset(nil)
		r.roster.Reset(nil)
		r.plans.ReplaceIfNewer(&plan.Plan{Version: 1})
		ctx, cancel := context.WithCancel(t.Context())
		up := make(chan struct{})
		done := make(chan error, 1)
		go func() { done <- r.callers.Run(ctx, func() { close(up) }) }()
		<-up
		So(r.notReadyReason(), ShouldEqual, "upstreams are not in use yet")
		r.sync()
		So(r.notReadyReason(), ShouldEqual, "")
		cancel()
		<-done
	})
}

func TestReadyOnlyWhileCallersAreServed(t *testing.T) {
	Convey("Given a host with a configuration and upstreams", t, func() {
		r := newTestRelay()
		r.plans.ReplaceIfNewer(&plan.Plan{Version: 1})
		r.upstreams.Reset(nil)
		Convey("it is not ready before its caller address is open", func() {
			So(r.notReadyReason(), ShouldEqual, "no requests are taken yet")
			r.roster.Reset(nil)
			Convey("and is ready once it is open, until the host leaves", func() {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				up := make(chan struct{})
				done := make(chan error, 1)
				go func() { done <- r.callers.Run(ctx, func() { close(up) }) }()
				<-up
				So(r.notReadyReason(), ShouldEqual, "")
				r.roster.Leave()
				So(r.notReadyReason(), ShouldEqual, "leaving")
				cancel()
				<-done
			})
		})
	})
}

// noStarts is the client that asks upstreams of a relay that asks none.
func noStarts(*links.Dialer) starts.Client {
	return nil
}

// noWorkers is the client for workers of a relay that calls none.
func noWorkers(*links.Dialer) batch.WorkerClient {
	return nil
}
