package grant

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// within is the time within which a change must be in force in these tests.
const within = 3 * time.Second

// newRecency returns a lease and its recency, by the time since the start of the test, and the count of questions.
func newRecency(ask func(ctx context.Context, l *Lease)) (*Lease, *Recency, *atomic.Int64) {
	start := time.Now()
	l := New(func() time.Duration { return time.Since(start) }, 5*time.Second)
	asked := &atomic.Int64{}
	return l, NewRecency(l, within, WithAsk(func(ctx context.Context) {
		asked.Add(1)
		ask(ctx, l)
	})), asked
}

// Guards against requests that are held one after the other while nothing can be confirmed, and against a call to the store for each of them.
func TestCrowdWaitsForOneConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, r, asked := newRecency(func(context.Context, *Lease) {})
		l.Confirm(l.RequestTime())
		time.Sleep(within + time.Millisecond)
		began := time.Now()
		var all sync.WaitGroup
		var atOnce, late atomic.Int64
		for range 100 * maxHeld {
			all.Go(func() {
				if r.Await(t.Context(), r.ArrivalTime(), time.Minute) {
					t.Error("confirmed by nothing")
				}
				switch took := time.Since(began); {
				case took == 0:
					atOnce.Add(1)
				case took > maxHold:
					late.Add(1)
				}
			})
		}
		all.Wait()
		if atOnce.Load() != 99*maxHeld || late.Load() != 0 {
			t.Errorf("%d were refused at once and %d after more than %s, want %d and 0", atOnce.Load(), late.Load(), maxHold, 99*maxHeld)
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			if r.Await(t.Context(), r.ArrivalTime(), time.Minute) || time.Since(began) > 0 {
				t.Fatalf("held for %s though requests have waited in vain before", time.Since(began))
			}
		}
		if asked.Load() != 1 || r.Stats().Asked != 1 || r.Stats().Held != maxHeld {
			t.Errorf("asked %d times, stats %+v, want 1 and %d held", asked.Load(), r.Stats(), maxHeld)
		}
		l.Confirm(l.RequestTime())
		if !r.Await(t.Context(), r.ArrivalTime(), time.Minute) {
			t.Error("not confirmed after a confirmation")
		}
	})
}

// Guards against hosts in touch whose unknown routes cost more calls to the store than one in the time for a change.
func TestStoreIsAskedOnceInTheTimeForAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerAfter = 50 * time.Millisecond
		l, r, asked := newRecency(func(_ context.Context, l *Lease) {
			askedAt := l.RequestTime()
			time.Sleep(answerAfter)
			l.Confirm(askedAt)
		})
		l.Confirm(l.RequestTime())
		for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(7 * time.Millisecond) {
			at := time.Now()
			if !r.Await(t.Context(), r.ArrivalTime(), time.Minute) || time.Since(at) > answerAfter {
				t.Fatalf("not confirmed after %s", time.Since(at))
			}
		}
		if n := asked.Load(); n < 1 || n > int64(time.Minute/within) {
			t.Errorf("asked %d times in a minute, want one in %s at the most", n, within)
		}
		synctest.Wait()
	})
}

// Guards against confirmations that come again and again and are all too old: each begins a wait, but not a question.
func TestOldConfirmationsCostNoQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, r, asked := newRecency(func(context.Context, *Lease) {})
		for time.Sleep(within + time.Second); l.RequestTime() < time.Minute; time.Sleep(100 * time.Millisecond) {
			l.Confirm(l.RequestTime() - within - time.Second)
			if r.Await(t.Context(), r.ArrivalTime(), 50*time.Millisecond) {
				t.Fatal("confirmed by what is too old")
			}
		}
		if n := asked.Load(); n > int64(time.Minute/within) {
			t.Errorf("asked %d times in a minute, want one in %s at the most", n, within)
		}
	})
}

// Guards against requests that are held on after their callers have gone.
func TestRequestIsNotHeldOnceItsCallerHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r, _ := newRecency(func(context.Context, *Lease) {})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		if r.Await(ctx, r.ArrivalTime(), time.Minute) || time.Since(began) != 100*time.Millisecond {
			t.Errorf("held for %s", time.Since(began))
		}
	})
}
