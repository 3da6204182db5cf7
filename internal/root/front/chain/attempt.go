package chain

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/share"
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// atMostOnce reports whether the stage must not be sent again after any byte of it was sent.
func (r *run) atMostOnce(s *stageState) bool {
	return !r.job.Idempotent || !s.spec.Idempotent
}

// attempt sends the stage to one upstream. A nil event means that the stage has ended, with success or with the returned problem.
func (r *run) attempt(ctx context.Context, s *stageState, up route.Upstream) (retry.Event, *wire.Problem) {
	defer r.crashGuard.EndTrial(r.fingerprint, up.Name)
	if err := r.markFirstSend(ctx, s); err != nil {
		r.Table.Release(r.Now(), up.Name)
		r.Log.WithError(err).Debug("Stage was not sent because its first send could not be recorded.")
		return nil, r.abandon(s, wire.KindStoreUnavailable, "the claim could not be marked before the send")
	}
	began := r.Now()
	// An attempt that leaves too little time for the later stages is cancelled, so that its slot becomes free.
	if r.stage < len(r.job.Pipeline.Stages)-1 {
		bounded, cancel := context.WithTimeout(ctx, r.stageLimit())
		defer cancel()
		ctx = bounded
	}
	result := r.sender.Do(ctx, r.newAttempt(s, up))
	took := r.Now().Sub(began)
	switch res := result.(type) {
	case reach.Done:
		return nil, r.finishStage(s, up, res.Result, took)
	case reach.Unsent:
		r.Table.Done(r.Now(), up.Name, took, false)
		s.notRun++
		s.exclude = append(s.exclude, up.Name)
		r.stats.Unsent.Add(1)
		return retry.Unsent{}, nil
	case reach.Refused:
		r.Table.Release(r.Now(), up.Name)
		s.notRun++
		s.exclude = append(s.exclude, up.Name)
		r.stats.Refused.Add(1)
		if res.Refusal.Leaving {
			r.onLeaving(up.Name)
		}
		if res.Refusal.Version != "" {
			r.beginAgain(s)
		}
		return retry.Refused{RetryAfter: time.Duration(res.Refusal.RetryAfterMS) * time.Millisecond}, nil
	case reach.Broken:
		return r.handleBroken(ctx, s, up, res.Err, took), nil
	default:
		panic(fmt.Sprintf("unknown result %T", result))
	}
}

// markFirstSend calls Job.BeforeNonIdempotentSend before the first send of a stage that must not run twice.
func (r *run) markFirstSend(ctx context.Context, s *stageState) error {
	if r.firstSendMarked || r.job.BeforeNonIdempotentSend == nil || !r.atMostOnce(s) {
		return nil
	}
	if err := r.job.BeforeNonIdempotentSend(ctx); err != nil {
		return fmt.Errorf("record first send: %w", err)
	}
	r.firstSendMarked = true
	return nil
}

// stageLimit returns the time that the stage may take, so that the later stages still have their minimum times.
func (r *run) stageLimit() time.Duration {
	return share.FirstStageLimit(r.job.Deadline.Sub(r.Now()), r.job.minTimes(r.stage))
}

func (r *run) newAttempt(s *stageState, up route.Upstream) reach.Attempt {
	return reach.Attempt{
		Addr:    up.Addr,
		Stream:  s.pool.Kind == config.KindEngine,
		NewConn: r.atMostOnce(s) || s.useNewConns,
		Silence: s.pool.Silence.D(),
		Call: stage.Call{
			AttemptID:  fmt.Sprintf("%s/%s/%d", r.job.ID, s.spec.Name, s.possibleRuns+s.notRun),
			Stage:      s.spec.Name,
			Input:      r.text,
			MaxTokens:  r.job.MaxTokens,
			Urgency:    r.job.Urgency,
			ResumeFrom: s.tokenCount,
			Version:    s.version,
			DeadlineMS: r.stageLimit().Milliseconds(),
		},
		OnSilence: r.silenceHandler(up),
		OnToken:   func(tok stage.Token) error { return r.onToken(s, tok) },
	}
}

