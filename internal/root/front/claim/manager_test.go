package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stand/table"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// attempt is one attempt to claim or reject a key on a host, with its result.
type attempt struct {
	key     int
	host    int
	reject  bool
	delay   time.Duration
	verdict Verdict
	err     error
}

// runConcurrentAttempts makes three attempts for every key on random hosts, and returns the attempts with their results.
func runConcurrentAttempts(seed uint64, rates table.FaultRates, keys, hosts int) ([]attempt, *table.Rows) {
	rng := rand.New(rand.NewPCG(seed, 2))
	rows := table.NewRows()
	flaky := table.NewFlaky(rows, rates, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	managers := make([]*Manager, hosts)
	for i := range managers {
		managers[i] = New(common.NewQuietDeps(fmt.Sprintf("host-%d", i), "d"), flaky, func() int { return hosts })
		parts.Add(1)
		go func() {
			defer parts.Done()
			_ = managers[i].Run(ctx, func() {})
		}()
	}
	attempts := make([]attempt, 0, 3*keys)
	for k := range keys {
		for range 3 {
			attempts = append(attempts, attempt{
				key:    k,
				host:   rng.IntN(hosts),
				reject: rng.IntN(4) == 0,
				delay:  time.Duration(rng.IntN(2000)) * time.Millisecond,
			})
		}
	}
	var wg sync.WaitGroup
	for i := range attempts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			attempts[i].run(managers[attempts[i].host], i)
		}()
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	cancel()
	parts.Wait()
	return attempts, rows
}

func (a *attempt) run(m *Manager, i int) {
	time.Sleep(a.delay)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	rec := Record{
		Account:   "a",
		Key:       fmt.Sprintf("k%d", a.key),
		Token:     fmt.Sprintf("t%d", i),
		BodyHash:  "b",
		RequestID: fmt.Sprintf("r%d", i),
		State:     Started,
	}
	if a.reject {
		a.verdict, a.err = m.Reject(ctx, rec, wire.NewProblem(wire.KindOverload, wire.NotRun, ""))
		return
	}
	a.verdict, a.err = m.Acquire(ctx, rec)
	if acquired, ok := a.verdict.(Acquired); ok {
		<-m.RecordOutcome(acquired.Record.WithAnswer(wire.Answer{
			RequestID: rec.RequestID,
			Outcome:   wire.Answered,
			Output:    rec.RequestID,
		}))
	}
}

func TestConcurrentAttemptsRunKeyAtMostOnce(t *testing.T) {
	scenarios := []struct {
		name  string
		rates table.FaultRates
		// allDecided requires that every key runs or gets the outcome "not run", since every write takes effect.
		allDecided bool
	}{
		{
			name:       "all calls succeed",
			allDecided: true,
			rates: table.FaultRates{
				Slow: 5 * time.Millisecond,
			},
		},
		{
			name:       "responses lost after the write",
			allDecided: true,
			rates: table.FaultRates{
				LostAfter: 0.5,
				Slow:      20 * time.Millisecond,
			},
		},
		{
			name: "writes lost, delayed and refused",
			rates: table.FaultRates{
				Unavailable: 0.1,
				LostBefore:  0.2,
				LostLate:    0.2,
				LostAfter:   0.2,
				Slow:        100 * time.Millisecond,
			},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				synctest.Test(t, func(t *testing.T) {
					attempts, rows := runConcurrentAttempts(seed, sc.rates, 200, 3)
					decided := checkAttempts(t, seed, attempts, rows)
					if sc.allDecided && decided != 200 {
						t.Errorf("seed %d: %d of 200 keys ran or got the outcome \"not run\"", seed, decided)
					}
				})
			}
		})
	}
}

// checkAttempts checks that the results for each key are consistent with each other and with the stored row.
// It returns the number of keys that ran or got the outcome "not run".
func checkAttempts(t *testing.T, seed uint64, attempts []attempt, rows *table.Rows) int {
	t.Helper()
	runs := map[int]int{}
	notRun := map[int]bool{}
	failed := 0
	for _, a := range attempts {
		if a.err != nil {
			failed++
			continue
		}
		switch v := a.verdict.(type) {
		case Acquired:
			if a.reject {
				notRun[a.key] = true
				continue
			}
			runs[a.key]++
		case Completed:
			if v.Record.Problem != nil && v.Record.Problem.Outcome == wire.NotRun {
				notRun[a.key] = true
			}
		}
	}
	for k, n := range runs {
		if n > 1 {
			t.Errorf("seed %d: key %d ran %d times", seed, k, n)
		}
		if notRun[k] {
			t.Errorf("seed %d: key %d ran, but another attempt returned \"not run\"", seed, k)
		}
		row, ok := rows.Get(TableName, RowKey("a", fmt.Sprintf("k%d", k)))
		if !ok || row.Version != 2 {
			t.Errorf("seed %d: key %d ran, but its outcome is not recorded (row found: %v, version %d)", seed, k, ok, row.Version)
		}
	}
	t.Logf("seed %d: %d attempts, %d keys ran, %d keys with outcome \"not run\", %d attempts without a certain result", seed, len(attempts), len(runs), len(notRun), failed)
	return len(runs) + len(notRun)
}

func TestKeyReusedForAnotherBodyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a key that is claimed for one body", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			m := New(common.NewQuietDeps("h", "d"), table.NewFlaky(table.NewRows(), table.FaultRates{}, 1), func() int { return 1 })
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = m.Run(ctx, func() {})
			}()
			first := Record{
				Account:  "a",
				Key:      "k",
				Token:    "t1",
				BodyHash: "one",
				State:    Started,
			}
			v, err := m.Acquire(ctx, first)
			So(err, ShouldBeNil)
			So(v, ShouldHaveSameTypeAs, Acquired{})
			other := first
			other.Token = "t2"
			other.BodyHash = "two"
			v, err = m.Acquire(ctx, other)
			So(err, ShouldBeNil)
			So(v, ShouldHaveSameTypeAs, KeyReused{})
			other.BodyHash = "one"
			v, err = m.Acquire(ctx, other)
			So(err, ShouldBeNil)
			So(v, ShouldHaveSameTypeAs, Running{})
			cancel()
			<-done
		})
	})
}

func TestConcurrentClaimsAreBatchedIntoTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given 900 concurrent claims on 9 hosts", t, func() {
			rows := table.NewRows()
			flaky := table.NewFlaky(rows, table.FaultRates{
				Slow: 4 * time.Millisecond,
			}, 1)
			ctx, cancel := context.WithCancel(context.Background())
			var parts, claims sync.WaitGroup
			for h := range 9 {
				m := New(common.NewQuietDeps(fmt.Sprint(h), "d"), flaky, func() int { return 9 })
				parts.Go(func() { _ = m.Run(ctx, func() {}) })
				for i := range 100 {
					claims.Go(func() {
						_, err := m.Acquire(ctx, Record{
							Account: "a",
							Key:     fmt.Sprintf("%d-%d", h, i),
							Token:   "t",
							State:   Started,
						})
						if err != nil {
							t.Error(err)
						}
					})
				}
			}
			claims.Wait()
			cancel()
			parts.Wait()
			commits, _ := rows.Counts()
			Convey("They take fewer than 100 transactions", func() {
				So(commits, ShouldBeLessThan, 100)
			})
		})
	})
}

func TestExpiredClaimIsNotBothMarkedAndClosed(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rates := table.FaultRates{
				LostBefore: 0.2,
				LostLate:   0.1,
				LostAfter:  0.3,
				Slow:       40 * time.Millisecond,
			}
			flaky := table.NewFlaky(table.NewRows(), rates, seed)
			ctx, cancel := context.WithCancel(context.Background())
			var parts sync.WaitGroup
			managers := make([]*Manager, 2)
			for i := range managers {
				managers[i] = New(common.NewQuietDeps(fmt.Sprint(i), "d"), flaky, func() int { return 2 })
				parts.Go(func() { _ = managers[i].Run(ctx, func() {}) })
			}
			v, err := managers[0].Acquire(ctx, Record{Account: "a", Key: "k", Token: "t", BodyHash: "b", State: Started})
			acquired, ok := v.(Acquired)
			if err != nil || !ok {
				t.Fatalf("seed %d: %v %v", seed, v, err)
			}
			var marked, closed bool
			var writers sync.WaitGroup
			writers.Go(func() {
				// The host that holds the claim is about to send its call.
				_, err := managers[0].MarkSending(ctx, acquired.Record)
				marked = err == nil
			})
			writers.Go(func() {
				// Another host finds the claim expired and closes it.
				time.Sleep(time.Duration(seed) * 2 * time.Millisecond)
				old, err := managers[1].Lookup(ctx, "a", "k")
				if err != nil || old.State != Started {
					return
				}
				_, err = managers[1].Expire(ctx, old, wire.NewProblem(wire.KindDeadline, wire.Failed, ""))
				closed = err == nil
			})
			writers.Wait()
			if marked && closed {
				t.Errorf("seed %d: the key was both marked as sending and closed as not sent", seed)
			}
			// Lets delayed writes take effect before the test ends.
			time.Sleep(10 * time.Second)
			cancel()
			parts.Wait()
		})
	}
}
