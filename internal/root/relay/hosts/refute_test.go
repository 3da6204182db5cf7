package hosts

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/links"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Guards against requests that stay blocked for crashes that did not happen.
func TestCrashesOfUpstreamsThatRanOnAreWithdrawn(t *testing.T) {
	const part = crash.Fingerprint(7)
	crashedAt := time.Now().Add(-10 * time.Second)
	ups := []route.Upstream{{Name: "a/b", StartedAtMS: 3}, {Name: "c", StartedAtMS: 4}, {Name: "d", StartedAtMS: 5}}
	cases := []struct {
		name string
		// ranOn holds how long after the crash each upstream is known to have run, or 0 if that is not known.
		ranOn   map[string]time.Duration
		blocked int
	}{
		{name: "none is known to have run on", blocked: 1},
		{name: "all are known to have run before the crash", ranOn: map[string]time.Duration{"a/b": -1, "c": -1, "d": -1}, blocked: 1},
		{name: "one has run on", ranOn: map[string]time.Duration{"a/b": time.Second}},
	}
	Convey("A part that crashed three upstreams", t, func() {
		for _, c := range cases {
			deps := common.NewQuietDeps("h0", "d")
			self := hostOf(0, "127.0.0.1:0")
			peers := NewPeers(deps, self.Addr, NewRoster(deps, self), &fakeLocalQueues{name: "h0"})
			crashes := NewCrashes(deps, peers, links.NewDialer(deps).Reaches)
			var list []blame.Crash
			for _, u := range ups {
				list = append(list, blame.Crash{
					Upstream: formatStart(u),
					At:       crashedAt,
					Requests: []blame.Request{{Own: crash.Fingerprint(100 + u.StartedAtMS), Parts: []crash.Fingerprint{part}}},
				})
			}
			crashes.Restore(blame.NewUpdate(time.Now(), list, nil))
			So(crashes.Stats().Blocked, ShouldEqual, 1)
			NewRefuter(crashes.Deps, crashes, func(name string, startedAtMS int64) (time.Time, bool) {
				d, ok := c.ranOn[name]
				return crashedAt.Add(d), ok && startedAtMS > 0
			}).check()
			So(fmt.Sprintf("%s: %d", c.name, crashes.Stats().Blocked), ShouldEqual, fmt.Sprintf("%s: %d", c.name, c.blocked))
		}
	})
	Convey("Texts that no host sends name no start", t, func() {
		for _, text := range []string{"", "a", "a/", "a/x"} {
			_, _, ok := parseStart(text)
			So(ok, ShouldBeFalse)
		}
	})
}