// silenceHandler returns the OnSilence function of an attempt. It lets the attempt continue if both the pool and the upstream are busy, since abandoning it would waste the work done so far without a gain.
// The attempt calls it each time the silence timer expires. It allows at most maxSilenceExtensions extensions.
func (r *run) silenceHandler(up route.Upstream) func(ctx context.Context) bool {
	extensions := 0
	return func(ctx context.Context) bool {
		extensions++
		if extensions > maxSilenceExtensions || r.Table.Pressure(r.Now(), up.Pool).Utilization() < 1 {
			return false
		}
		load, alive := r.probe(ctx, up)
		return alive && load.Busy >= load.Slots
	}
}

// onToken appends the token to the output of the stage, and forwards it to Job.OnToken if this is the last stage.
func (r *run) onToken(s *stageState, tok stage.Token) error {
	if tok.Index != s.tokenCount {
		panic(fmt.Sprintf("invariant broken: token %d passed on where %d is due", tok.Index, s.tokenCount))
	}
	if r.firstTokenMS == 0 {
		r.firstTokenMS = common.Millis(r.Now().Sub(r.job.Arrived))
	}
	s.output.WriteString(tok.Text)
	s.tokenCount++
	s.version = tok.Version
	if !r.forwardsTokens() {
		return nil
	}
	if err := r.job.OnToken(wire.Token{
		Index: tok.Index,
		Text:  tok.Text,
	}); err != nil {
		return fmt.Errorf("stream to caller: %w", err)
	}
	return nil
}

// forwardsTokens reports whether the caller receives the tokens of the current stage.
func (r *run) forwardsTokens() bool {
	return r.job.OnToken != nil && r.stage == len(r.job.Pipeline.Stages)-1
}

// beginAgain discards the tokens of the stage, as no engine that was found can continue them, unless the caller has received them.
func (r *run) beginAgain(s *stageState) {
	if r.forwardsTokens() {
		return
	}
	s.output.Reset()
	s.tokenCount = 0
	s.version = ""
}

func (r *run) finishStage(s *stageState, up route.Upstream, res stage.Result, took time.Duration) *wire.Problem {
	r.Table.Done(r.Now(), up.Name, took, true)
	r.mayHaveRun = true
	s.possibleRuns++
	s.cost += res.BusyMS / 1000 * s.pool.CostPerSecond
	if res.Error != "" {
		return r.abandon(s, wire.KindUpstream, fmt.Sprintf("stage %s failed: %s", s.spec.Name, res.Error))
	}
	r.text = res.Output
	if s.pool.Kind == config.KindEngine {
		if s.tokenCount != res.Tokens {
			panic(fmt.Sprintf("invariant broken: %d tokens accepted of %d", s.tokenCount, res.Tokens))
		}
		r.text = s.output.String()
	}
	r.addStageReport(s, up.Name)
	return nil
}

func (r *run) handleBroken(ctx context.Context, s *stageState, up route.Upstream, err error, took time.Duration) retry.Broken {
	r.mayHaveRun = true
	r.outcomeUnknown = r.outcomeUnknown || r.atMostOnce(s)
	s.possibleRuns++
	s.exclude = append(s.exclude, up.Name)
	waste := took.Seconds() * s.pool.CostPerSecond
	s.cost += waste
	s.wasted += waste
	r.stats.Broken.Add(1)
	r.Log.WithError(err).Debugf("Attempt on upstream %s ended without a usable result.", up.Name)
	if ctx.Err() != nil {
		// The stage's time limit, the deadline or the caller ended the attempt. This is no failure of the upstream.
		r.Table.Release(r.Now(), up.Name)
		return retry.Broken{}
	}
	r.Table.Done(r.Now(), up.Name, took, false)
	switch {
	case errors.Is(err, reach.ErrSilent):
		s.useNewConns = true
		return retry.Broken{AddsNoLoad: r.retryAddsNoLoad(ctx, up)}
	case errors.Is(err, reach.ErrVersion):
		r.beginAgain(s)
		return retry.Broken{}
	case errors.Is(err, reach.ErrStray), errors.Is(err, reach.ErrGap):
		return retry.Broken{}
	}
	if r.crashGuard.RecordConnLoss(ctx, r.fingerprint, up) {
		r.Table.Eject(r.Now(), up.Name)
	}
	return retry.Broken{}
}

