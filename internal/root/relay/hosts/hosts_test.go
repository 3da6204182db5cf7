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

func TestRoster(t *testing.T) {
	Convey("Given five hosts", t, func() {
		now := time.Unix(1000, 0)
		deps := common.Quiet("h0", "d")
		deps.Now = func() time.Time { return now }
		var all []Host
		for i := range 5 {
			all = append(all, hostOf(i, fmt.Sprintf("10.0.0.%d:1", i)))
		}
		r := NewRoster(deps, all[0])
		r.Reset(rowsOf(all...))
		So(r.Count(), ShouldEqual, 5)
		owner, down := r.Owner("pool")
		Convey("every host names the same owner", func() {
			for _, h := range all {
				other := NewRoster(common.Quiet(h.Name, "d"), h)
				other.Reset(rowsOf(all...))
				got, _ := other.Owner("pool")
				So(got, ShouldResemble, owner)
			}
		})
		Convey("another one takes over where it is down, until it answers probes again", func() {
			if owner.Name == "h0" {
				So(r.Due(), ShouldBeEmpty)
				return
			}
			r.Down(owner, errors.New("silent"))
			_, open := <-down
			So(open, ShouldBeFalse)
			next, _ := r.Owner("pool")
			So(next, ShouldNotResemble, owner)
			now = now.Add(probeEvery)
			So(r.Due(), ShouldResemble, []Host{owner})
			r.Probed(owner, true)
			r.Probed(owner, false)
			r.Probed(owner, true)
			got, _ := r.Owner("pool")
			So(got, ShouldResemble, next)
			r.Probed(owner, true)
			got, _ = r.Owner("pool")
			So(got, ShouldResemble, owner)
		})
		Convey("the host itself is the owner where all others are down", func() {
			for _, h := range all {
				r.Down(h, errors.New("silent"))
			}
			got, _ := r.Owner("pool")
			So(got, ShouldResemble, all[0])
		})
		Convey("a host that left is not known any more, nor one whose row can't be read", func() {
			r.Apply([]follow.Row{{Key: "h3", Deleted: true}, {Key: "h9", Value: []byte("{}")}, {Key: "h8", Value: []byte("?")}})
			So(r.Count(), ShouldEqual, 4)
		})
	})
}

// fakeLocal answers work with handles that name it.
type fakeLocal struct {
	name string
	hang bool

	mu    sync.Mutex
	did   int
	freed []string
	// moved is closed once the work of the pool is handed over.
	moved chan struct{}
	pool  string
}

func (f *fakeLocal) Do(ctx context.Context, w batch.Work) batch.Outcome {
	f.mu.Lock()
	f.did++
	f.mu.Unlock()
	if f.hang {
		f.mu.Lock()
		moved := f.moved
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-moved:
			return batch.OwnerChanged{}
		}
		return batch.Failed{Reason: batch.Late}
	}
	if w.Request == "refuse" {
		return batch.Refused{After: 70 * time.Millisecond}
	}
	return batch.Made{
		Handles: []string{f.name + "/" + w.Request},
		Domain:  "d",
	}
}

func (f *fakeLocal) Free(_ string, handles []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, handles...)
}

func (f *fakeLocal) Shards(pool string) []batch.Shard {
	return []batch.Shard{{Queue: pool}}
}

