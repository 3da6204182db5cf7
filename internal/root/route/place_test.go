package route

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/place"
)

// placedTable returns a table of upstreams in three failure domains and regions, of which those in the evacuated domains are evacuated. Domain d1 alone has version v1.
func placedTable(evacuated ...string) *Table {
	t := New("d0")
	t.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, placedUpstreams(evacuated...), 1)
	return t
}

func placedUpstreams(evacuated ...string) []Upstream {
	var ups []Upstream
	for i := range 12 {
		u := Upstream{
			Name:    fmt.Sprintf("u%d", i),
			Addr:    fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Domain:  fmt.Sprintf("d%d", i%3),
			Region:  fmt.Sprintf("r%d", i%3),
			Pool:    "p",
			Version: "v0",
		}
		if u.Domain == "d1" {
			u.Version = "v1"
		}
		for _, d := range evacuated {
			u.Evacuated = u.Evacuated || d == u.Domain
		}
		ups = append(ups, u)
	}
	return ups
}

// queriesOfAllWays returns a query for each way in which an upstream is chosen.
func queriesOfAllWays() map[string]Query {
	return map[string]Query{
		"sample":            {Pool: "p"},
		"prompt's upstream": {Pool: "p", Affinity: 77},
		"domain of results": {Pool: "p", PreferDomain: "d1"},
		"least loaded":      {Pool: "p", LeastLoaded: true},
		"another upstream":  {Pool: "p", Exclude: []string{"u0", "u3"}},
		"on trial":          {Pool: "p", OnTrial: true},
		"ejected":           {Pool: "p", Ejected: true},
		"without a limit":   {Pool: "p", Unlimited: true},
	}
}

// TestNoWayOfChoosingLeavesThePlace guards against a way to choose an upstream, such as a trial after an ejection or the upstream that has a prompt cached, that does not heed evacuations or regions.
func TestNoWayOfChoosingLeavesThePlace(t *testing.T) {
	for name, q := range queriesOfAllWays() {
		Convey("With the choice by "+name, t, func() {
			now := time.Unix(1000, 0)
			rng := newRand()
			Convey("evacuated upstreams are not chosen, also after they were ejected", func() {
				table := placedTable("d1")
				for i := range 12 {
					table.Eject(now, fmt.Sprintf("u%d", i))
				}
				now = now.Add(time.Minute)
				for i := range 200 {
					q.Affinity *= uint64(i + 1)
					u, ok := table.Pick(now, rng, q)
					if ok {
						So(u.Domain, ShouldNotEqual, "d1")
						table.Release(now, u.Name)
					}
				}
			})
			Convey("only upstreams in the regions are chosen", func() {
				table := placedTable()
				q.Regions = place.Regions{"r2"}
				for range 200 {
					u, ok := table.Pick(now, rng, q)
					So(ok, ShouldBeTrue)
					So(u.Region, ShouldEqual, "r2")
					table.Release(now, u.Name)
				}
				table.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, placedUpstreams("d2"), 1)
				_, ok := table.Pick(now, rng, q)
				So(ok, ShouldBeFalse)
			})
		})
	}
}

// TestVersionThatOnlyAClosedPlaceHasIsGone guards against a stream that waits for, or continues at, an upstream of its version in an evacuated domain or in another region.
func TestVersionThatOnlyAClosedPlaceHasIsGone(t *testing.T) {
	Convey("Given a version that only one domain has", t, func() {
		So(placedTable().HasVersion("p", "v1", nil), ShouldBeTrue)
		So(placedTable("d1").HasVersion("p", "v1", nil), ShouldBeFalse)
		So(placedTable().HasVersion("p", "v1", place.Regions{"r0"}), ShouldBeFalse)
		So(placedTable().HasVersion("p", "v1", place.Regions{"r1"}), ShouldBeTrue)
	})
}

// TestReturnTimeIsThatOfUpstreamsInPlace guards against callers who are told to return when an upstream can be used that their requests may not use.
func TestReturnTimeIsThatOfUpstreamsInPlace(t *testing.T) {
	Convey("Given pauses of all upstreams, the shortest in an evacuated domain, and longer ones in other regions", t, func() {
		now := time.Unix(1000, 0)
		table := placedTable("d1")
		for _, u := range placedUpstreams() {
			pause := map[string]time.Duration{"d0": 4 * time.Second, "d1": time.Second, "d2": 8 * time.Second}[u.Domain]
			table.Pause(now, u.Incarnation(), pause)
		}
		any, ok := table.ReturnAfter(now, "p", 0, nil)
		So(ok, ShouldBeTrue)
		So(any, ShouldBeGreaterThanOrEqualTo, 4*time.Second)
		bound, ok := table.ReturnAfter(now, "p", 0, place.Regions{"r2"})
		So(ok, ShouldBeTrue)
		So(bound, ShouldBeGreaterThanOrEqualTo, 8*time.Second)
	})
}

// TestClosureNamesWhatKeepsARequestAway guards against a request that waits for its deadline although no upstream in its place can serve it, and against a reason that sends an operator the wrong way.
func TestClosureNamesWhatKeepsARequestAway(t *testing.T) {
	scenarios := []struct {
		name      string
		evacuated []string
		regions   place.Regions
		want      Closure
	}{
		{name: "nothing evacuated", want: Open{}},
		{name: "two domains evacuated", evacuated: []string{"d0", "d1"}, want: Open{}},
		{name: "all domains evacuated", evacuated: []string{"d2", "d0", "d1"}, want: Evacuated{Domains: []string{"d0", "d1", "d2"}}},
		{name: "a region with upstreams", regions: place.Regions{"r1"}, want: Open{}},
		{name: "a region whose only domain is evacuated", evacuated: []string{"d1"}, regions: place.Regions{"r1"}, want: Evacuated{Domains: []string{"d1"}}},
		{name: "a region without upstreams", regions: place.Regions{"r9"}, want: OtherRegions{}},
		{name: "no region", regions: place.Regions{}, want: OtherRegions{}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			So(placedTable(sc.evacuated...).Closure("p", sc.regions), ShouldResemble, sc.want)
		})
	}
	Convey("A pool without upstreams is not closed by its place", t, func() {
		So(placedTable().Closure("other", place.Regions{"r1"}), ShouldResemble, Open{})
	})
}
