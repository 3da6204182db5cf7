package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

func evacuated(ups []route.Upstream, domain string) []route.Upstream {
	out := make([]route.Upstream, len(ups))
	for i, u := range ups {
		u.Evacuated = u.Domain == domain
		out[i] = u
	}
	return out
}

// TestWaitingWorkLeavesAnEvacuatedDomain guards against work that waits in the queue of an evacuated domain until its deadline, or that is sent there after all.
func TestWaitingWorkLeavesAnEvacuatedDomain(t *testing.T) {
	Convey("Given a queue with a worker that runs two calls, and work that waits", t, func() {
		spec := specOf(2)
		spec.Slots = 2
		q := NewQueue(spec)
		ups := workersIn("a")
		q.SetWorkers(ups)
		var running []*Call
		for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
			_, refused := q.Add(start, workOf(id, 2))
			So(refused, ShouldBeNil)
		}
		for range 2 {
			c, ok := q.NextCall(start)
			So(ok, ShouldBeTrue)
			running = append(running, c)
		}
		Convey("as the domain is evacuated, the waiting work is refused at once and the running calls end in peace", func() {
			q.SetWorkers(evacuated(ups, "a"))
			ended, unused := q.RefuseEvacuated()
			So(ended, ShouldHaveLength, 3)
			So(unused, ShouldBeEmpty)
			for _, j := range ended {
				So(j.Outcome, ShouldHaveSameTypeAs, Refused{})
			}
			done, _ := q.CompleteCall(start.Add(time.Second), running[0], []Result{{Handle: "h1"}, {Handle: "h2"}})
			So(done, ShouldHaveLength, 1)
			So(done[0].Outcome, ShouldHaveSameTypeAs, Completed{})
		})
		Convey("pieces of a running call that fails are not run there again", func() {
			q.SetWorkers(evacuated(ups, "a"))
			q.RefuseEvacuated()
			failed, _ := q.FailCall(start.Add(time.Second), running[0])
			So(failed, ShouldBeEmpty)
			ended, _ := q.RefuseEvacuated()
			So(ended, ShouldHaveLength, 1)
			_, ok := q.NextCall(start.Add(10 * time.Second))
			So(ok, ShouldBeFalse)
		})
		Convey("new work is refused, until the domain is taken back", func() {
			q.SetWorkers(evacuated(ups, "a"))
			_, refused := q.Add(start, workOf("r6", 1))
			So(refused, ShouldNotBeNil)
			So(refused.After, ShouldBeGreaterThan, 0)
			q.SetWorkers(ups)
			_, refused = q.Add(start, workOf("r7", 1))
			So(refused, ShouldBeNil)
		})
	})
	Convey("Given a queue with workers of two domains, work that waits stays when one of them is evacuated", t, func() {
		q := NewQueue(specOf(2))
		ups := workersIn("a", "b")
		q.SetWorkers(evacuated(ups, "a"))
		_, refused := q.Add(start, workOf("r1", 1))
		So(refused, ShouldBeNil)
		ended, _ := q.RefuseEvacuated()
		So(ended, ShouldBeEmpty)
		c, ok := q.NextCall(start)
		So(ok, ShouldBeTrue)
		So(c.Upstream.Domain, ShouldEqual, "b")
	})
}

// TestQueueOfAnEvacuatedDomainIsNoCandidate guards against work that is first sent to a queue which can only refuse it.
func TestQueueOfAnEvacuatedDomainIsNoCandidate(t *testing.T) {
	Convey("Given the queues of a large pool", t, func() {
		ups := workersIn("a", "a", "a", "a", "b", "b", "b", "c", "c", "c")
		So(SortedShards(withoutEvacuated(ShardWorkers("p", ups))), ShouldHaveLength, 3)
		So(SortedShards(withoutEvacuated(ShardWorkers("p", evacuated(ups, "a")))), ShouldResemble, shardsIn("b", "c"))
		all := evacuated(evacuated(ups, "a"), "a")
		for i := range all {
			all[i].Evacuated = true
		}
		So(SortedShards(withoutEvacuated(ShardWorkers("p", all))), ShouldHaveLength, 3)
	})
}

// TestPiecesStayInTheirRegions guards against pieces of a bound request that go to a worker elsewhere, alone or in a call with those of other requests.
func TestPiecesStayInTheirRegions(t *testing.T) {
	regional := func() []route.Upstream {
		ups := workersIn("a", "b", "c")
		for i := range ups {
			ups[i].Region = "r-" + ups[i].Domain
		}
		return ups
	}
	bound := func(id string, regions ...string) Work {
		w := workOf(id, 1)
		w.Regions = regions
		return w
	}
	Convey("Given a queue with workers in three regions", t, func() {
		q := NewQueue(plan.Worker{Slots: 4, Batch: 4, Call: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultCapacity: 27_000_000})
		q.SetWorkers(regional())
		Convey("calls only hold work that may run at their worker, and may go through the regions that all of it allows", func() {
			for _, w := range []Work{bound("any"), bound("a", "r-a"), bound("b", "r-b"), bound("ab", "r-a", "r-b"), bound("c", "r-c")} {
				if w.Request == "any" {
					w.Regions = nil
				}
				_, refused := q.Add(start, w)
				So(refused, ShouldBeNil)
			}
			allowed := map[string][]string{"any": {"r-a", "r-b", "r-c"}, "a": {"r-a"}, "b": {"r-b"}, "ab": {"r-a", "r-b"}, "c": {"r-c"}}
			done := 0
			for now := start; done < 5 && now.Before(start.Add(4*time.Second)); now = now.Add(20 * time.Millisecond) {
				c, ok := q.NextCall(now)
				if !ok {
					continue
				}
				for _, it := range c.Items {
					So(allowed[it.Request], ShouldContain, c.Upstream.Region)
				}
				So(c.regions().Allows(c.Upstream.Region), ShouldBeTrue)
				done += len(c.Items)
			}
			So(done, ShouldEqual, 5)
		})
		Convey("work for a region whose workers are evacuated, or that has none, is refused", func() {
			q.SetWorkers(evacuated(regional(), "b"))
			for _, region := range []string{"r-b", "r-z"} {
				_, refused := q.Add(start, bound("x", region))
				So(refused, ShouldNotBeNil)
			}
		})
		Convey("work that waits for the region is refused as its workers are evacuated", func() {
			_, refused := q.Add(start, bound("b", "r-b"))
			So(refused, ShouldBeNil)
			q.SetWorkers(evacuated(regional(), "b"))
			ended, _ := q.RefuseEvacuated()
			So(ended, ShouldHaveLength, 1)
		})
	})
	Convey("Only queues in the regions get bound work", t, func() {
		domains := place.Domains{"a": "r1", "b": "r2", "c": "r1"}
		So(ShardsIn(shardsIn("a", "b", "c"), place.Regions{"r1"}, domains), ShouldResemble, shardsIn("a", "c"))
		So(ShardsIn(shardsIn("a", "b", "x"), place.Regions{"r3"}, domains), ShouldBeEmpty)
		So(ShardsIn([]Shard{{Queue: "p"}}, place.Regions{"r3"}, domains), ShouldHaveLength, 1)
		So(ShardsIn(shardsIn("a", "b"), nil, domains), ShouldHaveLength, 2)
	})
}
