package chain

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/share"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// run is the state of one job on its way.
type run struct {
	*Runner
	job     Job
	print   crash.Fingerprint
	stage   int
	text    string
	reports []wire.StageReport
	// mayHaveRun says that some attempt of some stage may have run.
	mayHaveRun bool
	// unsure says that a stage that must not run twice ended without a known end.
	unsure bool
	// marked says that the first send of something that must run once was announced.
	marked       bool
	firstTokenMS float64
}

// Run takes the job through its stages; it returns as soon as the job is answered or given up.
func (r *Runner) Run(ctx context.Context, job Job) Outcome {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r.budget.Earn()
	u := &run{
		Runner: r,
		job:    job,
		print:  crash.FingerprintOf([]byte(job.Input), job.Pipeline.Name),
		text:   job.Input,
	}
	for i := range job.Pipeline.Stages {
		u.stage = i
		if job.OnStage != nil {
			job.OnStage()
		}
		if p := u.runStage(ctx); p != nil {
			return Given{
				Problem: p.WithRequestID(job.ID),
				Stages:  u.reports,
			}
		}
	}
	return Whole{
		Answer: wire.Answer{
			RequestID:    job.ID,
			Outcome:      wire.Answered,
			Output:       u.text,
			Stages:       u.reports,
			FirstTokenMS: u.firstTokenMS,
		},
	}
}

// try is the state of one stage over its attempts.
type try struct {
	spec    config.Stage
	pool    config.Pool
	exclude []string
	ran     int
	sure    int
	// built is the text that the stage has streamed so far, and tokens its length.
	built  strings.Builder
	tokens int
	// fresh asks for new connections, after one that was open fell silent.
	fresh  bool
	began  time.Time
	cost   float64
	wasted float64
}

func (u *run) runStage(ctx context.Context) *wire.Problem {
	t := &try{
		spec:  u.job.Pipeline.Stages[u.stage],
		pool:  u.job.Pools[u.stage],
		began: u.Now(),
	}
	for {
		if p := u.checkTime(t); p != nil {
			return p
		}
		crashes, blocked := u.suspects.Crashes(u.print)
		if blocked {
			return u.giveUp(t, wire.KindQuarantined, "the request crashed the upstreams that ran it")
		}
		up, ok := u.choose(ctx, t, crashes > 0)
		if !ok {
			return u.giveUp(t, wire.KindUpstream, "no upstream of pool "+t.pool.Name+" is usable")
		}
		ev, p := u.attempt(ctx, t, up)
		if ev == nil {
			return p
		}
		if p := u.next(ctx, t, ev); p != nil {
			return p
		}
	}
}

// checkTime gives up at once when what is left cannot hold the rest.
func (u *run) checkTime(t *try) *wire.Problem {
	left := u.job.Deadline.Sub(u.Now())
	least := share.Least(u.job.needed(u.stage))
	if left > 0 && left >= least {
		return nil
	}
	return u.giveUp(t, wire.KindDeadline, fmt.Sprintf("%s are left, too few for stage %s and what follows", left.Round(time.Millisecond), t.spec.Name))
}
