package guard

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// ago returns the time of progress that was made some milliseconds before start.
func ago(ms int) time.Time {
	return start.Add(-time.Duration(ms) * time.Millisecond)
}

// TestMemoryGoesToRequestsThatMakeProgress guards against bodies that stop short of their end and keep the memory from others.
func TestMemoryGoesToRequestsThatMakeProgress(t *testing.T) {
	room := Room{Total: 1_000_000, Large: 500_000}
	full := Room{Total: 1_000_000, Large: 500_000, Held: 500_000, HeldLarge: 500_000}
	scenarios := []struct {
		name    string
		room    Room
		ask     Ask
		holders []Holder
		want    Action
	}{
		{name: "there is room", room: room, ask: Ask{More: 400_000, Arriving: true}, want: Grant{}},
		{name: "a body is larger than the part for large ones", room: room, ask: Ask{More: 500_001, Arriving: true}, want: Refuse{}},
		{name: "large bodies hold their part, a small one arrives", room: full, ask: Ask{More: 16_000, Arriving: true}, want: Grant{}},
		{name: "large bodies hold their part and move", room: full, ask: Ask{More: 20_000, Arriving: true}, holders: []Holder{{Bytes: 500_000, Large: true, Progress: ago(5)}}, want: Refuse{}},
		{name: "large bodies hold their part and stand still", room: full, ask: Ask{More: 20_000, Arriving: true}, holders: []Holder{{Bytes: 500_000, Large: true, Progress: ago(200)}}, want: Evict{Holders: []int{0}}},
		{name: "the one that holds most for longest goes", room: full, ask: Ask{More: 20_000, Arriving: true}, holders: []Holder{{Bytes: 100_000, Large: true, Progress: ago(500)}, {Bytes: 300_000, Large: true, Progress: ago(400)}, {Bytes: 100_000, Large: true, Progress: ago(1000)}}, want: Evict{Holders: []int{1}}},
		{name: "one whose caller waits for this host stays", room: full, ask: Ask{More: 20_000, Arriving: true}, holders: []Holder{{Bytes: 500_000, Large: true, Progress: ago(5000), Busy: true}}, want: Refuse{}},
		{name: "only small ones stand still", room: full, ask: Ask{More: 20_000, Arriving: true}, holders: []Holder{{Bytes: 400_000, Progress: ago(500)}}, want: Refuse{}},
		{name: "a small body becomes a large one", room: full, ask: Ask{Held: 16_000, More: 16_000, Arriving: true}, want: Refuse{}},
		{name: "a response uses all of the room", room: full, ask: Ask{Held: 20_000, More: 400_000}, want: Grant{}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			if got := DecideMemory(start, sc.room, sc.ask, sc.holders); !reflect.DeepEqual(got, sc.want) {
				t.Errorf("got %#v, want %#v", got, sc.want)
			}
		})
	}
}

// TestNewConnectionReplacesTheIdlest guards against connections that say nothing and keep out those that would.
func TestNewConnectionReplacesTheIdlest(t *testing.T) {
	scenarios := []struct {
		name    string
		holders []Holder
		want    Action
	}{
		{name: "there is room", holders: []Holder{{Progress: ago(1)}}, want: Grant{}},
		{name: "both wait for their callers", holders: []Holder{{Progress: ago(1)}, {Progress: ago(2)}}, want: Evict{Holders: []int{1}}},
		{name: "one caller waits for this host", holders: []Holder{{Progress: ago(1)}, {Progress: ago(2), Busy: true}}, want: Evict{Holders: []int{0}}},
		{name: "both callers wait for this host", holders: []Holder{{Busy: true}, {Busy: true}}, want: Refuse{}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			if got := DecideConn(2, sc.holders); !reflect.DeepEqual(got, sc.want) {
				t.Errorf("got %#v, want %#v", got, sc.want)
			}
		})
	}
}

// decision is DecideMemory or a faulty form of it.
type decision func(now time.Time, r Room, a Ask, holders []Holder) Action

// overrun plays requests at random, and reports whether they ever hold more than the room.
func overrun(seed uint64, decide decision) bool {
	rng := rand.New(rand.NewPCG(seed, 7))
	room := Room{Total: 1_000_000, Large: 500_000}
	var holders []Holder
	now := start
	for range 300 {
		now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
		ask := Ask{More: int64(1 + rng.IntN(200_000)), Arriving: true}
		switch a := decide(now, room, ask, holders).(type) {
		case Refuse:
			continue
		case Evict:
			gone := map[int]bool{}
			for _, i := range a.Holders {
				gone[i] = true
			}
			var rest []Holder
			for i, h := range holders {
				if !gone[i] {
					rest = append(rest, h)
				}
			}
			holders = rest
		}
		holders = append(holders, Holder{Bytes: ask.More, Large: ask.isLarge(), Progress: now, Busy: rng.IntN(8) == 0})
		room.Held, room.HeldLarge = 0, 0
		for _, h := range holders {
			room.Held += h.Bytes
			if h.Large {
				room.HeldLarge += h.Bytes
			}
		}
		if room.Held > room.Total || room.HeldLarge > room.Large {
			return true
		}
	}
	return false
}

// TestRequestsNeverHoldMoreThanTheRoom guards against a crowd that holds more than the machine has, and shows that a decision which frees too little is caught.
func TestRequestsNeverHoldMoreThanTheRoom(t *testing.T) {
	freesTooLittle := func(now time.Time, r Room, a Ask, holders []Holder) Action {
		action := DecideMemory(now, r, a, holders)
		if e, ok := action.(Evict); ok {
			return Evict{Holders: e.Holders[:len(e.Holders)-1]}
		}
		return action
	}
	caught := 0
	for seed := range uint64(1000) {
		if overrun(seed, DecideMemory) {
			t.Fatalf("seed %d: more is held than there is room", seed)
		}
		if overrun(seed, freesTooLittle) {
			caught++
		}
	}
	if caught == 0 {
		t.Error("a decision that frees too little was not caught")
	}
}
