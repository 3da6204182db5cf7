package view

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/plat"
)

func peer(i int, timestamp int64) Peer {
	return Peer{
		Name:      fmt.Sprintf("h%d", i),
		Addr:      fmt.Sprintf("127.0.0.1:%d", 1000+i),
		Domain:    "d",
		Heartbeat: timestamp,
	}
}

func TestRegistryMembership(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a registry with one peer", t, func() {
		r := NewRegistry(peer(0, 0))
		So(r.Receive(now, peer(1, 5)), ShouldBeTrue)
		Convey("A heartbeat that is not newer is ignored", func() {
			So(r.Receive(now, peer(1, 5)), ShouldBeFalse)
			So(r.Receive(now, peer(1, 4)), ShouldBeFalse)
			So(r.ReceiveCompact(now, peer(1, 6).Compact()), ShouldBeTrue)
		})
		Convey("A compact heartbeat of an unknown host is ignored", func() {
			So(r.ReceiveCompact(now, peer(2, 9).Compact()), ShouldBeFalse)
		})
		Convey("The peer becomes lost after the live timeout and is removed after its retention", func() {
			So(len(r.Live(now.Add(liveTimeout-1))), ShouldEqual, 2)
			So(len(r.Live(now.Add(liveTimeout))), ShouldEqual, 1)
			So(len(r.Lost(now.Add(liveTimeout))), ShouldEqual, 1)
			So(len(r.Lost(now.Add(peerRetention))), ShouldEqual, 0)
		})
		Convey("Members counts listed hosts that send no heartbeat", func() {
			list := plat.HostList{Version: 1}
			for i := range 9 {
				list.Hosts = append(list.Hosts, plat.Host{Name: fmt.Sprintf("h%d", i), Addr: "a", Domain: "d", Role: plat.RoleEntry})
			}
			r.UpdateList(list)
			So(r.LiveCount(now), ShouldEqual, 2)
			So(r.Members(now), ShouldEqual, 9)
		})
		Convey("Heartbeat timestamps increase when the clock is set back", func() {
			first := r.Heartbeat(now, 1)
			So(r.Heartbeat(now.Add(-time.Hour), 1).Heartbeat, ShouldBeGreaterThan, first.Heartbeat)
		})
	})
}

func TestNewestLeaveNoticeDecidesWhetherUpstreamIsLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	at := now.UnixMilli()
	Convey("Given a listed upstream with an active leave notice", t, func() {
		r := NewRegistry(peer(0, 0))
		list := plat.HostList{
			Version: 2,
			Hosts: []plat.Host{
				{Name: "u", Addr: "a", Domain: "d", Role: plat.RoleUpstream, Pool: "p"},
			},
		}
		So(r.UpdateList(list), ShouldBeTrue)
		So(r.ApplyLeaveNotice(now, LeaveNotice{Upstream: "u", At: at, IsLeaving: true}), ShouldBeTrue)
		So(r.Upstreams(now)[0].Leaving, ShouldBeTrue)
		Convey("A leave notice or host list that is older than the stored one is ignored", func() {
			So(r.ApplyLeaveNotice(now, LeaveNotice{Upstream: "u", At: at - 1}), ShouldBeFalse)
			list.Version = 1
			So(r.UpdateList(list), ShouldBeFalse)
			So(r.Upstreams(now)[0].Leaving, ShouldBeTrue)
		})
		Convey("A newer notice for the same upstream revokes the leave notice", func() {
			So(r.ApplyLeaveNotice(now, LeaveNotice{Upstream: "u", At: at + 1}), ShouldBeTrue)
			So(r.Upstreams(now)[0].Leaving, ShouldBeFalse)
		})
		Convey("The notice expires after its TTL and is no longer returned", func() {
			later := now.Add(leaveNoticeTTL)
			So(r.Upstreams(later)[0].Leaving, ShouldBeFalse)
			So(len(r.LeaveNotices(later)), ShouldEqual, 0)
		})
	})
}

func TestPeerAddrsOmitsPeerAfterRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given an unlisted peer that sends no more heartbeats", t, func() {
		r := NewRegistry(peer(0, 0))
		r.Receive(now, peer(1, 5))
		local, _ := r.PeerAddrs(now.Add(peerRetention - 1))
		So(len(local), ShouldEqual, 1)
		local, _ = r.PeerAddrs(now.Add(peerRetention))
		So(len(local), ShouldEqual, 0)
	})
}
