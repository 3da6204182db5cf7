package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/stand"
)

func hostOf(i int, addr string) Host {
	return Host{
		Name:   fmt.Sprintf("h%d", i),
		Addr:   addr,
		Domain: "d",
	}
}

func rowsOf(hosts ...Host) []follow.Row {
	var out []follow.Row
	for _, h := range hosts {
		b, _ := json.Marshal(h)
		out = append(out, follow.Row{
			Key:   h.Name,
			Value: b,
		})
	}
	return out
}

func TestOwnerFollowsRosterChanges(t *testing.T) {
	Convey("Given five hosts", t, func() {
		now := time.Unix(1000, 0)
		deps := common.NewQuietDeps("h0", "d")
		deps.Now = func() time.Time { return now }
		var all []Host
		for i := range 5 {
			all = append(all, hostOf(i, fmt.Sprintf("10.0.0.%d:1", i)))
		}
		r := NewRoster(deps, all[0])
		r.Reset(rowsOf(all...))
		So(r.Count(), ShouldEqual, 5)
		owner, down := r.Owner("pool")
		Convey("every host computes the same owner", func() {
			for _, h := range all {
				other := NewRoster(common.NewQuietDeps(h.Name, "d"), h)
				other.Reset(rowsOf(all...))
				got, _ := other.Owner("pool")
				So(got, ShouldResemble, owner)
			}
		})
		Convey("another host owns the queue while its first owner is down, until the first owner answers probes again", func() {
			if owner.Name == "h0" {
				So(r.DueProbes(), ShouldBeEmpty)
				return
			}
			r.MarkDown(owner, errors.New("silent"))
			_, open := <-down
			So(open, ShouldBeFalse)
			next, _ := r.Owner("pool")
			So(next, ShouldNotResemble, owner)
			now = now.Add(probeInterval)
			So(r.DueProbes(), ShouldResemble, []Host{owner})
			r.RecordProbe(owner, true)
			r.RecordProbe(owner, false)
			r.RecordProbe(owner, true)
			got, _ := r.Owner("pool")
			So(got, ShouldResemble, next)
			r.RecordProbe(owner, true)
			got, _ = r.Owner("pool")
			So(got, ShouldResemble, owner)
		})
		Convey("the host itself is the owner if all others are down", func() {
			for _, h := range all {
				r.MarkDown(h, errors.New("silent"))
			}
			got, _ := r.Owner("pool")
			So(got, ShouldResemble, all[0])
		})
		Convey("a host that left or whose row can't be decoded is not counted", func() {
			r.Apply([]follow.Row{{Key: "h3", Deleted: true}, {Key: "h9", Value: []byte("{}")}, {Key: "h8", Value: []byte("?")}})
			So(r.Count(), ShouldEqual, 4)
		})
	})
}

// fakeLocalQueues returns handles that contain its name.
type fakeLocalQueues struct {
	name string
	hang bool

	mu    sync.Mutex
	calls int
	freed []string
	// reassigned is closed once the work of the pool is reassigned.
	reassigned chan struct{}
	pool       string
}

func (f *fakeLocalQueues) Do(ctx context.Context, w batch.Work) batch.Outcome {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	if f.hang {
		f.mu.Lock()
		reassigned := f.reassigned
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-reassigned:
			return batch.OwnerChanged{}
		}
		return batch.Failed{Reason: batch.ReasonDeadline}
	}
	if w.Request == "refuse" {
		return batch.Refused{After: 70 * time.Millisecond}
	}
	return batch.Completed{
		Handles: []string{f.name + "/" + w.Request},
		Domain:  "d",
	}
}

func (f *fakeLocalQueues) Free(_ string, handles []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, handles...)
}

func (f *fakeLocalQueues) Report(string) (room.Report, bool) {
	return room.Report{}, false
}

func (f *fakeLocalQueues) RecordReport(room.Report) {}

func (f *fakeLocalQueues) WithReports(w batch.Work, _ batch.Shard) batch.Work {
	return w
}

func (f *fakeLocalQueues) Shards(pool string) []batch.Shard {
	return []batch.Shard{{Queue: pool}}
}

