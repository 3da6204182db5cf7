package peers

import (
	"context"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/certs"
	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/root/watch"
)

// startMesh runs a mesh on loopback with a certificate issued by a. The returned function stops it and waits for Run to return.
func startMesh(t *testing.T, name string, a *certs.Authority) (*Mesh, context.CancelFunc) {
	t.Helper()
	pair, err := a.Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	source, err := certs.NewStaticSource(a.PEM(), pair, ALPN)
	if err != nil {
		t.Fatal(err)
	}
	deps := common.NewQuietDeps(name, "d")
	state := &State{
		Deps:     deps,
		Registry: view.NewRegistry(view.Peer{Name: name, Addr: "127.0.0.1:0", Domain: "d"}),
		Active:   watch.NewActive(),
		Loads:    loads.NewCache(),
		Marks:    crash.NewTracker(),
		OnLoad:   func(loads.Report) {},
		CommitForwarded: func(_ context.Context, writes []claim.Write) []claim.Result {
			out := make([]claim.Result, len(writes))
			for i, w := range writes {
				out[i] = claim.Written
				if w.Cond.Version > 0 {
					out[i] = claim.Conflict
				}
			}
			return out
		},
	}
	m := NewMesh(deps, state, source, "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	up := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := m.Run(ctx, func() { close(up) }); err != nil {
			t.Error(err)
		}
	}()
	<-up
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return m, stop
}

func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestExchangeTransfersNewerDocumentsInBothDirections(t *testing.T) {
	a := newAuthority(t)
	hostA, _ := startMesh(t, "one", a)
	hostB, _ := startMesh(t, "two", a)
	hostA.state.Active.PutIfNewer(revision())
	hostB.state.Registry.UpdateList(plat.HostList{
		Version: 3,
		Hosts: []plat.Host{
			{Name: "u", Addr: "127.0.0.1:1", Domain: "d", Role: plat.RoleUpstream, Pool: "engines"},
		},
	})
	if err := hostA.Exchange(context.Background(), hostB.Addr()); err != nil {
		t.Fatal(err)
	}
	if hostA.state.Registry.List().Version != 3 || len(hostA.state.Registry.Live(time.Now())) != 2 {
		t.Error("the initiating host does not have host list 3 or does not see the other host as live")
	}
	for end := time.Now().Add(5 * time.Second); hostB.state.Active.Number() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the answering host did not receive revision 1 within 5 s")
		}
	}
}

func TestSmallChangeIsSentAsDelta(t *testing.T) {
	a := newAuthority(t)
	hostA, _ := startMesh(t, "one", a)
	hostB, _ := startMesh(t, "two", a)
	first := revision()
	second := first
	second.Number = 2
	second.Document = first.Document.WithDrained("u", true)
	for _, m := range []*Mesh{hostA, hostB} {
		m.state.Active.PutIfNewer(first)
	}
	hostA.state.Active.PutIfNewer(second)
	m, needed, err := hostA.state.AttachDocuments(hostA.state.Digest(), hostB.state.Digest())
	if err != nil || !needed || len(m.Deltas) != 1 || m.Revision != nil {
		t.Fatalf("got needed %v, %d deltas, a document of %d bytes and error %v, want needed true, exactly one delta and no document", needed, len(m.Deltas), len(m.Revision), err)
	}
	if err := hostB.Exchange(context.Background(), hostA.Addr()); err != nil {
		t.Fatal(err)
	}
	got, _ := hostB.state.Active.Current()
	if got.Number != 2 || len(got.Document.Drained) != 1 {
		t.Errorf("got revision %d with drained upstreams %v, want revision 2 with one drained upstream", got.Number, got.Document.Drained)
	}
}

func TestForwardWritesReturnsResultsOfPeer(t *testing.T) {
	a := newAuthority(t)
	hostA, _ := startMesh(t, "one", a)
	hostB, stop := startMesh(t, "two", a)
	writes := []claim.Write{
		{Cond: plat.Cond{Table: "claims", Key: "a"}, Put: plat.Put{Table: "claims", Key: "a", Value: []byte(`{}`)}},
		{Cond: plat.Cond{Table: "claims", Key: "b", Version: 1}, Put: plat.Put{Table: "claims", Key: "b", Value: []byte(`{}`)}},
	}
	results, sent, err := hostA.Write(context.Background(), hostB.Addr(), writes)
	if err != nil || !sent || len(results) != 2 || results[0] != claim.Written || results[1] != claim.Conflict {
		t.Errorf("got results %v, sent %v and error %v, want one claim written and one refused", results, sent, err)
	}
	addr := hostB.Addr()
	stop()
	if _, sent, err := hostA.Write(context.Background(), addr, writes); err == nil {
		t.Errorf("writing to a stopped peer returned no error; got sent %v", sent)
	}
}

func TestPeerWithCertificateOfOtherAuthorityIsRejected(t *testing.T) {
	hostA, _ := startMesh(t, "one", newAuthority(t))
	other, _ := startMesh(t, "stranger", newAuthority(t))
	if err := other.Exchange(context.Background(), hostA.Addr()); err == nil {
		t.Error("the exchange succeeded with a certificate of another authority")
	}
	if len(hostA.state.Registry.Live(time.Now())) != 1 {
		t.Error("the heartbeat of the rejected host was stored")
	}
}
