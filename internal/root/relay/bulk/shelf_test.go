package bulk

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// blockOf returns a block of so many random bytes.
func blockOf(random *rand.Rand, n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}

// Guards against a block that is taken for whole although parts of it are missing, twice there, or damaged.
func TestRandomPartsMakeTheSameBlock(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 1))
		sender, receiver := NewShelf(), NewShelf()
		data := blockOf(random, 1+random.IntN(5000))
		ref := sender.Put(data)
		from, to := sender.Open(ref), receiver.Open(ref)
		damagedAt := random.IntN(2 * len(data))
		for {
			part := bytes.Clone(from.Part(t.Context(), to.Known(), 1+random.IntN(700)))
			hit := damagedAt >= to.Known() && damagedAt < to.Known()+len(part)
			if hit {
				part[damagedAt-to.Known()] ^= 1
				damagedAt = -1
			}
			whole, err := to.Add(part)
			if errors.Is(err, ErrDamaged) {
				if to.Known() != 0 {
					t.Fatalf("seed %d: %d bytes of a damaged block are kept", seed, to.Known())
				}
				continue
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if whole != nil {
				if !bytes.Equal(whole, data) {
					t.Fatalf("seed %d: another block", seed)
				}
				break
			}
		}
	}
}

func TestPartWaitsForBytesThatAreOnTheirWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data := blockOf(rand.New(rand.NewPCG(1, 1)), 100)
		b := NewShelf().Open(RefOf(data))
		go func() {
			time.Sleep(time.Second)
			_, _ = b.Add(data[:60])
		}()
		if got := b.Part(t.Context(), 0, 50); !bytes.Equal(got, data[:50]) {
			t.Errorf("got %d bytes, want the first 50", len(got))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if got := b.Part(ctx, 60, 50); len(got) != 0 {
			t.Errorf("got %d bytes that have not arrived", len(got))
		}
	})
}

// Guards against two readers of a block on the same host, and against one that waits for ever for another that has given up.
func TestOneReaderAtATimeReadsABlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data := blockOf(rand.New(rand.NewPCG(1, 1)), 100)
		b := NewShelf().Open(RefOf(data))
		if whole, err := b.Claim(t.Context()); whole != nil || err != nil {
			t.Fatalf("got %d bytes and error %v, want to read the block", len(whole), err)
		}
		second := make(chan []byte)
		go func() {
			whole, _ := b.Claim(t.Context())
			second <- whole
		}()
		_, _ = b.Add(data[:40])
		b.Release()
		if whole := <-second; whole != nil {
			t.Errorf("a block of which 40 bytes are known is whole")
		}
		_, _ = b.Add(data[40:])
		b.Release()
		if whole, err := b.Claim(t.Context()); !bytes.Equal(whole, data) || err != nil {
			t.Errorf("got %d bytes and error %v, want the block", len(whole), err)
		}
	})
}

func TestShelfForgetsTheBlocksUsedLongestAgo(t *testing.T) {
	s := NewShelf()
	var refs []Ref
	for i := range maxBlocks + 1 {
		refs = append(refs, s.Put([]byte(fmt.Sprint("block ", i))))
		_, _ = s.Find(refs[0].ID)
	}
	for i, ref := range refs {
		_, err := s.Find(ref.ID)
		if gone := errors.Is(err, ErrUnknownBlock); gone != (i == 1) {
			t.Errorf("block %d is gone: %v", i, gone)
		}
	}
}
