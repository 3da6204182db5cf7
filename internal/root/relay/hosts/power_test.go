package hosts

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestQueuesAreSharedByPowerWithinDomain guards against overloaded small hosts: one with a fifth of a core must not own as many queues as one with most of a core.
func TestQueuesAreSharedByPowerWithinDomain(t *testing.T) {
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
		r := newTestRoster(all[0], all)
		Convey("queues are owned by hosts of their domain in proportion to power", func() {
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
		Convey("when a host leaves, only its own queues move", func() {
			rng := rand.New(rand.NewPCG(1, 2))
			for range 200 {
				queue := fmt.Sprintf("pool-%d@a", rng.IntN(1000))
				owner, _ := r.Owner(queue)
				leaving := all[rng.IntN(len(all))]
				remaining := newTestRoster(all[0], all)
				remaining.RemoveLeaving(leaving)
				if next, _ := remaining.Owner(queue); leaving != owner {
					So(next, ShouldResemble, owner)
				}
			}
		})
		Convey("with no host left in its domain, a host of another domain owns the queue", func() {
			for _, h := range all {
				if h.Domain == "b" {
					r.RemoveLeaving(h)
				}
			}
			owner, _ := r.Owner("pool@b")
			So(owner.Domain, ShouldBeIn, "a", "c")
		})
	})
}
