package fanout

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a host whose waits add up to more than the time for a change, as none is taken from what is left of it (CONFIG).
func TestHostAsksTheStoreBeforeItsKnowledgeIsTooOld(t *testing.T) {
	Convey("Given a host that waits for the answer of another one", t, func() {
		limits := Limits{
			Within: 3 * time.Second,
			Wait:   1500 * time.Millisecond,
		}
		c := NewChooser(rand.New(rand.NewPCG(1, 2)), limits)
		v := View{
			Candidates:  []string{"a", "b"},
			Others:      []string{"a", "b", "c"},
			Hosts:       100,
			ConfirmedAt: time.Hour,
			Confirmed:   true,
		}
		late, turn := v.ConfirmedAt+limits.LateAge(), v.ConfirmedAt+limits.TurnAge()
		So(c.Next(late-time.Second, v), ShouldResemble, AskHost{Name: "a"})
		c.Asked("a")
		Convey("nobody else is asked until what it knows is late, and then another host", func() {
			at, ok := c.NextStep(late-time.Second, v)
			So(ok, ShouldBeTrue)
			So(at, ShouldEqual, late)
			So(c.Meanwhile(late, v), ShouldResemble, AskHost{Name: "b", Brief: true})
		})
		Convey("the store is asked in time, some time after that", func() {
			c.Asked("b")
			So(c.Meanwhile(late+hedgeTime-1, v), ShouldResemble, GiveUp{})
			So(c.Meanwhile(turn, v), ShouldResemble, AskStore{Probe: true, Due: true})
			v.Calling = true
			So(c.Meanwhile(turn, v), ShouldResemble, AskHost{Name: "c", Heard: true})
		})
		Convey("the hosts that ask the store do so at different times before it is too late", func() {
			first, last := time.Duration(0), time.Duration(0)
			for seed := range uint64(100) {
				c := NewChooser(rand.New(rand.NewPCG(seed, 3)), limits)
				at := c.turnAt(v)
				if first == 0 || at < first {
					first = at
				}
				last = max(last, at)
			}
			So(first, ShouldBeGreaterThanOrEqualTo, late+hedgeTime)
			So(last, ShouldBeLessThanOrEqualTo, turn)
			So(last-first, ShouldBeGreaterThan, limits.turnSpread()/2)
		})
		Convey("a pause before the store is asked ends in time", func() {
			c.Failed(turn-time.Millisecond, "a", Silent)
			c.Failed(turn-time.Millisecond, "b", Silent)
			a, ok := c.fallBack(turn-time.Millisecond, v).(AskStore)
			So(ok, ShouldBeTrue)
			So(a.After, ShouldBeLessThanOrEqualTo, minTurnPause)
		})
		Convey("the store is not asked while a host reads many rows from it, or rows arrive", func() {
			c.Reads(turn, "b")
			So(c.isDue(turn, v), ShouldBeFalse)
			So(c.isDue(turn+readingPause, v), ShouldBeTrue)
			v.Arriving = true
			So(c.isDue(turn+readingPause, v), ShouldBeFalse)
		})
		Convey("the store is not asked again soon if it failed for this host, and not while others say so as well", func() {
			So(c.turn(turn), ShouldResemble, AskStore{Probe: true, Due: true})
			c.StoreFailed()
			So(c.isDue(turn+limits.memory()-1, v), ShouldBeFalse)
			So(c.isDue(turn+limits.memory(), v), ShouldBeTrue)
			c.Failed(turn+limits.memory(), "b", Stale)
			So(c.isDue(turn+limits.memory(), v), ShouldBeFalse)
		})
		Convey("a host that finds the store slow does not go on reading it", func() {
			So(c.turn(turn), ShouldResemble, AskStore{Probe: true, Due: true})
			slow := turn + limits.slowCall() + 1
			c.StoreAnswered(slow)
			v.ConfirmedAt = turn
			So(c.Next(slow, v), ShouldResemble, AskHost{Name: "b"})
			So(c.isDue(slow+minProbePause-1, v), ShouldBeFalse)
		})
	})
}

func TestWaitOfACallIsTakenFromWhatIsLeft(t *testing.T) {
	l := Limits{
		Within: 3 * time.Second,
		Wait:   1500 * time.Millisecond,
	}
	cases := []struct {
		age, overhead, want time.Duration
	}{
		{age: 0, overhead: 0, want: 1150 * time.Millisecond},
		{age: 1150 * time.Millisecond, overhead: 0, want: 1150 * time.Millisecond},
		{age: 1150 * time.Millisecond, overhead: 600 * time.Millisecond, want: 550 * time.Millisecond},
		{age: 2 * time.Second, overhead: 0, want: 300 * time.Millisecond},
		{age: time.Minute, overhead: 0, want: minWait},
	}
	for _, sc := range cases {
		if got := l.CallWait(sc.age, sc.overhead); got != sc.want {
			t.Errorf("CallWait(%v, %v) = %v, want %v", sc.age, sc.overhead, got, sc.want)
		}
	}
}
