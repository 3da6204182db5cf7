package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func shardsIn(domains ...string) []Shard {
	var out []Shard
	for _, d := range domains {
		out = append(out, Shard{Queue: "p@" + d, Domain: d})
	}
	return out
}

func TestCandidatesPreferWantedDomainWithoutRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	all := shardsIn("a", "b", "c", "d")
	Convey("Given queues in four domains", t, func() {
		var p Picker
		first := func(w Work) string { return p.Candidates(now, w, all, "b")[0].Domain }
		Convey("work goes to the domain where its results are needed, otherwise to the host's own domain", func() {
			So(first(Work{Pool: "p", Domain: "c"}), ShouldEqual, "c")
			So(first(Work{Pool: "p", Domain: "elsewhere"}), ShouldEqual, "b")
			So(p.Candidates(now, Work{Pool: "p", Domain: "c"}, all, "b")[1].Domain, ShouldEqual, "b")
		})
		Convey("after a refusal, work that is not more urgent goes to another queue for a while", func() {
			p.RecordRefusal(now, all[2], 3)
			So(first(Work{Pool: "p", Domain: "c", Rank: 3}), ShouldEqual, "b")
			So(first(Work{Pool: "p", Domain: "c", Rank: 5}), ShouldEqual, "b")
			So(first(Work{Pool: "p", Domain: "c", Rank: 2}), ShouldEqual, "c")
			now = now.Add(refusalTTL)
			So(first(Work{Pool: "p", Domain: "c", Rank: 3}), ShouldEqual, "c")
		})
		Convey("if all queues have recently refused work, new work is still sent to two of them", func() {
			for _, s := range all {
				p.RecordRefusal(now, s, 0)
			}
			So(p.Candidates(now, Work{Pool: "p", Domain: "c"}, all, "b"), ShouldHaveLength, maxQueueAttempts)
		})
		Convey("a pool without known queues has one with its own name", func() {
			So(p.Candidates(now, Work{Pool: "p"}, nil, "b"), ShouldResemble, []Shard{{Queue: "p"}})
		})
	})
}
