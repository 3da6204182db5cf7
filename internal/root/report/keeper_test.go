package report

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/tally"
	"github.com/cornelwing/cornelwing/internal/stand/table"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// counter is one host that counts requests and keeps reports.
type counter struct {
	book *tally.Counter
	stop context.CancelFunc
	done chan struct{}
}

func startCounter(name string, s Store, live func() []string) *counter {
	c := &counter{
		book: tally.NewCounter(),
		done: make(chan struct{}),
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	k := New(common.Quiet(name, "d"), s, c.book.Take, live)
	go func() {
		defer close(c.done)
		_ = k.Run(ctx, func() {})
	}()
	return c
}

func (c *counter) serve(rng *rand.Rand) {
	c.book.Add(time.Now(), tally.Entry{
		Account:  fmt.Sprintf("salon-%d", rng.IntN(3)),
		Pipeline: "chat",
		Outcome:  wire.Answered,
		InTime:   true,
		Took:     time.Second,
	})
}

func sent(s Summary) int64 {
	var n int64
	for _, c := range s.Counts {
		n += c.Sent
	}
	return n
}

func TestReportsOutliveTheirHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flaky := table.NewFlaky(table.NewRows(), table.Odds{Slow: 20 * time.Millisecond}, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		names := []string{"a", "b", "c"}
		live := func() []string { return names }
		began := time.Now()
		var hosts []*counter
		for _, n := range names {
			hosts = append(hosts, startCounter(n, flaky, live))
		}
		want := 0
		serve := func(n int) {
			for range n {
				time.Sleep(100 * time.Millisecond)
				hosts[rng.IntN(len(hosts))].serve(rng)
				want++
			}
		}
		serve(1800)
		// The store is out for two minutes, and loses answers afterwards.
		flaky.SetOdds(table.Odds{Out: 1})
		serve(1200)
		flaky.SetOdds(table.Odds{LostAfter: 0.3, Slow: 20 * time.Millisecond})
		serve(1800)
		flaky.SetOdds(table.Odds{Slow: 20 * time.Millisecond})
		// One host is stopped, and another takes its place.
		hosts[0].stop()
		<-hosts[0].done
		names = []string{"b", "c", "d"}
		hosts[0] = startCounter("d", flaky, live)
		serve(600)
		for _, h := range hosts {
			h.stop()
			<-h.done
		}
		sum, err := Sum(context.Background(), flaky, began, time.Now(), "")
		if err != nil {
			t.Fatal(err)
		}
		if got := sent(sum); got != int64(want) {
			t.Errorf("%d requests in the reports, %d were served", got, want)
		}
		if len(sum.Hosts) != 4 {
			t.Errorf("reports of %v", sum.Hosts)
		}
		var parts int64
		for i := range 3 {
			one, err := Sum(context.Background(), flaky, began, time.Now(), fmt.Sprintf("salon-%d", i))
			if err != nil || len(one.Counts) != 1 {
				t.Fatalf("report of one account: %+v %v", one.Counts, err)
			}
			parts += sent(one)
		}
		if parts != int64(want) {
			t.Errorf("%d requests in the accounts' own reports, %d were served", parts, want)
		}
	})
}

func TestAHostThatVanishesIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flaky := table.NewFlaky(table.NewRows(), table.Odds{}, 1)
		began := time.Now()
		live := func() []string { return []string{"a", "gone"} }
		a := startCounter("a", flaky, live)
		time.Sleep(3 * time.Minute)
		a.stop()
		<-a.done
		sum, err := Sum(context.Background(), flaky, began, time.Now(), "")
		if err != nil {
			t.Fatal(err)
		}
		if len(sum.Missing) < 3 {
			t.Errorf("gaps %v", sum.Missing)
		}
		for _, g := range sum.Missing {
			if g.Host != "gone" {
				t.Errorf("gap of %s", g.Host)
			}
		}
	})
}
