package batch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// roundRobinDomains returns the domains of n workers that are spread over the domains in turn.
func roundRobinDomains(n int, domains ...string) []string {
	var out []string
	for i := range n {
		out = append(out, domains[i%len(domains)])
	}
	return out
}

func TestPoolIsShardedByDomain(t *testing.T) {
	scenarios := []struct {
		name    string
		domains []string
		queues  []Shard
	}{
		{name: "no worker", queues: []Shard{{Queue: "p"}}},
		{name: "few workers", domains: roundRobinDomains(minWorkersToShard-1, "a", "b", "c"), queues: []Shard{{Queue: "p"}}},
		{name: "many workers in three domains", domains: roundRobinDomains(19, "b", "a", "c"), queues: []Shard{{Queue: "p@a", Domain: "a"}, {Queue: "p@b", Domain: "b"}, {Queue: "p@c", Domain: "c"}}},
		{name: "many workers in one domain", domains: roundRobinDomains(12, "a"), queues: []Shard{{Queue: "p@a", Domain: "a"}}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			workers := workersIn(sc.domains...)
			shards := ShardWorkers("p", workers)
			So(SortedShards(shards), ShouldResemble, sc.queues)
			n := 0
			for s, list := range shards {
				So(DomainOf(s.Queue), ShouldEqual, s.Domain)
				n += len(list)
				for _, w := range list {
					So(s.Domain, ShouldBeIn, "", w.Domain)
				}
			}
			So(n, ShouldEqual, len(workers))
		})
	}
	Convey("The name of a pool may contain the separator", t, func() {
		So(DomainOf("p@q@a"), ShouldEqual, "a")
	})
}

func TestWaitingWorkOfRemovedQueueIsReassigned(t *testing.T) {
	Convey("Given a pool with one queue per domain whose number of workers falls below minWorkersToShard", t, func() {
		d := NewDispatcher(common.NewQuietDeps("h", "d"), blockingClient{freed: make(chan string, 4)})
		spec := specOf(4)
		p := plan.New(1, nil, []plan.Pool{{Name: "p", Worker: &spec}}, nil, plan.Limits{})
		d.Sync(p, workersIn(roundRobinDomains(minWorkersToShard, "a", "b", "c")...))
		So(d.Shards("p"), ShouldHaveLength, 3)
		done := make(chan Outcome, 20)
		for i := range 5 {
			go func() { done <- d.Do(t.Context(), workOf(fmt.Sprint(i), 4).inQueue("p@a")) }()
		}
		for waiting := 0; waiting != 8; {
			d.mu.Lock()
			waiting = d.queues["p@a"].Waiting()
			d.mu.Unlock()
		}
		d.Sync(p, workersIn(roundRobinDomains(minWorkersToShard-1, "a", "b", "c")...))
		So(d.Shards("p"), ShouldResemble, []Shard{{Queue: "p"}})
		Convey("the waiting work ends with OwnerChanged", func() {
			So(<-done, ShouldResemble, OwnerChanged{})
			So(<-done, ShouldResemble, OwnerChanged{})
			So(done, ShouldBeEmpty)
		})
	})
}