// retryAddsNoLoad probes an upstream on which an attempt made no progress within the silence limit. It returns true if the upstream does not answer or has free slots, and ejects it if it does not answer.
// In both cases a retry adds no load to a pool that is slow because of overload.
func (r *run) retryAddsNoLoad(ctx context.Context, up route.Upstream) bool {
	load, alive := r.probe(ctx, up)
	if !alive {
		r.Table.Eject(r.Now(), up.Name)
		return true
	}
	return load.Busy < load.Slots
}

// prepareRetry decides whether the stage is retried after the event. It waits for the pause before a retry, or returns the problem that ends the job.
func (r *run) prepareRetry(ctx context.Context, s *stageState, ev retry.Event) *wire.Problem {
	if errors.Is(context.Cause(ctx), serve.ErrStopping) {
		return r.abandonStopping(s)
	}
	if ctx.Err() != nil && r.job.Deadline.After(r.Now()) {
		return r.abandon(s, wire.KindCallerGone, "the caller went away")
	}
	action := retry.Decide(retry.State{
		Idempotent:   !r.atMostOnce(s),
		PossibleRuns: s.possibleRuns,
		NotRun:       s.notRun,
		Remaining:    r.job.Deadline.Sub(r.Now()),
		MinRemaining: share.Total(r.job.minTimes(r.stage)),
	}, ev, r.budget)
	switch a := action.(type) {
	case retry.Stop:
		kind := wire.KindUpstream
		if a.Reason == retry.NoTime {
			kind = wire.KindDeadline
		}
		return r.abandon(s, kind, fmt.Sprintf("stage %s: %s", s.spec.Name, a.Reason))
	case retry.Retry:
		r.stats.Retries.Add(1)
		if a.Pause > 0 {
			common.Sleep(ctx, a.Pause)
		}
		return nil
	default:
		panic(fmt.Sprintf("unknown action %T", action))
	}
}

// abandonStopping abandons the job because the host stops.
func (r *run) abandonStopping(s *stageState) *wire.Problem {
	kind := wire.KindDraining
	if r.mayHaveRun {
		kind = wire.KindUpstream
	}
	return r.abandon(s, kind, "the host is stopping")
}

// abandon returns the problem that ends the job, and reports the whole cost of the current stage as wasted.
// The outcome is NotRun only if no attempt of any stage may have run.
func (r *run) abandon(s *stageState, kind wire.Kind, detail string) *wire.Problem {
	s.wasted = s.cost
	r.addStageReport(s, "")
	outcome := wire.NotRun
	switch {
	case r.outcomeUnknown:
		outcome = wire.Unknown
	case r.mayHaveRun:
		outcome = wire.Failed
	}
	p := wire.NewProblem(kind, outcome, detail)
	if kind != wire.KindQuarantined && kind != wire.KindCallerGone {
		p = p.WithRetry(retryAfter, "")
	}
	return &p
}

func (r *run) addStageReport(s *stageState, upstream string) {
	r.stageReports = append(r.stageReports, wire.StageReport{
		Stage:    s.spec.Name,
		Upstream: upstream,
		Attempts: s.possibleRuns + s.notRun,
		TookMS:   common.Millis(r.Now().Sub(s.began)),
		Cost:     s.cost,
		Wasted:   s.wasted,
	})
}
