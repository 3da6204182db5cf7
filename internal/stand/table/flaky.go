package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/store"
)

// Odds are the chances, from 0 to 1, of what can go wrong with one call.
type Odds struct {
	// Out refuses a call that then has no effect.
	Out float64
	// LostBefore loses a write that has no effect, LostAfter one that took effect, and LostLate one that takes effect later.
	LostBefore float64
	LostAfter  float64
	LostLate   float64
	// Slow is the longest time that a call takes.
	Slow time.Duration
}

// Flaky is a store in memory that misbehaves by chance, for tests of what must hold all the same.
type Flaky struct {
	Rows *Rows

	mu      sync.Mutex
	odds    Odds
	rng     *rand.Rand
	objects map[string][]byte
}

// NewFlaky returns a store over the rows whose chances follow from the seed.
func NewFlaky(rows *Rows, odds Odds, seed uint64) *Flaky {
	return &Flaky{
		Rows: rows,
		odds: odds,
		rng:  rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetOdds replaces the chances.
func (f *Flaky) SetOdds(odds Odds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.odds = odds
}

// draw returns the chances, a number from 0 to 1 and how long this call takes.
func (f *Flaky) draw() (Odds, float64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var slow time.Duration
	if f.odds.Slow > 0 {
		slow = time.Duration(f.rng.Int64N(int64(f.odds.Slow)))
	}
	return f.odds, f.rng.Float64(), slow
}

// Get returns a row, or fails by chance.
func (f *Flaky) Get(_ context.Context, table, key string) (plat.Row, error) {
	odds, roll, slow := f.draw()
	time.Sleep(slow)
	if roll < odds.Out {
		return plat.Row{}, store.ErrOut
	}
	row, ok := f.Rows.Get(table, key)
	if !ok {
		return plat.Row{}, store.ErrAbsent
	}
	return row, nil
}

// List returns rows, or fails by chance.
func (f *Flaky) List(_ context.Context, table, prefix, after string, limit int) ([]plat.Row, error) {
	odds, roll, slow := f.draw()
	time.Sleep(slow)
	if roll < odds.Out {
		return nil, store.ErrOut
	}
	return f.Rows.List(table, prefix, after, limit), nil
}

// Commit applies the transaction, or fails by chance before, after or in place of it.
func (f *Flaky) Commit(_ context.Context, txn plat.Txn) error {
	odds, roll, slow := f.draw()
	time.Sleep(slow)
	if roll < odds.Out {
		return store.ErrOut
	}
	roll -= odds.Out
	if roll < odds.LostBefore {
		return store.ErrLost
	}
	roll -= odds.LostBefore
	if roll < odds.LostLate {
		go func() {
			time.Sleep(20 * slow)
			f.Rows.Commit(txn)
		}()
		return store.ErrLost
	}
	roll -= odds.LostLate
	failed := f.Rows.Commit(txn)
	if roll < odds.LostAfter {
		return store.ErrLost
	}
	if len(failed) > 0 {
		return &store.ConflictError{
			Failed: failed,
		}
	}
	return nil
}

// PutObject writes an object, or fails by chance.
func (f *Flaky) PutObject(_ context.Context, key string, data []byte) error {
	odds, roll, slow := f.draw()
	time.Sleep(slow)
	if roll < odds.Out {
		return store.ErrOut
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects == nil {
		f.objects = map[string][]byte{}
	}
	f.objects[key] = data
	return nil
}

// Object returns an object, or fails by chance.
func (f *Flaky) Object(_ context.Context, key string) ([]byte, error) {
	odds, roll, slow := f.draw()
	time.Sleep(slow)
	if roll < odds.Out {
		return nil, store.ErrOut
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	data, ok := f.objects[key]
	if !ok {
		return nil, store.ErrAbsent
	}
	return data, nil
}
