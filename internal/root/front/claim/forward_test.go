package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stand/table"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	scaleHosts   = 360
	scaleDomains = 7
	// bookings is a tenth of the letter's 3,200 requests a second.
	bookings   = 320
	scaleTime  = 20 * time.Second
	oneWay     = 1500 * time.Microsecond
	storeDelay = 4 * time.Millisecond
)

// toWriter hands writes to the keeper of the domain's writer, over a network that loses some.
type toWriter struct {
	mu     sync.Mutex
	rng    *rand.Rand
	writer *Keeper
	self   *Keeper
	loss   float64
}

func (f *toWriter) Writers() int { return scaleDomains }

func (f *toWriter) Forward(ctx context.Context, writes []Write) ([]Result, bool) {
	if f.writer == f.self {
		return nil, false
	}
	f.mu.Lock()
	roll := f.rng.Float64()
	f.mu.Unlock()
	time.Sleep(oneWay)
	if roll < f.loss/2 {
		return nil, true
	}
	results := f.writer.Serve(ctx, writes)
	time.Sleep(oneWay)
	if roll < f.loss {
		return nil, true
	}
	return results, true
}

// scaled is what a run at the letter's size came to.
type scaled struct {
	p50, p99 time.Duration
	perSec   float64
	failed   int
}

// bookAtScale lets 360 hosts claim, mark and close bookings at a steady rate.
func bookAtScale(t *testing.T, forwarded bool, loss float64) scaled {
	t.Helper()
	rows := table.NewRows()
	store := table.NewFlaky(rows, table.Odds{Slow: storeDelay}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var parts, all sync.WaitGroup
	keepers := make([]*Keeper, scaleHosts)
	for i := range keepers {
		var opts []Option
		f := &toWriter{rng: rand.New(rand.NewPCG(uint64(i), 8)), loss: loss}
		if forwarded {
			opts = append(opts, WithForwarder(f))
		}
		keepers[i] = New(common.Quiet(fmt.Sprint(i), "d"), store, func() int { return scaleHosts }, opts...)
		f.self = keepers[i]
		f.writer = keepers[i%scaleDomains]
		parts.Go(func() { _ = keepers[i].Run(ctx, func() {}) })
	}
	rng := rand.New(rand.NewPCG(1, 9))
	var mu sync.Mutex
	var took []time.Duration
	var out scaled
	began := time.Now()
	for n := 0; time.Since(began) < scaleTime; n++ {
		time.Sleep(time.Second / bookings)
		k := keepers[rng.IntN(scaleHosts)]
		all.Go(func() {
			d, ok := bookOnce(k, n)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, d)
			if !ok {
				out.failed++
			}
		})
	}
	all.Wait()
	commits, _ := rows.Counts()
	out.perSec = float64(commits) / time.Since(began).Seconds()
	cancel()
	parts.Wait()
	slices.Sort(took)
	out.p50 = took[len(took)/2]
	out.p99 = took[len(took)*99/100]
	return out
}

// bookOnce claims and marks a key, which is what a booking waits for, and closes it.
func bookOnce(k *Keeper, n int) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	began := time.Now()
	v, err := k.Begin(ctx, Record{
		Account:  "a",
		Key:      fmt.Sprint(n),
		Token:    fmt.Sprint(n),
		BodyHash: "b",
		State:    Started,
	})
	mine, ok := v.(Mine)
	if err != nil || !ok {
		return time.Since(began), false
	}
	marked, err := k.Mark(ctx, mine.Record)
	took := time.Since(began)
	if err != nil {
		return took, false
	}
	<-k.Settle(marked.WithAnswer(wire.Answer{
		RequestID: "r",
		Outcome:   wire.Answered,
	}))
	return took, true
}

func TestClaimWritersCarryTheLettersBookings(t *testing.T) {
	scenarios := []struct {
		name      string
		forwarded bool
		loss      float64
	}{
		{name: "each host by itself"},
		{name: "one writer a domain", forwarded: true},
		{name: "one writer a domain, two in a hundred messages lost", forwarded: true, loss: 0.02},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := bookAtScale(t, sc.forwarded, sc.loss)
				t.Logf("%d hosts, %d bookings a second: claim and mark p50 %s, p99 %s; %.0f transactions a second; %d failed",
					scaleHosts, bookings, s.p50.Round(time.Millisecond), s.p99.Round(time.Millisecond), s.perSec, s.failed)
				if s.perSec > writeBudget+scaleHosts {
					t.Errorf("%.0f transactions a second", s.perSec)
				}
				if sc.forwarded && s.failed > 0 {
					t.Errorf("%d bookings failed", s.failed)
				}
			})
		})
	}
}