func (f *fakeLocalQueues) ReassignUnstarted(owns func(string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pool != "" && f.reassigned != nil && !owns(f.pool) {
		close(f.reassigned)
		f.reassigned = nil
	}
}

func (f *fakeLocalQueues) freedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.freed)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := stand.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// startPeer starts a peer and returns a second one that sends work to it but does not listen, with a pool that the started peer owns.
func startPeer(t *testing.T, remote *fakeLocalQueues) (*Peers, *fakeLocalQueues, string, context.CancelFunc) {
	a, b := hostOf(0, freeAddr(t)), hostOf(1, freeAddr(t))
	roster := NewRoster(common.NewQuietDeps(a.Name, "d"), a)
	roster.Reset(rowsOf(a, b))
	local := &fakeLocalQueues{name: "local"}
	here := NewPeers(common.NewQuietDeps(a.Name, "d"), a.Addr, roster, local)
	there := NewPeers(common.NewQuietDeps(b.Name, "d"), b.Addr, NewRoster(common.NewQuietDeps(b.Name, "d"), b), remote)
	ctx, cancel := context.WithCancel(t.Context())
	up := make(chan struct{})
	go func() { _ = there.Run(ctx, func() { close(up) }) }()
	<-up
	pool := ""
	for i := range 100 {
		if owner, _ := roster.Owner(fmt.Sprint(i)); owner == b {
			pool = fmt.Sprint(i)
			break
		}
	}
	return here, local, pool, cancel
}

// startBothPeers is like startPeer, but both peers listen and know each other. It calls the prepare functions before they start.
func startBothPeers(t *testing.T, remote *fakeLocalQueues, prepare ...func(here, there *Peers)) (here, there *Peers, local *fakeLocalQueues, pool string, stop func()) {
	a, b := hostOf(0, freeAddr(t)), hostOf(1, freeAddr(t))
	local = &fakeLocalQueues{name: "local"}
	here = NewPeers(common.NewQuietDeps(a.Name, "d"), a.Addr, NewRoster(common.NewQuietDeps(a.Name, "d"), a), local)
	there = NewPeers(common.NewQuietDeps(b.Name, "d"), b.Addr, NewRoster(common.NewQuietDeps(b.Name, "d"), b), remote)
	for _, f := range prepare {
		f(here, there)
	}
	ctx, cancel := context.WithCancel(t.Context())
	for _, p := range []*Peers{here, there} {
		p.roster.Reset(rowsOf(a, b))
		up := make(chan struct{})
		go func() { _ = p.Run(ctx, func() { close(up) }) }()
		<-up
	}
	for i := 0; ; i++ {
		pool = fmt.Sprint(i)
		if owner, _ := here.roster.Owner(pool); owner == b {
			return here, there, local, pool, cancel
		}
	}
}

