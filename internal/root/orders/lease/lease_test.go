package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const step = 50 * time.Millisecond

// fakeStore simulates a table service that contains the lease row; lateWrites take effect after the caller got ResultUnknown.
type fakeStore struct {
	row        Row
	version    int64
	lateWrites []lateWrite
}

type lateWrite struct {
	at time.Time
	w  Write
}

func (f *fakeStore) commit(w Write) bool {
	if f.version != w.Version {
		return false
	}
	f.row = w.Row
	f.version++
	return true
}

func (f *fakeStore) applyLateWrites(now time.Time) {
	rest := f.lateWrites[:0]
	for _, l := range f.lateWrites {
		if l.at.After(now) {
			rest = append(rest, l)
			continue
		}
		f.commit(l.w)
	}
	f.lateWrites = rest
}

func (f *fakeStore) read() Event {
	if f.version == 0 {
		return RowAbsent{}
	}
	return RowRead{
		Row:     f.row,
		Version: f.version,
	}
}

// candidate is one host of the simulation; it is paused until wakeAt.
type candidate struct {
	lease  *Lease
	wakeAt time.Time
}

// simulation runs several candidates against one stored row, with lost and delayed writes, store outages and paused hosts.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	fakeStore fakeStore
	hosts     []*candidate
	// storeDownUntil is the end of the current store outage.
	storeDownUntil time.Time
	// fences are the fencing numbers of all orders, in the order in which the orders took effect.
	fences []int64
	// holders is the number of lease holders, summed over all steps.
	holders int
	// takeovers counts the orders with a higher fencing number than the order before.
	takeovers int
}

func newSimulation(seed uint64, hosts int) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)),
		now: time.Unix(1_000_000, 0),
	}
	nonce := 0
	for i := range hosts {
		w.hosts = append(w.hosts, &candidate{
			lease: New(fmt.Sprintf("host-%d", i), DefaultTiming(), func() string {
				nonce++
				return fmt.Sprint(nonce)
			}),
		})
	}
	return w
}

func (w *simulation) stepCandidate(c *candidate) {
	switch a := c.lease.Next(w.now).(type) {
	case Wait:
		c.wakeAt = w.now.Add(min(a.Delay, 500*time.Millisecond))
	case Read:
		c.lease.Apply(w.now, w.readRow())
	case Write:
		c.lease.Apply(w.now, w.writeRow(a))
	}
	if w.rng.IntN(400) == 0 {
		// Pause the host, sometimes for longer than a term.
		c.wakeAt = w.now.Add(time.Duration(w.rng.IntN(30_000)) * time.Millisecond)
	}
}

func (w *simulation) readRow() Event {
	if w.now.Before(w.storeDownUntil) {
		return ResultUnknown{}
	}
	return w.fakeStore.read()
}

func (w *simulation) writeRow(a Write) Event {
	if w.now.Before(w.storeDownUntil) {
		return ResultUnknown{}
	}
	switch w.rng.IntN(8) {
	case 0:
		return ResultUnknown{}
	case 1:
		w.fakeStore.commit(a)
		return ResultUnknown{}
	case 2:
		w.fakeStore.lateWrites = append(w.fakeStore.lateWrites, lateWrite{
			at: w.now.Add(time.Duration(w.rng.IntN(15_000)) * time.Millisecond),
			w:  a,
		})
		return ResultUnknown{}
	}
	if !w.fakeStore.commit(a) {
		return w.readRow()
	}
	return WriteSucceeded{}
}

// sendOrders sends an order from every host that is awake and allowed to. It fails the test if two hosts hold the lease or
// if a fencing number is smaller than that of an earlier order.
func (w *simulation) sendOrders(t *testing.T, seed uint64) {
	holders := 0
	for _, c := range w.hosts {
		if _, ok := c.lease.Held(w.now); ok {
			holders++
		}
		if w.now.Before(c.wakeAt) {
			continue
		}
		fence, ok := c.lease.MayOrder(w.now)
		if !ok {
			continue
		}
		if n := len(w.fences); n > 0 && fence < w.fences[n-1] {
			t.Fatalf("seed %d: an order with fencing number %d follows an order with %d", seed, fence, w.fences[n-1])
		}
		if n := len(w.fences); n > 0 && fence > w.fences[n-1] {
			w.takeovers++
		}
		w.fences = append(w.fences, fence)
	}
	if holders > 1 {
		t.Fatalf("seed %d: %d hosts hold the lease at once", seed, holders)
	}
	w.holders += holders
}

func TestAtMostOneCandidateHoldsLease(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(seed, 5)
		for range 40_000 {
			w.now = w.now.Add(step)
			w.fakeStore.applyLateWrites(w.now)
			if w.rng.IntN(3000) == 0 {
				w.storeDownUntil = w.now.Add(time.Duration(w.rng.IntN(60_000)) * time.Millisecond)
			}
			for _, c := range w.hosts {
				if !w.now.Before(c.wakeAt) {
					w.stepCandidate(c)
				}
			}
			w.sendOrders(t, seed)
		}
		if w.takeovers < 10 || w.holders < 10_000 {
			t.Errorf("seed %d: too few lease changes to be conclusive: %d takeovers, lease held in %d steps", seed, w.takeovers, w.holders)
		}
	}
}

func TestRenewalWithLostResponseKeepsFencingNumber(t *testing.T) {
	Convey("Given a holder whose renewal took effect but whose response was lost", t, func() {
		now := time.Unix(1000, 0)
		nonce := 0
		l := New("a", DefaultTiming(), func() string {
			nonce++
			return fmt.Sprint(nonce)
		})
		var c fakeStore
		l.Apply(now, c.read())
		w, _ := l.Next(now).(Write)
		c.commit(w)
		l.Apply(now, WriteSucceeded{})
		now = now.Add(2 * time.Second)
		w, _ = l.Next(now).(Write)
		c.commit(w)
		l.Apply(now.Add(time.Second), ResultUnknown{})
		Convey("The holder reads the row, recognizes its own nonce and keeps its fencing number", func() {
			So(l.Next(now), ShouldHaveSameTypeAs, Read{})
			l.Apply(now.Add(time.Second), c.read())
			fence, ok := l.Held(now.Add(5 * time.Second))
			So(ok, ShouldBeTrue)
			So(fence, ShouldEqual, 1)
		})
		Convey("The holder may not send an order if the rest of its term is shorter than the maximum order time", func() {
			l.Apply(now.Add(time.Second), c.read())
			_, ok := l.MayOrder(now.Add(4*time.Second + time.Millisecond))
			So(ok, ShouldBeFalse)
		})
		Convey("The lease expires at the end of the term while the store is unavailable", func() {
			l.Apply(now.Add(time.Second), ResultUnknown{})
			_, ok := l.Held(now.Add(6 * time.Second))
			So(ok, ShouldBeFalse)
		})
	})
}
