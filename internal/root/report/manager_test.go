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

// testHost is a host that counts requests and writes reports until it is stopped.
type testHost struct {
	counter *tally.Counter
	stop    context.CancelFunc
	done    chan struct{}
}

func startHost(name string, s Store, live func() []string) *testHost {
	c := &testHost{
		counter: tally.NewCounter(),
		done:    make(chan struct{}),
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	m := New(common.NewQuietDeps(name, "d"), s, c.counter.TakeDelta, live)
	go func() {
		defer close(c.done)
		_ = m.Run(ctx, func() {})
	}()
	return c
}

func (h *testHost) count(rng *rand.Rand) {
	h.counter.Add(time.Now(), tally.Entry{
		Account:  fmt.Sprintf("salon-%d", rng.IntN(3)),
		Pipeline: "chat",
		Outcome:  wire.Answered,
		InTime:   true,
		Latency:  time.Second,
	})
}

func totalSent(s Summary) int64 {
	var n int64
	for _, c := range s.Counts {
		n += c.Sent
	}
	return n
}

func TestSummaryCountsEveryRequestDespiteStoreFaultsAndHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flaky := table.NewFlaky(table.NewRows(), table.FaultRates{Slow: 20 * time.Millisecond}, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		names := []string{"a", "b", "c"}
		live := func() []string { return names }
		began := time.Now()
		var hosts []*testHost
		for _, n := range names {
			hosts = append(hosts, startHost(n, flaky, live))
		}
		want := 0
		count := func(n int) {
			for range n {
				time.Sleep(100 * time.Millisecond)
				hosts[rng.IntN(len(hosts))].count(rng)
				want++
			}
		}
		count(1800)
		// The store is unavailable for two minutes; afterwards it loses responses.
		flaky.SetFaultRates(table.FaultRates{Unavailable: 1})
		count(1200)
		flaky.SetFaultRates(table.FaultRates{LostAfter: 0.3, Slow: 20 * time.Millisecond})
		count(1800)
		flaky.SetFaultRates(table.FaultRates{Slow: 20 * time.Millisecond})
		// One host is stopped and replaced by another.
		hosts[0].stop()
		<-hosts[0].done
		names = []string{"b", "c", "d"}
		hosts[0] = startHost("d", flaky, live)
		count(600)
		for _, h := range hosts {
			h.stop()
			<-h.done
		}
		sum, err := Summarize(context.Background(), flaky, began, time.Now(), "")
		if err != nil {
			t.Fatal(err)
		}
		if got := totalSent(sum); got != int64(want) {
			t.Errorf("got %d requests in the summary, want %d", got, want)
		}
		if len(sum.Hosts) != 4 {
			t.Errorf("got reports of hosts %v, want 4 hosts", sum.Hosts)
		}
		var parts int64
		for i := range 3 {
			one, err := Summarize(context.Background(), flaky, began, time.Now(), fmt.Sprintf("salon-%d", i))
			if err != nil || len(one.Counts) != 1 {
				t.Fatalf("summary of one account: got counts %+v, error %v", one.Counts, err)
			}
			parts += totalSent(one)
		}
		if parts != int64(want) {
			t.Errorf("got %d requests in the summaries by account, want %d", parts, want)
		}
	})
}

func TestSummaryNamesLiveHostWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flaky := table.NewFlaky(table.NewRows(), table.FaultRates{}, 1)
		began := time.Now()
		live := func() []string { return []string{"a", "gone"} }
		a := startHost("a", flaky, live)
		time.Sleep(3 * time.Minute)
		a.stop()
		<-a.done
		sum, err := Summarize(context.Background(), flaky, began, time.Now(), "")
		if err != nil {
			t.Fatal(err)
		}
		if len(sum.Missing) < 3 {
			t.Errorf("got gaps %v, want at least 3", sum.Missing)
		}
		for _, g := range sum.Missing {
			if g.Host != "gone" {
				t.Errorf("got a gap of host %s, want only gaps of the host named \"gone\"", g.Host)
			}
		}
	})
}