func TestWorkIsSentToQueueOwner(t *testing.T) {
	Convey("Given a peer that owns a pool", t, func() {
		remote := &fakeLocalQueues{name: "remote"}
		here, local, pool, stop := startPeer(t, remote)
		defer stop()
		Convey("work is sent to the owner, and its results are freed there", func() {
			o, free := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Completed{Handles: []string{"remote/r"}, Domain: "d", Queue: pool})
			free()
			for range 100 {
				if remote.freedCount() > 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			So(remote.freedCount(), ShouldEqual, 1)
		})
		Convey("Release frees results of the pool at the owner", func() {
			here.Release(pool, []string{"h1", "h2"})
			So(remote.freedCount(), ShouldEqual, 2)
			So(local.freedCount(), ShouldEqual, 0)
		})
		Convey("results are freed by the new owner if the previous owner is gone", func() {
			_, free := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			stop()
			time.Sleep(50 * time.Millisecond)
			owner, _ := here.roster.Owner(pool)
			here.roster.RemoveLeaving(owner)
			free()
			for range 100 {
				if local.freedCount() > 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			So(local.freedCount(), ShouldEqual, 1)
		})
		Convey("a refusal by the owner is returned", func() {
			o, free := here.Do(t.Context(), batch.Work{Pool: pool, Request: "refuse"})
			So(o, ShouldResemble, batch.Refused{After: 70 * time.Millisecond})
			So(free, ShouldBeNil)
		})
		Convey("if the owner is gone, another host runs the work", func() {
			stop()
			time.Sleep(50 * time.Millisecond)
			o, _ := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Completed{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
			So(local.calls, ShouldEqual, 1)
		})
	})
	Convey("Work that waits at a peer that goes down is run by another host", t, func() {
		remote := &fakeLocalQueues{name: "remote", hang: true}
		here, _, pool, stop := startPeer(t, remote)
		time.AfterFunc(100*time.Millisecond, stop)
		o, _ := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
		So(o, ShouldResemble, batch.Completed{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
	})
	Convey("Given a peer that owns a pool and is about to stop", t, func() {
		remote := &fakeLocalQueues{name: "remote", hang: true, reassigned: make(chan struct{})}
		here, there, local, pool, stop := startBothPeers(t, remote)
		defer stop()
		remote.pool = pool
		Convey("work that waits there is reassigned, and new work goes to the new owner at once", func() {
			time.AfterFunc(100*time.Millisecond, there.roster.Leave)
			o, _ := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Completed{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
			So(local.calls, ShouldEqual, 1)
			owner, _ := here.roster.Owner(pool)
			So(owner.Name, ShouldEqual, here.Host)
			o, _ = there.Do(t.Context(), batch.Work{Pool: pool, Request: "s"})
			So(o, ShouldResemble, batch.Completed{Handles: []string{"local/s"}, Domain: "d", Queue: pool})
		})
	})
	Convey("Given hosts that disagree about the owner of a pool", t, func() {
		remote := &fakeLocalQueues{name: "remote"}
		here, there, local, pool, stop := startBothPeers(t, remote)
		defer stop()
		there.roster.MarkDown(here.roster.self, errors.New("test"))
		Convey("the host that receives the work names the owner, which runs it", func() {
			owner, _ := there.roster.Owner(pool)
			So(owner.Name, ShouldEqual, there.Host)
			here.roster.MarkDown(owner, errors.New("test"))
			o, _ := there.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Completed{Handles: []string{"remote/r"}, Domain: "d", Queue: pool})
			o, _ = here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Completed{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
			So(local.calls, ShouldEqual, 1)
		})
		Convey("work is not sent back and forth", func() {
			// Each host considers the other one the owner.
			localPool := ""
			for i := 0; localPool == ""; i++ {
				if owner, _ := here.roster.Owner(fmt.Sprint(i)); owner.Name == here.Host {
					localPool = fmt.Sprint(i)
				}
			}
			here.roster.Leave()
			there.roster.Apply(rowsOf(here.roster.self))
			began := time.Now()
			o, _ := there.Do(t.Context(), batch.Work{Pool: localPool, Request: "r"})
			So(o, ShouldHaveSameTypeAs, batch.Completed{})
			So(time.Since(began), ShouldBeLessThan, time.Second)
		})
		Convey("a host that was down and announces itself again is used at once", func() {
			localPool := ""
			for i := 0; localPool == ""; i++ {
				if owner, _ := here.roster.Owner(fmt.Sprint(i)); owner.Name == here.Host {
					localPool = fmt.Sprint(i)
				}
			}
			owner, _ := there.roster.Owner(localPool)
			So(owner.Name, ShouldEqual, there.Host)
			there.roster.Apply(rowsOf(here.roster.self))
			owner, down := there.roster.Owner(localPool)
			So(owner.Name, ShouldEqual, here.Host)
			So(down, ShouldNotBeNil)
		})
	})
	Convey("A stopping host that knows no other host runs its work itself", t, func() {
		a := hostOf(0, "127.0.0.1:1")
		local := &fakeLocalQueues{name: "local"}
		p := NewPeers(common.NewQuietDeps(a.Name, "d"), a.Addr, NewRoster(common.NewQuietDeps(a.Name, "d"), a), local)
		p.roster.Leave()
		o, _ := p.Do(t.Context(), batch.Work{Pool: "p", Request: "r"})
		So(o, ShouldResemble, batch.Completed{Handles: []string{"local/r"}, Domain: "d", Queue: "p"})
	})
	Convey("Work is cancelled at the peer when its caller leaves", t, func() {
		remote := &fakeLocalQueues{name: "remote", hang: true}
		here, local, pool, stop := startPeer(t, remote)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		o, _ := here.Do(ctx, batch.Work{Pool: pool, Request: "r"})
		So(o, ShouldResemble, batch.Failed{Reason: batch.ReasonDeadline})
		So(local.calls, ShouldEqual, 0)
	})
}
