package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/store"
)

// FaultRates are the probabilities, from 0 to 1, of the faults of one call.
type FaultRates struct {
	// Unavailable is the probability that a call fails without effect because the store is unavailable.
	Unavailable float64
	// LostBefore, LostAfter and LostLate are the probabilities that the result of a write is lost.
	// With LostBefore the write has no effect, with LostAfter it took effect, and with LostLate it takes effect later.
	LostBefore float64
	LostAfter  float64
	LostLate   float64
	// Slow is the upper limit of the random delay of a call.
	Slow time.Duration
}

// Flaky is an in-memory store that injects random faults, for tests of properties that must hold despite such faults.
type Flaky struct {
	Rows *Rows

	mu      sync.Mutex
	rates   FaultRates
	rng     *rand.Rand
	objects map[string][]byte
}

// NewFlaky returns a store that keeps its data in rows. The seed determines its random faults.
func NewFlaky(rows *Rows, rates FaultRates, seed uint64) *Flaky {
	return &Flaky{
		Rows:  rows,
		rates: rates,
		rng:   rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaultRates replaces the probabilities of the faults.
func (f *Flaky) SetFaultRates(rates FaultRates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates = rates
}

// sampleFault returns the fault probabilities for one call, a random number from 0 to 1 that decides which fault occurs, and a random delay.
func (f *Flaky) sampleFault() (FaultRates, float64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var delay time.Duration
	if f.rates.Slow > 0 {
		delay = time.Duration(f.rng.Int64N(int64(f.rates.Slow)))
	}
	return f.rates, f.rng.Float64(), delay
}

// Get returns a row, or store.ErrNotFound if there is none. It fails at random with store.ErrUnavailable.
func (f *Flaky) Get(_ context.Context, table, key string) (plat.Row, error) {
	rates, roll, delay := f.sampleFault()
	time.Sleep(delay)
	if roll < rates.Unavailable {
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
	rates, roll, delay := f.sampleFault()
	time.Sleep(delay)
	if roll < rates.Unavailable {
		return nil, store.ErrUnavailable
	}
	return f.Rows.List(table, prefix, after, limit), nil
}

// Commit applies the transaction. It can fail at random: store.ErrUnavailable means that the transaction is not applied. After store.ErrUnknownOutcome, the transaction may have been applied, may be applied later or may never be applied.
func (f *Flaky) Commit(_ context.Context, txn plat.Txn) error {
	rates, roll, delay := f.sampleFault()
	time.Sleep(delay)
	if roll < rates.Unavailable {
		return store.ErrUnavailable
	}
	roll -= rates.Unavailable
	if roll < rates.LostBefore {
		return store.ErrUnknownOutcome
	}
	roll -= rates.LostBefore
	if roll < rates.LostLate {
		go func() {
			time.Sleep(20 * delay)
			f.Rows.Commit(txn)
		}()
		return store.ErrUnknownOutcome
	}
	roll -= rates.LostLate
	failed := f.Rows.Commit(txn)
	if roll < rates.LostAfter {
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
	rates, roll, delay := f.sampleFault()
	time.Sleep(delay)
	if roll < rates.Unavailable {
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
	rates, roll, delay := f.sampleFault()
	time.Sleep(delay)
	if roll < rates.Unavailable {
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
