package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

var start = time.Unix(1000, 0)

// after returns a time in milliseconds after start.
func after(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// Each row guards against a limit that is missed, kept for too long or ended by an outdated response.
func TestBookKeepsNewestNotice(t *testing.T) {
	up := route.Incarnation{Name: "u", Addr: "a", StartedAtMS: 1}
	scenarios := []struct {
		name    string
		notices []Notice
		want    float64
		changes int
	}{
		{name: "no limit was ever named", notices: []Notice{{At: after(1)}}},
		{name: "a limit is named", notices: []Notice{{PerSecond: 2, At: after(1)}}, want: 2, changes: 1},
		{name: "it is named again", notices: []Notice{{PerSecond: 2, At: after(1)}, {PerSecond: 2, At: after(2)}}, want: 2, changes: 1},
		{name: "it is raised", notices: []Notice{{PerSecond: 2, At: after(1)}, {PerSecond: 5, At: after(2)}}, want: 5, changes: 2},
		{name: "it ends", notices: []Notice{{PerSecond: 2, At: after(1)}, {At: after(2)}}, changes: 2},
		{name: "a response to a request that was sent before it was named has none", notices: []Notice{{PerSecond: 2, At: after(5)}, {At: after(4)}}, want: 2, changes: 1},
		{name: "messages come in another order", notices: []Notice{{At: after(9)}, {PerSecond: 5, At: after(8)}, {PerSecond: 2, At: after(1)}}, want: 5, changes: 1},
		{name: "a notice of another host was long under way, and a later one of it came before", notices: []Notice{{PerSecond: 5, At: after(2), Source: "a", Seq: 2}, {PerSecond: 2, At: after(9), Source: "a", Seq: 1}}, want: 5, changes: 1},
		{name: "a notice of another host was long under way, and a later one of it comes after", notices: []Notice{{PerSecond: 2, At: after(9), Source: "a", Seq: 1}, {PerSecond: 5, At: after(2), Source: "a", Seq: 2}}, want: 5, changes: 2},
		{name: "the end comes before the limit that it ends", notices: []Notice{{At: after(2), Source: "a", Seq: 2}, {PerSecond: 2, At: after(9), Source: "a", Seq: 1}}},
		{name: "two hosts tell different limits", notices: []Notice{{PerSecond: 5, At: after(2), Source: "a", Seq: 2}, {PerSecond: 2, At: after(9), Source: "b", Seq: 1}}, want: 2, changes: 2},
		{name: "the upstream names another one than a host has told", notices: []Notice{{PerSecond: 5, At: after(2), Source: "a", Seq: 2}, {PerSecond: 2, At: after(9)}, {PerSecond: 5, At: after(8), Source: "a", Seq: 3}}, want: 2, changes: 2},
	}
	for _, sc := range scenarios {
		Convey("If "+sc.name, t, func() {
			b := NewBook()
			changes := 0
			for _, n := range sc.notices {
				if b.Add(up, n) {
					changes++
				}
			}
			n, _ := b.Get(up)
			So(n.PerSecond, ShouldEqual, sc.want)
			So(changes, ShouldEqual, sc.changes)
			other := up
			other.StartedAtMS = 2
			_, ok := b.Get(other)
			So(ok, ShouldBeFalse)
		})
	}
	Convey("A book remembers a bounded number of upstreams, the latest ones", t, func() {
		b := NewBook()
		for i := range 2 * maxEntries {
			b.Add(route.Incarnation{Name: "u", StartedAtMS: int64(i)}, Notice{PerSecond: 1, At: after(i)})
		}
		So(b.Limited(), ShouldEqual, maxEntries)
		_, ok := b.Get(route.Incarnation{Name: "u", StartedAtMS: 2*maxEntries - 1})
		So(ok, ShouldBeTrue)
	})
}

// TestUpstreamThatTakesNothingIsAsked guards against a limit of 0 that is never known to have ended, as nothing is sent.
func TestUpstreamThatTakesNothingIsAsked(t *testing.T) {
	scenarios := []struct {
		name      string
		statement Statement
		want      float64
	}{
		{name: "no limit", statement: Statement{Known: true}},
		{name: "a limit", statement: Statement{Known: true, Named: true, PerSecond: 3.5}, want: 3.5},
		{name: "a limit of 0", statement: Statement{Known: true, Named: true}, want: minRate},
		{name: "a limit that cannot be read", statement: Statement{}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			if got := sc.statement.Rate(); got != sc.want {
				t.Errorf("got rate %g, want %g", got, sc.want)
			}
		})
	}
}

// TestGrantsStayWithinLimit guards against bursts above what an upstream takes, also when another host begins to grant, and against limits that are left unused.
func TestGrantsStayWithinLimit(t *testing.T) {
	Convey("Over many seeds, with hosts that begin to grant in place of others, each window of 4 s has at most what the platform allows, and most of the limit is used", t, func() {
		up := route.Incarnation{Name: "u", Addr: "a"}
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 3))
			perSecond := 0.3 + rng.Float64()*20
			grants := NewGrants()
			var granted []time.Time
			now := start
			owners := 0
			for now.Before(start.Add(30 * time.Second)) {
				now = now.Add(time.Duration(rng.IntN(60)) * time.Millisecond)
				if rng.IntN(200) == 0 && owners < 2 {
					grants = NewGrants()
					owners++
				}
				ok, retry := grants.Take(now, up, perSecond)
				if ok {
					granted = append(granted, now)
					continue
				}
				if retry <= 0 || retry > maxRetry {
					t.Fatalf("seed %d: retry after %v", seed, retry)
				}
			}
			for i, from := range granted {
				n := 0
				for _, at := range granted[i:] {
					if at.Sub(from) <= 4*time.Second {
						n++
					}
				}
				if float64(n) > 1.5*perSecond*4+5 {
					t.Fatalf("seed %d: %d requests granted in 4 s at %.1f a second", seed, n, perSecond)
				}
			}
			if want := 0.7 * min(perSecond, 20) * 30; float64(len(granted)) < want-3 {
				t.Fatalf("seed %d: %d requests granted in 30 s at %.1f a second", seed, len(granted), perSecond)
			}
		}
		So(true, ShouldBeTrue)
	})
	Convey("A limit that is raised is used at once, and one that falls holds at once", t, func() {
		up := route.Incarnation{Name: "u", Addr: "a"}
		g := NewGrants()
		g.Take(start, up, 0.1)
		ok, _ := g.Take(after(100), up, 0.1)
		So(ok, ShouldBeFalse)
		g.Take(after(100), up, 50)
		ok, _ = g.Take(after(200), up, 50)
		So(ok, ShouldBeTrue)
		g.Take(after(200), up, 0.1)
		ok, retry := g.Take(after(300), up, 0.1)
		So(ok, ShouldBeFalse)
		So(retry, ShouldEqual, maxRetry)
	})
}
