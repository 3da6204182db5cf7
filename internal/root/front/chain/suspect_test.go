package chain_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// unreachableSender simulates upstreams that lose the connection of each attempt and do not answer probes.
type unreachableSender struct{}

func (unreachableSender) Do(context.Context, reach.Attempt) reach.Result {
	return reach.Broken{Err: io.EOF}
}

func (unreachableSender) Probe(context.Context, string) (stage.Load, error) {
	return stage.Load{}, io.EOF
}

// countingGuard counts a crash for each lost connection, so that each request becomes a suspect.
type countingGuard struct {
	crashes atomic.Int32
}

func (b *countingGuard) Crashes(crash.Fingerprint) (int, bool)   { return int(b.crashes.Load()), false }
func (*countingGuard) OwnsTrials(string) bool                    { return true }
func (*countingGuard) StartTrial(crash.Fingerprint, string) bool { return true }
func (*countingGuard) EndTrial(crash.Fingerprint, string)        {}
func (b *countingGuard) RecordConnLoss(context.Context, crash.Fingerprint, route.Upstream) bool {
	b.crashes.Add(1)
	return true
}

func TestSuspectRequestFailsFastIfUpstreamsAreUnreachable(t *testing.T) {
	for _, n := range []int{1, 2, 3} {
		table := route.New("d")
		var ups []route.Upstream
		for i := range n {
			ups = append(ups, route.Upstream{
				Name:   string(rune('a' + i)),
				Addr:   "127.0.0.1:1",
				Domain: "d",
				Pool:   "workers",
			})
		}
		table.Sync([]route.PoolSpec{{Name: "workers", Slots: 1, Expected: time.Millisecond}}, ups, 1)
		r := chain.New(common.NewQuietDeps("h", "d"), table, unreachableSender{}, chain.WithCrashGuard(&countingGuard{}))
		job := newJob(n, false)
		job.Pipeline.Stages = job.Pipeline.Stages[:1]
		job.Pools = []config.Pool{{Name: "workers", Kind: config.KindWorker, Silence: config.Span(time.Second)}}
		job.Deadline = job.Arrived.Add(4 * time.Second)
		abandoned, ok := r.Run(t.Context(), job).(chain.Abandoned)
		if !ok || abandoned.Problem.Kind() != wire.KindUpstream || abandoned.Problem.Outcome != wire.Failed {
			t.Errorf("%d upstreams: got %+v", n, abandoned)
		}
		if took := time.Since(job.Arrived); took > time.Second {
			t.Errorf("%d upstreams: job was abandoned only after %s", n, took)
		}
	}
}
