package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const step = 50 * time.Millisecond

// cell is the row as a store keeps it, with writes that take effect late.
type cell struct {
	row     Row
	version int64
	late    []lateWrite
}

type lateWrite struct {
	at time.Time
	w  Write
}

func (c *cell) commit(w Write) bool {
	if c.version != w.Version {
		return false
	}
	c.row = w.Row
	c.version++
	return true
}

func (c *cell) settle(now time.Time) {
	rest := c.late[:0]
	for _, l := range c.late {
		if l.at.After(now) {
			rest = append(rest, l)
			continue
		}
		c.commit(l.w)
	}
	c.late = rest
}

func (c *cell) read() Event {
	if c.version == 0 {
		return Absent{}
	}
	return Saw{
		Row:     c.row,
		Version: c.version,
	}
}

// candidate is one host in the simulated run; it does nothing until wakeAt.
type candidate struct {
	lease  *Lease
	wakeAt time.Time
}

// world drives candidates against one row.
type world struct {
	rng   *rand.Rand
	now   time.Time
	cell  cell
	hosts []*candidate
	// outUntil is until when the store is out.
	outUntil time.Time
	// fences are the fencing numbers of the orders in the order in which they took effect.
	fences   []int64
	holders  int
	takeover int
}

func newWorld(seed uint64, hosts int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 3)),
		now: time.Unix(1_000_000, 0),
	}
	nonce := 0
	for i := range hosts {
		w.hosts = append(w.hosts, &candidate{
			lease: New(fmt.Sprintf("host-%d", i), DefaultTerms(), func() string {
				nonce++
				return fmt.Sprint(nonce)
			}),
		})
	}
	return w
}

func (w *world) act(c *candidate) {
	switch a := c.lease.Next(w.now).(type) {
	case Rest:
		c.wakeAt = w.now.Add(min(a.For, 500*time.Millisecond))
	case Read:
		c.lease.Take(w.now, w.readRow())
	case Write:
		c.lease.Take(w.now, w.writeRow(a))
	}
	if w.rng.IntN(400) == 0 {
		// The host is paused, for longer than a term now and then.
		c.wakeAt = w.now.Add(time.Duration(w.rng.IntN(30_000)) * time.Millisecond)
	}
}

func (w *world) readRow() Event {
	if w.now.Before(w.outUntil) {
		return Lost{}
	}
	return w.cell.read()
}

func (w *world) writeRow(a Write) Event {
	if w.now.Before(w.outUntil) {
		return Lost{}
	}
	switch w.rng.IntN(8) {
	case 0:
		return Lost{}
	case 1:
		w.cell.commit(a)
		return Lost{}
	case 2:
		w.cell.late = append(w.cell.late, lateWrite{
			at: w.now.Add(time.Duration(w.rng.IntN(15_000)) * time.Millisecond),
			w:  a,
		})
		return Lost{}
	}
	if !w.cell.commit(a) {
		return w.readRow()
	}
	return Wrote{}
}

// orders lets every awake host that may give an order send one, which takes effect within the longest order.
func (w *world) orders(t *testing.T, seed uint64) {
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
			t.Fatalf("seed %d: an order with fencing number %d follows one with %d", seed, fence, w.fences[n-1])
		}
		if n := len(w.fences); n > 0 && fence > w.fences[n-1] {
			w.takeover++
		}
		w.fences = append(w.fences, fence)
	}
	if holders > 1 {
		t.Fatalf("seed %d: %d hosts hold the lease at once", seed, holders)
	}
	w.holders += holders
}

func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 5)
		for range 40_000 {
			w.now = w.now.Add(step)
			w.cell.settle(w.now)
			if w.rng.IntN(3000) == 0 {
				w.outUntil = w.now.Add(time.Duration(w.rng.IntN(60_000)) * time.Millisecond)
			}
			for _, c := range w.hosts {
				if !w.now.Before(c.wakeAt) {
					w.act(c)
				}
			}
			w.orders(t, seed)
		}
		if w.takeover < 10 || w.holders < 10_000 {
			t.Errorf("seed %d: the run proves little: %d takeovers, held in %d steps", seed, w.takeover, w.holders)
		}
	}
}

func TestLostAnswerOfARenewal(t *testing.T) {
	Convey("Given a holder whose renewal took effect and whose answer was lost", t, func() {
		now := time.Unix(1000, 0)
		nonce := 0
		l := New("a", DefaultTerms(), func() string {
			nonce++
			return fmt.Sprint(nonce)
		})
		var c cell
		l.Take(now, c.read())
		w, _ := l.Next(now).(Write)
		c.commit(w)
		l.Take(now, Wrote{})
		now = now.Add(2 * time.Second)
		w, _ = l.Next(now).(Write)
		c.commit(w)
		l.Take(now.Add(time.Second), Lost{})
		Convey("It reads, sees its own mark and goes on under the same fencing number", func() {
			So(l.Next(now), ShouldHaveSameTypeAs, Read{})
			l.Take(now.Add(time.Second), c.read())
			fence, ok := l.Held(now.Add(5 * time.Second))
			So(ok, ShouldBeTrue)
			So(fence, ShouldEqual, 1)
		})
		Convey("It may not order once the rest of its term is shorter than an order", func() {
			l.Take(now.Add(time.Second), c.read())
			_, ok := l.MayOrder(now.Add(4*time.Second + time.Millisecond))
			So(ok, ShouldBeFalse)
		})
		Convey("While the store is out it holds no longer than its term", func() {
			l.Take(now.Add(time.Second), Lost{})
			_, ok := l.Held(now.Add(6 * time.Second))
			So(ok, ShouldBeFalse)
		})
	})
}
