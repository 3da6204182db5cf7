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
	hostCount   = 360
	domainCount = 7
	// requestRate is in requests per second: a tenth of the 3,200 that the system is designed for.
	requestRate = 320
	runDuration = 20 * time.Second
	oneWayDelay = 1500 * time.Microsecond
	storeDelay  = 4 * time.Millisecond
)

// lossyForwarder forwards writes to the manager of the domain's claim writer, and loses a part of the requests and responses.
type lossyForwarder struct {
	mu     sync.Mutex
	rng    *rand.Rand
	writer *Manager
	self   *Manager
	loss   float64
}

func (f *lossyForwarder) Writers() int { return domainCount }

func (f *lossyForwarder) Forward(ctx context.Context, writes []Write) ([]Result, bool) {
	if f.writer == f.self {
		return nil, false
	}
	f.mu.Lock()
	roll := f.rng.Float64()
	f.mu.Unlock()
	time.Sleep(oneWayDelay)
	if roll < f.loss/2 {
		return nil, true
	}
	results := f.writer.CommitForwarded(ctx, writes)
	time.Sleep(oneWayDelay)
	if roll < f.loss {
		return nil, true
	}
	return results, true
}

// runResult is the result of one run of runRequests.
type runResult struct {
	p50, p99 time.Duration
	txnRate  float64
	failed   int
}

// runRequests makes hostCount hosts claim, mark and close the keys of requests at a constant rate.
func runRequests(t *testing.T, forwarded bool, loss float64) runResult {
	t.Helper()
	rows := table.NewRows()
	store := table.NewFlaky(rows, table.FaultRates{Slow: storeDelay}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var parts, all sync.WaitGroup
	managers := make([]*Manager, hostCount)
	for i := range managers {
		var opts []Option
		f := &lossyForwarder{rng: rand.New(rand.NewPCG(uint64(i), 8)), loss: loss}
		if forwarded {
			opts = append(opts, WithForwarder(f))
		}
		managers[i] = New(common.NewQuietDeps(fmt.Sprint(i), "d"), store, func() int { return hostCount }, opts...)
		f.self = managers[i]
		f.writer = managers[i%domainCount]
		parts.Go(func() { _ = managers[i].Run(ctx, func() {}) })
	}
	rng := rand.New(rand.NewPCG(1, 9))
	var mu sync.Mutex
	var latencies []time.Duration
	var out runResult
	began := time.Now()
	for n := 0; time.Since(began) < runDuration; n++ {
		time.Sleep(time.Second / requestRate)
		m := managers[rng.IntN(hostCount)]
		all.Go(func() {
			d, ok := claimMarkAndClose(m, n)
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, d)
			if !ok {
				out.failed++
			}
		})
	}
	all.Wait()
	commits, _ := rows.Counts()
	out.txnRate = float64(commits) / time.Since(began).Seconds()
	cancel()
	parts.Wait()
	slices.Sort(latencies)
	out.p50 = latencies[len(latencies)/2]
	out.p99 = latencies[len(latencies)*99/100]
	return out
}

// claimMarkAndClose claims, marks and closes a key. It returns the latency of claim and mark, which a request waits for, and whether both succeeded.
func claimMarkAndClose(m *Manager, n int) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	began := time.Now()
	v, err := m.Acquire(ctx, Record{
		Account:  "a",
		Key:      fmt.Sprint(n),
		Token:    fmt.Sprint(n),
		BodyHash: "b",
		State:    Started,
	})
	acquired, ok := v.(Acquired)
	if err != nil || !ok {
		return time.Since(began), false
	}
	marked, err := m.MarkSending(ctx, acquired.Record)
	took := time.Since(began)
	if err != nil {
		return took, false
	}
	<-m.RecordOutcome(marked.WithAnswer(wire.Answer{
		RequestID: "r",
		Outcome:   wire.Answered,
	}))
	return took, true
}

func TestClaimWritersSustainRequestRate(t *testing.T) {
	scenarios := []struct {
		name      string
		forwarded bool
		loss      float64
	}{
		{name: "each host commits its own writes"},
		{name: "one writer per domain", forwarded: true},
		{name: "one writer per domain, two percent of forwarded batches or responses lost", forwarded: true, loss: 0.02},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := runRequests(t, sc.forwarded, sc.loss)
				t.Logf("%d hosts, %d requests per second: claim and mark p50 %s, p99 %s; %.0f transactions per second; %d failed",
					hostCount, requestRate, s.p50.Round(time.Millisecond), s.p99.Round(time.Millisecond), s.txnRate, s.failed)
				if s.txnRate > writeBudget+hostCount {
					t.Errorf("%.0f transactions per second exceed the write budget", s.txnRate)
				}
				if sc.forwarded && s.failed > 0 {
					t.Errorf("%d requests failed", s.failed)
				}
			})
		})
	}
}