func (f *fakeLocal) ReassignUnstarted(owns func(string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pool != "" && f.moved != nil && !owns(f.pool) {
		close(f.moved)
		f.moved = nil
	}
}

func (f *fakeLocal) frees() int {
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

// pair starts one peer and returns another that sends to it, with the pool that it owns.
func pair(t *testing.T, remote *fakeLocal) (*Peers, *fakeLocal, string, context.CancelFunc) {
	a, b := hostOf(0, freeAddr(t)), hostOf(1, freeAddr(t))
	roster := NewRoster(common.Quiet(a.Name, "d"), a)
	roster.Reset(rowsOf(a, b))
	local := &fakeLocal{name: "local"}
	here := NewPeers(common.Quiet(a.Name, "d"), a.Addr, roster, local)
	there := NewPeers(common.Quiet(b.Name, "d"), b.Addr, NewRoster(common.Quiet(b.Name, "d"), b), remote)
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

// three is pair with both ends listening and knowing each other.
func three(t *testing.T, remote *fakeLocal) (here, there *Peers, local *fakeLocal, pool string, stop func()) {
	a, b := hostOf(0, freeAddr(t)), hostOf(1, freeAddr(t))
	local = &fakeLocal{name: "local"}
	here = NewPeers(common.Quiet(a.Name, "d"), a.Addr, NewRoster(common.Quiet(a.Name, "d"), a), local)
	there = NewPeers(common.Quiet(b.Name, "d"), b.Addr, NewRoster(common.Quiet(b.Name, "d"), b), remote)
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

func TestWorkGoesToTheOwner(t *testing.T) {
	Convey("Given a peer that owns a pool", t, func() {
		remote := &fakeLocal{name: "remote"}
		here, local, pool, stop := pair(t, remote)
		defer stop()
		Convey("work goes there, and what it made is freed there", func() {
			o, free := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Made{Handles: []string{"remote/r"}, Domain: "d", Queue: pool})
			free()
			for range 100 {
				if remote.frees() > 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			So(remote.frees(), ShouldEqual, 1)
		})
		Convey("results of the pool that others have used up are freed there", func() {
			here.Release(pool, []string{"h1", "h2"})
			So(remote.frees(), ShouldEqual, 2)
			So(local.frees(), ShouldEqual, 0)
		})
		Convey("what it made is freed by the host in its place once it is gone", func() {
			_, free := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			stop()
			time.Sleep(50 * time.Millisecond)
			owner, _ := here.roster.Owner(pool)
			here.roster.Left(owner)
			free()
			for range 100 {
				if local.frees() > 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			So(local.frees(), ShouldEqual, 1)
		})
		Convey("its refusal is passed on", func() {
			o, free := here.Do(t.Context(), batch.Work{Pool: pool, Request: "refuse"})
			So(o, ShouldResemble, batch.Refused{After: 70 * time.Millisecond})
			So(free, ShouldBeNil)
		})
		Convey("where it is gone, the work is done by another", func() {
			stop()
			time.Sleep(50 * time.Millisecond)
			o, _ := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Made{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
			So(local.did, ShouldEqual, 1)
		})
	})
	Convey("Work that waits at a peer which goes down is done by another", t, func() {
		remote := &fakeLocal{name: "remote", hang: true}
		here, _, pool, stop := pair(t, remote)
		time.AfterFunc(100*time.Millisecond, stop)
		o, _ := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
		So(o, ShouldResemble, batch.Made{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
	})
	Convey("Given a peer that owns a pool and is told to stop", t, func() {
		remote := &fakeLocal{name: "remote", hang: true, moved: make(chan struct{})}
		here, there, local, pool, stop := three(t, remote)
		defer stop()
		remote.pool = pool
		Convey("work that waits there is handed over, and new work goes to another at once", func() {
			time.AfterFunc(100*time.Millisecond, there.roster.Leave)
			o, _ := here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Made{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
			So(local.did, ShouldEqual, 1)
			owner, _ := here.roster.Owner(pool)
			So(owner.Name, ShouldEqual, here.Host)
			o, _ = there.Do(t.Context(), batch.Work{Pool: pool, Request: "s"})
			So(o, ShouldResemble, batch.Made{Handles: []string{"local/s"}, Domain: "d", Queue: pool})
		})
	})
	Convey("Given hosts that differ in who owns a pool", t, func() {
		remote := &fakeLocal{name: "remote"}
		here, there, local, pool, stop := three(t, remote)
		defer stop()
		there.roster.Down(here.roster.self, errors.New("test"))
		Convey("the host that is asked names the owner, which does the work", func() {
			owner, _ := there.roster.Owner(pool)
			So(owner.Name, ShouldEqual, there.Host)
			here.roster.Down(owner, errors.New("test"))
			o, _ := there.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Made{Handles: []string{"remote/r"}, Domain: "d", Queue: pool})
			o, _ = here.Do(t.Context(), batch.Work{Pool: pool, Request: "r"})
			So(o, ShouldResemble, batch.Made{Handles: []string{"local/r"}, Domain: "d", Queue: pool})
			So(local.did, ShouldEqual, 1)
		})
		Convey("work is not sent back and forth", func() {
			// Each takes the other for the owner.
			mine := ""
			for i := 0; mine == ""; i++ {
				if owner, _ := here.roster.Owner(fmt.Sprint(i)); owner.Name == here.Host {
					mine = fmt.Sprint(i)
				}
			}
			here.roster.Leave()
			there.roster.Apply(rowsOf(here.roster.self))
			began := time.Now()
			o, _ := there.Do(t.Context(), batch.Work{Pool: mine, Request: "r"})
			So(o, ShouldHaveSameTypeAs, batch.Made{})
			So(time.Since(began), ShouldBeLessThan, time.Second)
		})
		Convey("one that was down and tells of itself again is used at once", func() {
			mine := ""
			for i := 0; mine == ""; i++ {
				if owner, _ := here.roster.Owner(fmt.Sprint(i)); owner.Name == here.Host {
					mine = fmt.Sprint(i)
				}
			}
			owner, _ := there.roster.Owner(mine)
			So(owner.Name, ShouldEqual, there.Host)
			there.roster.Apply(rowsOf(here.roster.self))
			owner, down := there.roster.Owner(mine)
			So(owner.Name, ShouldEqual, here.Host)
			So(down, ShouldNotBeNil)
		})
	})
	Convey("A host that stops and knows no other does its work itself", t, func() {
		a := hostOf(0, "127.0.0.1:1")
		local := &fakeLocal{name: "local"}
		p := NewPeers(common.Quiet(a.Name, "d"), a.Addr, NewRoster(common.Quiet(a.Name, "d"), a), local)
		p.roster.Leave()
		o, _ := p.Do(t.Context(), batch.Work{Pool: "p", Request: "r"})
		So(o, ShouldResemble, batch.Made{Handles: []string{"local/r"}, Domain: "d", Queue: "p"})
	})
	Convey("Work whose caller leaves is given up at the peer", t, func() {
		remote := &fakeLocal{name: "remote", hang: true}
		here, local, pool, stop := pair(t, remote)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		o, _ := here.Do(ctx, batch.Work{Pool: pool, Request: "r"})
		So(o, ShouldResemble, batch.Failed{Reason: batch.Late})
		So(local.did, ShouldEqual, 0)
	})
}
