package watch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stand/table"
	"github.com/cornelwing/cornelwing/pkg/config"
)

func newDocument(author string) config.Document {
	return config.Document{
		Pipelines: []config.Pipeline{
			{
				Name:       "p",
				Deadline:   config.Span(time.Second),
				Idempotent: true,
				Stages: []config.Stage{
					{Name: "s", Pool: "w", Idempotent: true, Expected: config.Span(time.Millisecond)},
				},
			},
		},
		Pools: []config.Pool{
			{Name: "w", Kind: config.KindWorker, Slots: 1, Silence: config.Span(time.Second)},
		},
		Accounts: []config.Account{
			{Name: author, KeySHA256: config.HashToken(author), Weight: 1, RatePerSecond: 1},
		},
		Objective: config.Objective{Attainment: 0.9},
	}
}

// applyResult is the result of one Apply call as its operator saw it.
type applyResult struct {
	id         string
	base       int64
	rev        config.Revision
	superseded bool
	err        error
}

func TestApplyReportsTrueOutcomeToRacingOperatorsOnFlakyStore(t *testing.T) {
	rates := table.FaultRates{
		Unavailable: 0.05,
		LostBefore:  0.1,
		LostAfter:   0.2,
		LostLate:    0.05,
		Slow:        50 * time.Millisecond,
	}
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			rows := table.NewRows()
			flaky := table.NewFlaky(rows, rates, seed)
			rng := rand.New(rand.NewPCG(seed, 4))
			var mu sync.Mutex
			var results []applyResult
			var wg sync.WaitGroup
			for op := range 4 {
				wg.Go(func() {
					revisions := NewRevisions(common.NewQuietDeps("h", "d"), flaky)
					for n := range 15 {
						base, _, err := revisions.Head(context.Background())
						if err != nil {
							continue
						}
						mu.Lock()
						delay := time.Duration(rng.IntN(200)) * time.Millisecond
						mu.Unlock()
						time.Sleep(delay)
						c := Change{
							ID:       fmt.Sprintf("%d-%d", op, n),
							Author:   fmt.Sprintf("op-%d", op),
							Base:     base,
							Document: newDocument(fmt.Sprintf("op-%d", op)),
						}
						rev, err := revisions.Apply(context.Background(), c)
						var race *StaleBaseError
						mu.Lock()
						results = append(results, applyResult{id: c.ID, base: base, rev: rev, superseded: errors.As(err, &race), err: err})
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			time.Sleep(time.Minute)
			checkResults(t, seed, rows, results)
		})
	}
}

// checkResults compares the results of the Apply calls with the stored revisions.
func checkResults(t *testing.T, seed uint64, rows *table.Rows, results []applyResult) {
	t.Helper()
	revisions := NewRevisions(common.NewQuietDeps("h", "d"), table.NewFlaky(rows, table.FaultRates{}, 1))
	newest, _, err := revisions.Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	numbers := map[string]int64{}
	for n := int64(1); n <= newest; n++ {
		r, err := revisions.Revision(context.Background(), n)
		if err != nil {
			t.Fatalf("seed %d: revision %d is missing: %v", seed, n, err)
		}
		if numbers[r.ChangeID] > 0 {
			t.Errorf("seed %d: change %s is stored twice", seed, r.ChangeID)
		}
		numbers[r.ChangeID] = n
	}
	accepted, staleBase, failed := 0, 0, 0
	for _, x := range results {
		switch {
		case x.err == nil:
			accepted++
			if numbers[x.id] != x.rev.Number || x.rev.Number != x.base+1 {
				t.Errorf("seed %d: change %s was reported as revision %d and is stored as %d", seed, x.id, x.rev.Number, numbers[x.id])
			}
		case x.superseded:
			staleBase++
			if numbers[x.id] > 0 {
				t.Errorf("seed %d: change %s was reported as superseded and is stored as revision %d", seed, x.id, numbers[x.id])
			}
		default:
			failed++
		}
	}
	t.Logf("seed %d: %d revisions, %d changes accepted, %d superseded by another change, %d with a store error", seed, newest, accepted, staleBase, failed)
}

func TestOlderRevisionNeverReplacesNewerOne(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	hosts := make([]*Active, 9)
	for i := range hosts {
		hosts[i] = NewActive()
	}
	highest := make([]int64, len(hosts))
	for step := range 20_000 {
		i := rng.IntN(len(hosts))
		r := config.Revision{Number: 1 + rng.Int64N(int64(step/10+1))}
		if rng.IntN(2) == 0 {
			// Use the current revision of another host, which may be older or newer.
			if p, ok := hosts[rng.IntN(len(hosts))].Current(); ok {
				r = p
			}
		}
		accepted := hosts[i].PutIfNewer(r)
		if accepted != (r.Number > highest[i]) {
			t.Fatalf("step %d: revision %d received by a host with revision %d: accepted %v", step, r.Number, highest[i], accepted)
		}
		highest[i] = max(highest[i], r.Number)
		if hosts[i].Number() != highest[i] {
			t.Fatalf("step %d: host has revision %d, want %d", step, hosts[i].Number(), highest[i])
		}
	}
}

func TestChangedIsClosedByNewerRevision(t *testing.T) {
	Convey("Given an Active and its Changed channel", t, func() {
		a := NewActive()
		changed := a.Changed()
		So(a.PutIfNewer(config.Revision{Number: 2}), ShouldBeTrue)
		_, open := <-changed
		So(open, ShouldBeFalse)
		So(a.PutIfNewer(config.Revision{Number: 2}), ShouldBeFalse)
		So(a.PutIfNewer(config.Revision{Number: 1}), ShouldBeFalse)
	})
}

func BenchmarkAccount(b *testing.B) {
	a := NewActive()
	r := config.Revision{Number: 1}
	for i := range 9800 {
		r.Document.Accounts = append(r.Document.Accounts, config.Account{Name: fmt.Sprint(i), KeySHA256: config.HashToken(fmt.Sprint(i))})
	}
	a.PutIfNewer(r)
	key := config.HashToken("9000")
	for b.Loop() {
		a.Account(key)
	}
}
