package guard

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
)

// clock is a clock that a test moves.
type clock struct {
	now time.Time
}

func (c *clock) Now() time.Time {
	return c.now
}

// TestMemoryAddsUp guards against memory that is never given back, or given back twice, whatever the order of events.
func TestMemoryAddsUp(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := &clock{now: start}
		m := NewMemory(4_000_000, c.Now)
		claims := make([]*Claim, 8)
		for i := range claims {
			claims[i] = m.Claim(func() {})
		}
		for range 400 {
			c.now = c.now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			i := rng.IntN(len(claims))
			switch rng.IntN(5) {
			case 0:
				claims[i].Release()
				claims[i] = m.Claim(func() {})
			case 1:
				claims[i].Arrived()
			case 2:
				claims[i].Waiting(rng.IntN(2) == 0)
			case 3:
				claims[i].Hold(int64(rng.IntN(100_000)))
			default:
				claims[i].Grow(int64(rng.IntN(300_000)))
			}
			var held, large int64
			for _, o := range claims {
				held += o.held
				if o.isLarge() {
					large += o.held
				}
			}
			if held != m.room.Held || large != m.room.HeldLarge {
				t.Fatalf("seed %d: %d bytes are held, %d of large requests; counted are %d and %d", seed, held, large, m.room.Held, m.room.HeldLarge)
			}
		}
		for _, o := range claims {
			o.Release()
		}
		if s := m.Stats(); s.Held != 0 || len(m.claims) != 0 {
			t.Fatalf("seed %d: %d bytes are held after the end", seed, s.Held)
		}
	}
}

// TestBodyIsReadWhole guards against bodies that are cut where a buffer ends.
func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, minBodyBuffer - 1, minBodyBuffer, minBodyBuffer + 1, 3*minBodyBuffer + 7} {
		want := strings.Repeat("b", size)
		for _, length := range []int64{-1, int64(size)} {
			got, err := ReadBody(iotest.OneByteReader(strings.NewReader(want)), length, nil)
			if err != nil || string(got) != want {
				t.Errorf("size %d, stated length %d: got %d bytes, error %v", size, length, len(got), err)
			}
		}
	}
}

// TestBodyWithoutRoomIsRefused guards against a body that is read although there is no memory for it.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	c := &clock{now: start}
	m := NewMemory(400_000, c.Now)
	_, err := ReadBody(bytes.NewReader(make([]byte, 80_000)), 80_000, m.Claim(func() {}))
	if !errors.Is(err, ErrNoRoom) {
		t.Errorf("got error %v, want %v", err, ErrNoRoom)
	}
	claim := m.Claim(func() {})
	stalls := &evictingReader{claim: claim}
	if _, err := ReadBody(stalls, -1, claim); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a body that lost its memory: got error %v, want %v", err, ErrNoRoom)
	}
}

// evictingReader takes away the memory of its body, and fails as a connection that is interrupted.
type evictingReader struct {
	claim *Claim
}

func (r *evictingReader) Read([]byte) (int, error) {
	r.claim.memory.mu.Lock()
	defer r.claim.memory.mu.Unlock()
	r.claim.drop()
	return 0, io.ErrUnexpectedEOF
}

// TestMachineOfEachSizeTakesTheLargestBody guards against bounds that no legal request can keep.
func TestMachineOfEachSizeTakesTheLargestBody(t *testing.T) {
	const largestBody = 4 << 20
	scenarios := []struct {
		memoryMB    int
		descriptors int
		conns       int
	}{
		{memoryMB: 144, descriptors: 3075, conns: 1000},
		{memoryMB: 536, descriptors: 8192, conns: 3000},
		{memoryMB: 64, descriptors: 128, conns: 32},
	}
	for _, sc := range scenarios {
		machine := MachineOf(sc.memoryMB, sc.descriptors)
		if !NewMemory(machine.Memory, time.Now).Claim(func() {}).Grow(largestBody) {
			t.Errorf("%d MB: the largest body is refused", sc.memoryMB)
		}
		if n := machine.CallerConns(); n < sc.conns {
			t.Errorf("%d descriptors: callers get %d connections", sc.descriptors, n)
		}
		if used := 2*machine.CallerConns() + 2*machine.ProbeConns(); used > sc.descriptors {
			t.Errorf("%d descriptors: callers, their upstreams and probes may use %d", sc.descriptors, used)
		}
	}
}
