package hosts

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
)

func queuesIn(domains ...string) []batch.Shard {
	var out []batch.Shard
	for _, d := range domains {
		out = append(out, batch.Shard{Queue: "p@" + d, Domain: d})
	}
	return out
}

func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	all := queuesIn("a", "b", "c", "d")
	Convey("Given queues in four domains", t, func() {
		var p picker
		first := func(w batch.Work) string { return p.order(now, w, all, "b")[0].Domain }
		Convey("work goes where its results are wanted, else to the host's own domain", func() {
			So(first(batch.Work{Pool: "p", Domain: "c"}), ShouldEqual, "c")
			So(first(batch.Work{Pool: "p", Domain: "elsewhere"}), ShouldEqual, "b")
			So(p.order(now, batch.Work{Pool: "p", Domain: "c"}, all, "b")[1].Domain, ShouldEqual, "b")
		})
		Convey("after a refusal work that is no more urgent goes elsewhere for a while", func() {
			p.refused(now, all[2], 3)
			So(first(batch.Work{Pool: "p", Domain: "c", Rank: 3}), ShouldEqual, "b")
			So(first(batch.Work{Pool: "p", Domain: "c", Rank: 5}), ShouldEqual, "b")
			So(first(batch.Work{Pool: "p", Domain: "c", Rank: 2}), ShouldEqual, "c")
			now = now.Add(refusedFor)
			So(first(batch.Work{Pool: "p", Domain: "c", Rank: 3}), ShouldEqual, "c")
		})
		Convey("where all refuse, work is still offered to two of them", func() {
			for _, s := range all {
				p.refused(now, s, 0)
			}
			So(p.order(now, batch.Work{Pool: "p", Domain: "c"}, all, "b"), ShouldHaveLength, queueTries)
		})
		Convey("a pool without queues of its own has the one of its name", func() {
			So(p.order(now, batch.Work{Pool: "p"}, nil, "b"), ShouldResemble, []batch.Shard{{Queue: "p"}})
		})
	})
}

// TestOwnersByPower answers hosts of very different sizes: one with a fifth of a core must not keep as many queues as one with most of a core.
func TestOwnersByPower(t *testing.T) {
	Convey("Given hosts of a fifth and of four fifths of a core in three domains", t, func() {
		var all []Host
		for i := range 30 {
			h := hostOf(i, fmt.Sprintf("10.0.0.%d:1", i))
			h.Domain = string(rune('a' + i%3))
			h.Power = 0.2
			if i%2 == 0 {
				h.Power = 0.8
			}
			all = append(all, h)
		}
		r := rosterOf(all[0], all)
		Convey("queues are kept by hosts of their domain, by power", func() {
			large := 0
			const queues = 3000
			for i := range queues {
				domain := string(rune('a' + i%3))
				owner, _ := r.Owner(fmt.Sprintf("pool-%d@%s", i, domain))
				So(owner.Domain, ShouldEqual, domain)
				if owner.Power > 0.5 {
					large++
				}
			}
			So(float64(large)/queues, ShouldBeBetween, 0.75, 0.85)
		})
		Convey("a host that goes moves only its own queues", func() {
			rng := rand.New(rand.NewPCG(1, 2))
			for range 200 {
				queue := fmt.Sprintf("pool-%d@a", rng.IntN(1000))
				owner, _ := r.Owner(queue)
				gone := all[rng.IntN(len(all))]
				left := rosterOf(all[0], all)
				left.Left(gone)
				if next, _ := left.Owner(queue); gone != owner {
					So(next, ShouldResemble, owner)
				}
			}
		})
		Convey("with no host left in its domain, another keeps the queue", func() {
			for _, h := range all {
				if h.Domain == "b" {
					r.Left(h)
				}
			}
			owner, _ := r.Owner("pool@b")
			So(owner.Domain, ShouldBeIn, "a", "c")
		})
	})
}
