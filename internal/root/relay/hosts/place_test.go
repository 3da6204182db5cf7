package hosts

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
)

// TestBoundWorkIsNotSentToAnOwnerElsewhere guards against a request whose pieces pass a host outside of its regions because that host owns the queue.
func TestBoundWorkIsNotSentToAnOwnerElsewhere(t *testing.T) {
	scenarios := []struct {
		name    string
		regions place.Regions
		want    string
	}{
		{name: "work that is not bound", want: "remote/r"},
		{name: "work for the owner's region", regions: place.Regions{"r1", "r2"}, want: "remote/r"},
		{name: "work for another region", regions: place.Regions{"r2"}, want: "local/r"},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			here, _, _, pool, stop := startBothPeers(t, &fakeLocalQueues{name: "remote"}, func(here, there *Peers) {
				here.UseDomains(place.Domains{"d": "r1"})
				there.UseDomains(place.Domains{"d": "r1"})
			})
			defer stop()
			o, free := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r", Regions: sc.regions})
			So(o, ShouldHaveSameTypeAs, batch.Completed{})
			So(o.(batch.Completed).Handles, ShouldResemble, []string{sc.want})
			free()
		})
	}
}

// TestBoundWorkIsNotSentToAnOlderHost guards against an owner of an older build, which ignores the regions of work. It is sent nothing, and not taken for down.
func TestBoundWorkIsNotSentToAnOlderHost(t *testing.T) {
	Convey("Given an owner that knows only work without regions", t, func() {
		var unbound atomic.Int64
		mux := http.NewServeMux()
		mux.HandleFunc("POST "+pathWork, func(w http.ResponseWriter, _ *http.Request) {
			unbound.Add(1)
			writeJSON(w, workResponse{Handles: []string{"remote/r"}, Domain: "d"})
		})
		var lc net.ListenConfig
		ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		srv := &http.Server{
			Handler:   mux,
			Protocols: unencryptedHTTP2(),
		}
		go func() { _ = srv.Serve(ln) }()
		defer srv.Close()
		a, b := hostOf(0, freeAddr(t)), hostOf(1, ln.Addr().String())
		roster := NewRoster(common.NewQuietDeps(a.Name, "d"), a)
		roster.Reset(rowsOf(a, b))
		here := NewPeers(common.NewQuietDeps(a.Name, "d"), a.Addr, roster, &fakeLocalQueues{name: "local"})
		here.UseDomains(place.Domains{"d": "r1"})
		pool := "p"
		for owner, _ := roster.Owner(pool); owner != b; owner, _ = roster.Owner(pool) {
			pool += "p"
		}
		o, _ := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r", Regions: place.Regions{"r1"}})
		So(o, ShouldResemble, batch.Completed{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
		So(unbound.Load(), ShouldEqual, 0)
		o, _ = here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
		So(o, ShouldResemble, batch.Completed{Handles: []string{"remote/r"}, Domain: "d", Queue: pool})
	})
}

// TestBoundTunnelStaysInRegions guards against a request whose body passes a host outside of its regions because that host has the only link to the upstream.
func TestBoundTunnelStaysInRegions(t *testing.T) {
	Convey("Given a host without links and one with them in region r1", t, func() {
		c := newTunnelCluster(t, 2, 1)
		for _, p := range c.peers {
			p.UseDomains(place.Domains{"d": "r1"})
		}
		for _, sc := range []struct {
			regions place.Regions
			opens   bool
		}{{opens: true}, {regions: place.Regions{"r2"}}, {regions: place.Regions{"r2", "r1"}, opens: true}} {
			conn, err := c.dialers[0].DialContext(place.WithRegions(context.Background(), sc.regions), "tcp", deadAddr)
			So(err == nil, ShouldEqual, sc.opens)
			if err == nil {
				_ = conn.Close()
			}
		}
	})
}
