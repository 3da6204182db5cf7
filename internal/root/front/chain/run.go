package chain

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/share"
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// run is the state of one running job.
type run struct {
	*Runner
	job Job
	// fingerprint identifies the request to the crash guard.
	fingerprint crash.Fingerprint
	// stage is the index of the current stage, and text its input. After the last stage, text is the output of the job.
	stage        int
	text         string
	stageReports []wire.StageReport
	// mayHaveRun is set once an attempt of any stage may have run.
	mayHaveRun bool
	// outcomeUnknown is set if it is not known whether an attempt of a stage that must not run twice has run.
	outcomeUnknown bool
	// firstSendMarked is set after Job.BeforeNonIdempotentSend has returned without an error.
	firstSendMarked bool
	firstTokenMS    float64
}

// Run runs the stages of the job in order. It returns as soon as the job is answered or abandoned.
func (r *Runner) Run(ctx context.Context, job Job) Outcome {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	ctx, release := serve.StopOf(ctx).Until(ctx)
	defer release()
	r.budget.Deposit()
	rn := &run{
		Runner:      r,
		job:         job,
		fingerprint: crash.FingerprintOf([]byte(job.Input), job.Pipeline.Name),
		text:        job.Input,
	}
	for i := range job.Pipeline.Stages {
		rn.stage = i
		if job.OnStageStart != nil {
			job.OnStageStart()
		}
		if p := rn.runStage(ctx); p != nil {
			return Abandoned{
				Problem: p.WithRequestID(job.ID),
				Stages:  rn.stageReports,
			}
		}
	}
	return Completed{
		Answer: wire.Answer{
			RequestID:    job.ID,
			Outcome:      wire.Answered,
			Output:       rn.text,
			Stages:       rn.stageReports,
			FirstTokenMS: rn.firstTokenMS,
		},
	}
}

// stageState is the state of one stage across its attempts.
type stageState struct {
	spec config.Stage
	pool config.Pool
	// exclude holds the names of the upstreams that were tried. It is cleared when no other upstream is usable.
	exclude []string
	// possibleRuns counts the attempts that ran or may have run, and notRun those that are known not to have run.
	possibleRuns int
	notRun       int
	// output is the text that the stage has streamed so far, tokenCount the number of tokens in it, and version that of the model that generated them, or "" if it is not known.
	output     strings.Builder
	tokenCount int
	version    string
	// useNewConns is set after an attempt made no progress within the silence limit. Further attempts use new connections.
	useNewConns bool
	began       time.Time
	cost        float64
	wasted      float64
}

func (r *run) runStage(ctx context.Context) *wire.Problem {
	s := &stageState{
		spec:  r.job.Pipeline.Stages[r.stage],
		pool:  r.job.Pools[r.stage],
		began: r.Now(),
	}
	for {
		if p := r.checkDeadline(s); p != nil {
			return p
		}
		crashes, blocked := r.crashGuard.Crashes(r.fingerprint)
		if blocked {
			return r.abandon(s, wire.KindQuarantined, "the request crashed the upstreams that ran it")
		}
		up, ok := r.chooseUpstream(ctx, s, crashes > 0)
		if !ok {
			return r.abandon(s, wire.KindUpstream, "no upstream of pool "+s.pool.Name+" is usable")
		}
		ev, p := r.attempt(ctx, s, up)
		if ev == nil {
			return p
		}
		if p := r.prepareRetry(ctx, s, ev); p != nil {
			return p
		}
	}
}

// checkDeadline abandons the job if the time left is less than the minimum time of the remaining stages.
func (r *run) checkDeadline(s *stageState) *wire.Problem {
	left := r.job.Deadline.Sub(r.Now())
	required := share.Total(r.job.minTimes(r.stage))
	if left > 0 && left >= required {
		return nil
	}
	return r.abandon(s, wire.KindDeadline, fmt.Sprintf("%s are left, too few for stage %s and what follows", left.Round(time.Millisecond), s.spec.Name))
}
