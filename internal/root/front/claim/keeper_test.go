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

// send is one send of a key to a host, and what came of it.
type send struct {
	key     int
	host    int
	refuse  bool
	delay   time.Duration
	verdict Verdict
	err     error
}

// race sends every key several times over several hosts and returns what came of each send.
func race(seed uint64, odds table.Odds, keys, hosts int) ([]send, *table.Rows) {
	rng := rand.New(rand.NewPCG(seed, 2))
	rows := table.NewRows()
	flaky := table.NewFlaky(rows, odds, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	keepers := make([]*Keeper, hosts)
	for i := range keepers {
		keepers[i] = New(common.Quiet(fmt.Sprintf("host-%d", i), "d"), flaky, func() int { return hosts })
		parts.Add(1)
		go func() {
			defer parts.Done()
			_ = keepers[i].Run(ctx, func() {})
		}()
	}
	sends := make([]send, 0, 3*keys)
	for k := range keys {
		for range 3 {
			sends = append(sends, send{
				key:    k,
				host:   rng.IntN(hosts),
				refuse: rng.IntN(4) == 0,
				delay:  time.Duration(rng.IntN(2000)) * time.Millisecond,
			})
		}
	}
	var wg sync.WaitGroup
	for i := range sends {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sends[i].run(keepers[sends[i].host], i)
		}()
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	cancel()
	parts.Wait()
	return sends, rows
}

func (s *send) run(k *Keeper, i int) {
	time.Sleep(s.delay)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	rec := Record{
		Account:   "a",
		Key:       fmt.Sprintf("k%d", s.key),
		Token:     fmt.Sprintf("t%d", i),
		BodyHash:  "b",
		RequestID: fmt.Sprintf("r%d", i),
		State:     Started,
	}
	if s.refuse {
		s.verdict, s.err = k.Refuse(ctx, rec, wire.NewProblem(wire.KindOverload, wire.NotRun, ""))
		return
	}
	s.verdict, s.err = k.Begin(ctx, rec)
	if mine, ok := s.verdict.(Mine); ok {
		<-k.Settle(mine.Record.WithAnswer(wire.Answer{
			RequestID: rec.RequestID,
			Outcome:   wire.Answered,
			Output:    rec.RequestID,
		}))
	}
}

func TestAKeyRunsAtMostOnce(t *testing.T) {
	scenarios := []struct {
		name string
		odds table.Odds
		// sure says that every key has to come to an end, as every write takes effect.
		sure bool
	}{
		{
			name: "healthy store",
			sure: true,
			odds: table.Odds{
				Slow: 5 * time.Millisecond,
			},
		},
		{
			name: "answers lost after the write",
			sure: true,
			odds: table.Odds{
				LostAfter: 0.5,
				Slow:      20 * time.Millisecond,
			},
		},
		{
			name: "writes lost, late and refused",
			odds: table.Odds{
				Out:        0.1,
				LostBefore: 0.2,
				LostLate:   0.2,
				LostAfter:  0.2,
				Slow:       100 * time.Millisecond,
			},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				synctest.Test(t, func(t *testing.T) {
					sends, rows := race(seed, sc.odds, 200, 3)
					ended := checkRace(t, seed, sends, rows)
					if sc.sure && ended != 200 {
						t.Errorf("seed %d: %d of 200 keys came to an end", seed, ended)
					}
				})
			}
		})
	}
}

// checkRace compares the verdicts of each key with each other and with the row that is left.
// It returns how many keys ran or were promised not to.
func checkRace(t *testing.T, seed uint64, sends []send, rows *table.Rows) int {
	t.Helper()
	runs := map[int]int{}
	promised := map[int]bool{}
	refused := 0
	for _, s := range sends {
		if s.err != nil {
			refused++
			continue
		}
		switch v := s.verdict.(type) {
		case Mine:
			if s.refuse {
				promised[s.key] = true
				continue
			}
			runs[s.key]++
		case Ended:
			if v.Record.Problem != nil && v.Record.Problem.Outcome == wire.NotRun {
				promised[s.key] = true
			}
		}
	}
	for k, n := range runs {
		if n > 1 {
			t.Errorf("seed %d: key %d ran %d times", seed, k, n)
		}
		if promised[k] {
			t.Errorf("seed %d: key %d ran, and \"not run\" was said of it", seed, k)
		}
		row, ok := rows.Get(TableName, RowKey("a", fmt.Sprintf("k%d", k)))
		if !ok || row.Version != 2 {
			t.Errorf("seed %d: key %d ran, and its outcome is not recorded (%v, version %d)", seed, k, ok, row.Version)
		}
	}
	t.Logf("seed %d: %d sends, %d ran, %d promised not run, %d left unsure", seed, len(sends), len(runs), len(promised), refused)
	return len(runs) + len(promised)
}

func TestAKeyForAnotherBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a key that was claimed for one body", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			k := New(common.Quiet("h", "d"), table.NewFlaky(table.NewRows(), table.Odds{}, 1), func() int { return 1 })
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = k.Run(ctx, func() {})
			}()
			first := Record{
				Account:  "a",
				Key:      "k",
				Token:    "t1",
				BodyHash: "one",
				State:    Started,
			}
			v, err := k.Begin(ctx, first)
			So(err, ShouldBeNil)
			So(v, ShouldHaveSameTypeAs, Mine{})
			other := first
			other.Token = "t2"
			other.BodyHash = "two"
			v, err = k.Begin(ctx, other)
			So(err, ShouldBeNil)
			So(v, ShouldHaveSameTypeAs, Reused{})
			other.BodyHash = "one"
			v, err = k.Begin(ctx, other)
			So(err, ShouldBeNil)
			So(v, ShouldHaveSameTypeAs, Running{})
			cancel()
			<-done
		})
	})
}

func TestClaimsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given 900 claims at once on 9 hosts", t, func() {
			rows := table.NewRows()
			flaky := table.NewFlaky(rows, table.Odds{
				Slow: 4 * time.Millisecond,
			}, 1)
			ctx, cancel := context.WithCancel(context.Background())
			var parts, sends sync.WaitGroup
			for h := range 9 {
				k := New(common.Quiet(fmt.Sprint(h), "d"), flaky, func() int { return 9 })
				parts.Go(func() { _ = k.Run(ctx, func() {}) })
				for i := range 100 {
					sends.Go(func() {
						_, err := k.Begin(ctx, Record{
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
			sends.Wait()
			cancel()
			parts.Wait()
			commits, _ := rows.Counts()
			Convey("They take few transactions", func() {
				So(commits, ShouldBeLessThan, 100)
			})
		})
	})
}

func TestAnExpiredClaimIsEitherMarkedOrClosed(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			odds := table.Odds{
				LostBefore: 0.2,
				LostLate:   0.1,
				LostAfter:  0.3,
				Slow:       40 * time.Millisecond,
			}
			flaky := table.NewFlaky(table.NewRows(), odds, seed)
			ctx, cancel := context.WithCancel(context.Background())
			var parts sync.WaitGroup
			keepers := make([]*Keeper, 2)
			for i := range keepers {
				keepers[i] = New(common.Quiet(fmt.Sprint(i), "d"), flaky, func() int { return 2 })
				parts.Go(func() { _ = keepers[i].Run(ctx, func() {}) })
			}
			v, err := keepers[0].Begin(ctx, Record{Account: "a", Key: "k", Token: "t", BodyHash: "b", State: Started})
			mine, ok := v.(Mine)
			if err != nil || !ok {
				t.Fatalf("seed %d: %v %v", seed, v, err)
			}
			var marked, closed bool
			var both sync.WaitGroup
			both.Go(func() {
				// The holder wakes and is about to send.
				_, err := keepers[0].Mark(ctx, mine.Record)
				marked = err == nil
			})
			both.Go(func() {
				// Another host is asked for the key after its deadline.
				time.Sleep(time.Duration(seed) * 2 * time.Millisecond)
				old, err := keepers[1].Lookup(ctx, "a", "k")
				if err != nil || old.State != Started {
					return
				}
				_, err = keepers[1].Expire(ctx, old, wire.NewProblem(wire.KindDeadline, wire.Failed, ""))
				closed = err == nil
			})
			both.Wait()
			if marked && closed {
				t.Errorf("seed %d: the key was marked for the send and closed as not sent", seed)
			}
			// Writes that take effect late still come.
			time.Sleep(10 * time.Second)
			cancel()
			parts.Wait()
		})
	}
}
