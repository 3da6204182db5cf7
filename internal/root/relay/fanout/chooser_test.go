package fanout

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFollowersOfADomain(t *testing.T) {
	cases := []struct {
		hosts, want int
	}{
		{hosts: 0, want: 0},
		{hosts: 1, want: 1},
		{hosts: 3, want: 3},
		{hosts: 4, want: 1},
		{hosts: 15, want: 1},
		{hosts: 16, want: 2},
		{hosts: 65, want: 3},
		{hosts: 1000, want: 3},
	}
	for _, sc := range cases {
		if got := Followers(sc.hosts); got != sc.want {
			t.Errorf("Followers(%d) = %d, want %d", sc.hosts, got, sc.want)
		}
	}
}

func TestChooserAsksOthersBeforeTheStore(t *testing.T) {
	Convey("Given a host that knows two hosts that follow the store", t, func() {
		c := NewChooser(rand.New(rand.NewPCG(1, 2)), Limits{Within: 3 * time.Second, Wait: 1500 * time.Millisecond})
		v := View{
			Candidates: []string{"a", "b"},
			Hosts:      100,
		}
		now := time.Hour
		Convey("it asks the first one, and the second one if that fails", func() {
			So(c.Next(now, v), ShouldResemble, AskHost{Name: "a"})
			c.Failed(now, "a", Silent)
			So(c.Next(now, v), ShouldResemble, AskHost{Name: "b"})
			c.Answered("b")
			So(c.Next(now+silentPause, v), ShouldResemble, AskHost{Name: "a"})
		})
		Convey("it turns to the store if both fail, after a pause, and goes on reading it for a while", func() {
			c.Failed(now, "a", Silent)
			c.Failed(now, "b", NotFollowing)
			a, ok := c.Next(now, v).(AskStore)
			So(ok, ShouldBeTrue)
			So(a.Probe, ShouldBeFalse)
			So(a.After, ShouldBeLessThanOrEqualTo, maxFallbackPause)
			c.StoreAnswered(now)
			So(c.Next(now+fallbackTerm-1, v), ShouldResemble, AskStore{})
			c.StoreAnswered(now + fallbackTerm - 1)
			So(c.Next(now+2*fallbackTerm, v), ShouldResemble, AskHost{Name: "a"})
			So(c.Fallbacks(), ShouldEqual, 1)
		})
		Convey("it tries the store seldom while those that follow it say that it fails", func() {
			fail := func(at time.Duration) {
				c.Failed(at, "a", Stale)
				c.Failed(at, "b", Stale)
			}
			fail(now)
			a, ok := c.Next(now, v).(AskStore)
			So(ok, ShouldBeTrue)
			So(a.Probe, ShouldBeTrue)
			c.StoreFailed()
			fail(now + minProbePause/4)
			g, ok := c.Next(now+minProbePause/4, v).(GiveUp)
			So(ok, ShouldBeTrue)
			So(g.Until, ShouldBeGreaterThan, now+minProbePause/4)
			So(g.Unasked, ShouldEqual, 0)
			later := now + 100*time.Second/probeRate + minProbePause
			fail(later)
			_, ok = c.Next(later, v).(AskStore)
			So(ok, ShouldBeTrue)
		})
		Convey("it asks any other host what it has heard, but only once it has failed to read the store itself", func() {
			v.Others = []string{"a", "b", "c"}
			c.Failed(now, "a", Stale)
			c.Failed(now, "b", Stale)
			_, ok := c.Next(now, v).(AskStore)
			So(ok, ShouldBeTrue)
			c.StoreFailed()
			So(c.Next(now, v), ShouldResemble, AskHost{Name: "c", Heard: true})
			c.Heard("c")
			So(c.Next(now, v), ShouldResemble, AskHost{Name: "c", Heard: true})
			c.Failed(now, "c", NotFollowing)
			_, ok = c.Next(now, v).(GiveUp)
			So(ok, ShouldBeTrue)
			c.Answered("a")
			So(c.Next(now, v), ShouldResemble, AskHost{Name: "a"})
		})
		Convey("it passes over a host that leaves two questions unanswered, but not one for which the store fails", func() {
			c.Failed(now, "a", Silent)
			So(c.PassesOver(now, "a"), ShouldBeFalse)
			c.Failed(now, "a", Silent)
			So(c.PassesOver(now, "a"), ShouldBeTrue)
			So(c.PassesOver(now+passedOverPause, "a"), ShouldBeFalse)
			c.Failed(now, "b", Stale)
			c.Failed(now, "b", Stale)
			So(c.PassesOver(now, "b"), ShouldBeFalse)
			c.Failed(now, "b", OtherBuild)
			So(c.PassesOver(now, "b"), ShouldBeTrue)
		})
		Convey("one that is a follower, or knows none, reads the store at once", func() {
			v.Follower = true
			So(c.Next(now, v), ShouldResemble, AskStore{})
			So(c.Next(now, View{}), ShouldResemble, AskStore{})
		})
	})
}

func TestLimitsFollowFromTheTimeForAChange(t *testing.T) {
	cases := []struct {
		within, wait, wantWait time.Duration
	}{
		{within: 3 * time.Second, wait: 2 * time.Second, wantWait: 1150 * time.Millisecond},
		{within: 13 * time.Second, wait: 1500 * time.Millisecond, wantWait: 1500 * time.Millisecond},
		{within: 500 * time.Millisecond, wait: 1500 * time.Millisecond, wantWait: minWait},
	}
	for _, sc := range cases {
		l := Limits{
			Within: sc.within,
			Wait:   sc.wait,
		}
		if got := l.StoreWait(); got != sc.wantWait {
			t.Errorf("StoreWait within %v = %v, want %v", sc.within, got, sc.wantWait)
		}
		if l.MaxAge() >= sc.within && sc.wantWait > minWait {
			t.Errorf("MaxAge within %v = %v, which leaves no time to turn elsewhere", sc.within, l.MaxAge())
		}
	}
}
