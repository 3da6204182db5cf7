package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/store"
)

// Odds are the probabilities, from 0 to 1, of the faults of one call.
type Odds struct {
	// Out is the probability that a call fails without effect because the store is unavailable.
	Out float64
	// LostBefore, LostAfter and LostLate are the probabilities that the result of a write is lost.
	// With LostBefore the write has no effect, with LostAfter it took effect, and with LostLate it takes effect later.
	LostBefore float64
	LostAfter  float64
	LostLate   float64
	// Slow is the upper limit of the random delay of a call.
	Slow time.Duration
}

// Flaky is an in-memory store that injects random faults, for tests of properties that must hold despite them.
type Flaky struct {
	Rows *Rows

	mu      sync.Mutex
	odds    Odds
	rng     *rand.Rand
	objects map[string][]byte
}

// NewFlaky returns a store on top of rows whose random faults are determined by the seed.
func NewFlaky(rows *Rows, odds Odds, seed uint64) *Flaky {
	return &Flaky{
		Rows: rows,
		odds: odds,
		rng:  rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetOdds replaces the probabilities of the faults.
func (f *Flaky) SetOdds(odds Odds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.odds = odds
}

// drawOutcome returns the current fault probabilities, and draws a random number from 0 to 1 and a delay for one call.
func (f *Flaky) drawOutcome() (Odds, float64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var delay time.Duration
	if f.odds.Slow > 0 {
		delay = time.Duration(f.rng.Int64N(int64(f.odds.Slow)))
	}
	return f.odds, f.rng.Float64(), delay
}

// Get returns a row, or store.ErrNotFound if there is none. It fails at random with store.ErrUnavailable.
func (f *Flaky) Get(_ context.Context, table, key string) (plat.Row, error) {
	odds, roll, delay := f.drawOutcome()
	time.Sleep(delay)
	if roll < odds.Out {
		return plat.Row{}, store.ErrUnavailable
	}
	row, ok := f.Rows.Get(table, key)
	if !ok {
		return plat.Row{}, store.ErrNotFound
	}
	return row, nil
}

// List returns rows in key order, or fails at random with store.ErrUnavailable.
func (f *Flaky) List(_ context.Context, table, prefix, after string, limit int) ([]plat.Row, error) {
	odds, roll, delay := f.drawOutcome()
	time.Sleep(delay)
	if roll < odds.Out {
		return nil, store.ErrUnavailable
	}
	return f.Rows.List(table, prefix, after, limit), nil
}

// Commit applies the transaction. It can fail at random: store.ErrUnavailable means that the transaction is not applied. After store.ErrUnknownOutcome, the transaction may have been applied, may be applied later or may never be applied.
func (f *Flaky) Commit(_ context.Context, txn plat.Txn) error {
	odds, roll, delay := f.drawOutcome()
	time.Sleep(delay)
	if roll < odds.Out {
		return store.ErrUnavailable
	}
	roll -= odds.Out
	if roll < odds.LostBefore {
		return store.ErrUnknownOutcome
	}
	roll -= odds.LostBefore
	if roll < odds.LostLate {
		go func() {
			time.Sleep(20 * delay)
			f.Rows.Commit(txn)
		}()
		return store.ErrUnknownOutcome
	}
	roll -= odds.LostLate
	failed := f.Rows.Commit(txn)
	if roll < odds.LostAfter {
		return store.ErrUnknownOutcome
	}
	if len(failed) > 0 {
		return &store.ConflictError{
			Failed: failed,
		}
	}
	return nil
}

// PutObject writes an object, or fails at random with store.ErrUnavailable.
func (f *Flaky) PutObject(_ context.Context, key string, data []byte) error {
	odds, roll, delay := f.drawOutcome()
	time.Sleep(delay)
	if roll < odds.Out {
		return store.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects == nil {
		f.objects = map[string][]byte{}
	}
	f.objects[key] = data
	return nil
}

// Object returns an object, or store.ErrNotFound if there is none. It fails at random with store.ErrUnavailable.
func (f *Flaky) Object(_ context.Context, key string) ([]byte, error) {
	odds, roll, delay := f.drawOutcome()
	time.Sleep(delay)
	if roll < odds.Out {
		return nil, store.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	data, ok := f.objects[key]
	if !ok {
		return nil, store.ErrNotFound
	}
	return data, nil
}
