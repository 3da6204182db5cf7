package chain_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const silence = 300 * time.Millisecond

// TestStageTakesAtMostTwoAttemptsAfterConnectionsGoSilent guards against a stage that times out on several pooled connections in a row, all of which have stopped responding.
// After the first time-out the stage must use new connections.
func TestStageTakesAtMostTwoAttemptsAfterConnectionsGoSilent(t *testing.T) {
	env, _ := newEnvironment(t)
	table := route.New("d")
	var ups []route.Upstream
	var relays []*stand.Relay
	for _, h := range env.Hosts() {
		relay, err := stand.NewRelay(h.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(relay.Close)
		relays = append(relays, relay)
		ups = append(ups, route.Upstream{
			Name:   h.Name,
			Addr:   relay.Addr(),
			Domain: h.Domain,
			Pool:   h.Pool,
		})
	}
	table.Sync([]route.PoolSpec{
		{Name: "workers", Slots: 64, Expected: time.Millisecond},
		{Name: "engines", Slots: 64, Expected: 10 * time.Millisecond},
	}, ups, 1)
	r := chain.New(common.NewQuietDeps("h", "d"), table, reach.New())
	send := func(from, n int, nonIdempotent bool) []chain.Outcome {
		out := make([]chain.Outcome, n)
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				job := newJob(from+i, nonIdempotent)
				for p := range job.Pools {
					job.Pools[p].Silence = config.Span(silence)
				}
				out[i] = r.Run(context.Background(), job)
			})
		}
		wg.Wait()
		return out
	}
	send(0, 60, false)
	open := 0
	for _, relay := range relays {
		open += relay.SilenceConns()
	}
	if open < len(relays) {
		t.Fatalf("only %d connections were open, fewer than one for each upstream", open)
	}
	// The first job is sent over a connection that has stopped responding, whichever upstream it is sent to.
	outcomes := send(100, 1, false)
	outcomes = append(outcomes, send(101, 20, false)...)
	outcomes = append(outcomes, send(200, 20, true)...)
	for i, o := range outcomes {
		answered, ok := o.(chain.Completed)
		if !ok {
			t.Errorf("job %d was not answered: %+v", i, o)
			continue
		}
		for _, s := range answered.Answer.Stages {
			if s.Attempts > 2 {
				t.Errorf("job %d: stage %s took %d attempts", i, s.Stage, s.Attempts)
			}
		}
	}
	for i := 200; i < 220; i++ {
		if n := env.RunLog.Count("s2", fmt.Sprintf("input-%d|s1", i)); n != 1 {
			t.Errorf("a stage that is not idempotent ran %d times", n)
		}
	}
}
