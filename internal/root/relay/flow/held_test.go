package flow

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestEarlyReleaseFreesResultsOnce(t *testing.T) {
	scenarios := []struct {
		name string
		// sentAfter is when the request has been written, and answeredAfter when its response begins.
		sentAfter     time.Duration
		answeredAfter time.Duration
		released      bool
	}{
		{name: "a response before the release", sentAfter: 0, answeredAfter: fetchTime / 2, released: false},
		{name: "a response after the release", sentAfter: 0, answeredAfter: 2 * fetchTime, released: true},
		{name: "a request that was written late", sentAfter: fetchTime, answeredAfter: fetchTime + fetchTime/2, released: false},
		{name: "a request that was written after its response began", sentAfter: fetchTime, answeredAfter: fetchTime / 2, released: false},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var held heldResults
				frees := map[int]int{}
				for i := range 2 {
					held.add(i, func() { frees[i]++ })
				}
				r := earlyRelease{
					held: &held,
				}
				time.AfterFunc(sc.sentAfter, r.start)
				time.Sleep(sc.answeredAfter)
				if got := r.stop(); got != sc.released {
					t.Errorf("released: %v, want %v", got, sc.released)
				}
				time.Sleep(time.Second)
				if sc.released != (frees[0] == 1 && frees[1] == 1) {
					t.Errorf("freed %v before the end", frees)
				}
				held.freeAll()
				held.freeAll()
				if frees[0] != 1 || frees[1] != 1 {
					t.Errorf("freed %v, want each once", frees)
				}
			})
		})
	}
}

func TestResultsAreHeldForAWhileAfterAnEngineMissedOne(t *testing.T) {
	var g fetchGuard
	now := time.Unix(1000, 0)
	if !g.allows(now, "p") {
		t.Error("not allowed at first")
	}
	g.suspend(now, "p")
	if g.allows(now.Add(fetchSuspension-1), "p") || !g.allows(now, "other") {
		t.Error("the suspension must be of this pool, for its whole time")
	}
	if !g.allows(now.Add(fetchSuspension), "p") {
		t.Error("not allowed after the suspension")
	}
}
