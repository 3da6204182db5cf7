package view

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/plat"
)

func peer(i int, beat int64) Peer {
	return Peer{
		Name:   fmt.Sprintf("h%d", i),
		Addr:   fmt.Sprintf("127.0.0.1:%d", 1000+i),
		Domain: "d",
		Beat:   beat,
	}
}

func TestMembership(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a host that has heard of another", t, func() {
		b := NewRegistry(peer(0, 0))
		So(b.Hear(now, peer(1, 5)), ShouldBeTrue)
		Convey("An older heartbeat is no news", func() {
			So(b.Hear(now, peer(1, 5)), ShouldBeFalse)
			So(b.Hear(now, peer(1, 4)), ShouldBeFalse)
			So(b.HearBrief(now, peer(1, 6).Brief()), ShouldBeTrue)
		})
		Convey("A heartbeat of a host that nobody named is dropped", func() {
			So(b.HearBrief(now, peer(2, 9).Brief()), ShouldBeFalse)
		})
		Convey("It counts as live for a while, and then as lost", func() {
			So(len(b.Live(now.Add(liveFor-1))), ShouldEqual, 2)
			So(len(b.Live(now.Add(liveFor))), ShouldEqual, 1)
			So(len(b.Lost(now.Add(liveFor))), ShouldEqual, 1)
			So(len(b.Lost(now.Add(forgetAfter))), ShouldEqual, 0)
		})
		Convey("Limits are shared with hosts that are listed and cannot be heard", func() {
			list := plat.HostList{Version: 1}
			for i := range 9 {
				list.Hosts = append(list.Hosts, plat.Host{Name: fmt.Sprintf("h%d", i), Addr: "a", Domain: "d", Role: plat.RoleEntry})
			}
			b.TakeList(list)
			So(b.Count(now), ShouldEqual, 2)
			So(b.Members(now), ShouldEqual, 9)
		})
		Convey("A clock that is set back does not silence the host itself", func() {
			first := b.Beat(now, 1)
			So(b.Beat(now.Add(-time.Hour), 1).Beat, ShouldBeGreaterThan, first.Beat)
		})
	})
}

func TestTheNewestWordOnAnUpstreamHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	at := now.UnixMilli()
	Convey("Given a listed upstream that says it is leaving", t, func() {
		b := NewRegistry(peer(0, 0))
		list := plat.HostList{
			Version: 2,
			Hosts: []plat.Host{
				{Name: "u", Addr: "a", Domain: "d", Role: plat.RoleUpstream, Pool: "p"},
			},
		}
		So(b.TakeList(list), ShouldBeTrue)
		So(b.TakeLeave(now, Leave{Upstream: "u", At: at, On: true}), ShouldBeTrue)
		So(b.Upstreams(now)[0].Leaving, ShouldBeTrue)
		Convey("An older word or list changes nothing", func() {
			So(b.TakeLeave(now, Leave{Upstream: "u", At: at - 1}), ShouldBeFalse)
			list.Version = 1
			So(b.TakeList(list), ShouldBeFalse)
			So(b.Upstreams(now)[0].Leaving, ShouldBeTrue)
		})
		Convey("A newer word takes it back", func() {
			So(b.TakeLeave(now, Leave{Upstream: "u", At: at + 1}), ShouldBeTrue)
			So(b.Upstreams(now)[0].Leaving, ShouldBeFalse)
		})
		Convey("It fades if it is not repeated, and is passed on no longer", func() {
			later := now.Add(leavingFor)
			So(b.Upstreams(later)[0].Leaving, ShouldBeFalse)
			So(len(b.Leaves(later)), ShouldEqual, 0)
		})
	})
}

func TestASilentHostIsNoTargetForEver(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a host that the list does not name and that fell silent", t, func() {
		b := NewRegistry(peer(0, 0))
		b.Hear(now, peer(1, 5))
		near, _ := b.Targets(now.Add(forgetAfter - 1))
		So(len(near), ShouldEqual, 1)
		near, _ = b.Targets(now.Add(forgetAfter))
		So(len(near), ShouldEqual, 0)
	})
}
