package chain

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/retry"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/share"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// once reports whether the stage must not be sent again after a byte of it was sent.
func (u *run) once(t *try) bool {
	return !u.job.Idempotent || !t.spec.Idempotent
}

// attempt sends the stage to one upstream; a nil event says that the stage ended, well or with a problem.
func (u *run) attempt(ctx context.Context, t *try, up route.Upstream) (retry.Event, *wire.Problem) {
	defer u.suspects.Free(u.print, up.Name)
	if err := u.mark(ctx, t); err != nil {
		u.Table.Release(u.Now(), up.Name)
		u.Log.WithError(err).Debug("A stage that must run once may not be sent.")
		return nil, u.giveUp(t, wire.KindStoreOut, "the claim could not be marked before the send")
	}
	began := u.Now()
	// An attempt that leaves too little for the stages after it is cancelled, so that it frees its slot.
	if u.stage < len(u.job.Pipeline.Stages)-1 {
		bounded, cancel := context.WithTimeout(ctx, u.latest())
		defer cancel()
		ctx = bounded
	}
	result := u.caller.Do(ctx, u.makeAttempt(t, up))
	took := u.Now().Sub(began)
	switch res := result.(type) {
	case reach.Done:
		return nil, u.done(t, up, res.Result, took)
	case reach.Unsent:
		u.Table.Done(u.Now(), up.Name, took, false)
		t.sure++
		t.exclude = append(t.exclude, up.Name)
		u.stats.Unsent.Add(1)
		return retry.Unsent{}, nil
	case reach.Refused:
		u.Table.Release(u.Now(), up.Name)
		t.sure++
		t.exclude = append(t.exclude, up.Name)
		u.stats.Refused.Add(1)
		if res.Refusal.Leaving {
			u.onLeaving(up.Name)
		}
		return retry.Refused{After: time.Duration(res.Refusal.RetryAfterMS) * time.Millisecond}, nil
	case reach.Broken:
		return u.broke(ctx, t, up, res.Err, took), nil
	default:
		panic(fmt.Sprintf("unknown result %T", result))
	}
}

// mark announces the first send of something that must run once.
func (u *run) mark(ctx context.Context, t *try) error {
	if u.marked || u.job.OnOnce == nil || !u.once(t) {
		return nil
	}
	if err := u.job.OnOnce(ctx); err != nil {
		return fmt.Errorf("mark before send: %w", err)
	}
	u.marked = true
	return nil
}

// latest is the time that the stage may take so that those after it still have what they need.
func (u *run) latest() time.Duration {
	return share.Latest(u.job.Deadline.Sub(u.Now()), u.job.needed(u.stage))
}

func (u *run) makeAttempt(t *try, up route.Upstream) reach.Attempt {
	return reach.Attempt{
		Addr:    up.Addr,
		Stream:  t.pool.Kind == config.KindEngine,
		Once:    u.once(t) || t.fresh,
		Silence: t.pool.Silence.D(),
		Call: stage.Call{
			AttemptID:  fmt.Sprintf("%s/%s/%d", u.job.ID, t.spec.Name, t.ran+t.sure),
			Stage:      t.spec.Name,
			Input:      u.text,
			MaxTokens:  u.job.MaxTokens,
			Urgency:    u.job.Urgency,
			ResumeFrom: t.tokens,
			DeadlineMS: u.latest().Milliseconds(),
		},
		OnSilence: u.mayWait(up),
		OnToken:   func(tok stage.Token) error { return u.onToken(t, tok) },
	}
}

// mayWait lets an attempt wait on a busy upstream of a busy pool, where giving it up would waste its work for nothing.
// It is asked again after each further silence, and says no after a few.
func (u *run) mayWait(up route.Upstream) func(ctx context.Context) bool {
	waits := 0
	return func(ctx context.Context) bool {
		waits++
		if waits > maxWaits || u.Table.Pressure(u.Now(), up.Pool).Utilization() < 1 {
			return false
		}
		load, alive := u.probe(ctx, up)
		return alive && load.Busy >= load.Slots
	}
}

// onToken extends the stage's text and passes the token on where the last stage streams.
func (u *run) onToken(t *try, tok stage.Token) error {
	if tok.Index != t.tokens {
		panic(fmt.Sprintf("invariant broken: token %d passed on where %d is due", tok.Index, t.tokens))
	}
	if u.firstTokenMS == 0 {
		u.firstTokenMS = common.Millis(u.Now().Sub(u.job.Arrived))
	}
	t.built.WriteString(tok.Text)
	t.tokens++
	if u.job.OnToken == nil || u.stage != len(u.job.Pipeline.Stages)-1 {
		return nil
	}
	if err := u.job.OnToken(wire.Token{
		Index: tok.Index,
		Text:  tok.Text,
	}); err != nil {
		return fmt.Errorf("stream to caller: %w", err)
	}
	return nil
}

func (u *run) done(t *try, up route.Upstream, res stage.Result, took time.Duration) *wire.Problem {
	u.Table.Done(u.Now(), up.Name, took, true)
	u.mayHaveRun = true
	t.ran++
	t.cost += res.BusyMS / 1000 * t.pool.CostPerSecond
	if res.Error != "" {
		return u.giveUp(t, wire.KindUpstream, fmt.Sprintf("stage %s failed: %s", t.spec.Name, res.Error))
	}
	u.text = res.Output
	if t.pool.Kind == config.KindEngine {
		if t.tokens != res.Tokens {
			panic(fmt.Sprintf("invariant broken: %d tokens accepted of %d", t.tokens, res.Tokens))
		}
		u.text = t.built.String()
	}
	u.report(t, up.Name)
	return nil
}

func (u *run) broke(ctx context.Context, t *try, up route.Upstream, err error, took time.Duration) retry.Broken {
	u.mayHaveRun = true
	u.unsure = u.unsure || u.once(t)
	t.ran++
	t.exclude = append(t.exclude, up.Name)
	waste := took.Seconds() * t.pool.CostPerSecond
	t.cost += waste
	t.wasted += waste
	u.stats.Broken.Add(1)
	u.Log.WithError(err).Debugf("Attempt on %s broke.", up.Name)
	if ctx.Err() != nil {
		// The deadline or the caller ended the attempt, which says nothing about the upstream.
		u.Table.Release(u.Now(), up.Name)
		return retry.Broken{}
	}
	u.Table.Done(u.Now(), up.Name, took, false)
	switch {
	case errors.Is(err, reach.ErrSilent):
		t.fresh = true
		return retry.Broken{Free: u.idle(ctx, up)}
	case errors.Is(err, reach.ErrStray), errors.Is(err, reach.ErrGap):
		return retry.Broken{}
	}
	if u.suspects.Broke(ctx, u.print, up) {
		u.Table.Eject(u.Now(), up.Name)
	}
	return retry.Broken{}
}

// idle reports whether an upstream that fell silent is gone or has slots to spare.
// In both cases another attempt adds no load to a pool that is slow because it has too much.
func (u *run) idle(ctx context.Context, up route.Upstream) bool {
	load, alive := u.probe(ctx, up)
	if !alive {
		u.Table.Eject(u.Now(), up.Name)
		return true
	}
	return load.Busy < load.Slots
}

// next asks for the decision after an attempt without a result, and waits as it says.
func (u *run) next(ctx context.Context, t *try, ev retry.Event) *wire.Problem {
	if ctx.Err() != nil && u.job.Deadline.After(u.Now()) {
		return u.giveUp(t, wire.KindCut, "the caller went away")
	}
	action := retry.Decide(retry.State{
		Idempotent: !u.once(t),
		Ran:        t.ran,
		Sure:       t.sure,
		Left:       u.job.Deadline.Sub(u.Now()),
		Need:       share.Least(u.job.needed(u.stage)),
	}, ev, u.budget)
	switch a := action.(type) {
	case retry.Stop:
		kind := wire.KindUpstream
		if a.Reason == retry.NoTime {
			kind = wire.KindDeadline
		}
		return u.giveUp(t, kind, fmt.Sprintf("stage %s: %s", t.spec.Name, a.Reason))
	case retry.Again:
		u.stats.Retries.Add(1)
		if a.Pause > 0 {
			common.Sleep(ctx, a.Pause)
		}
		return nil
	default:
		panic(fmt.Sprintf("unknown action %T", action))
	}
}

// giveUp ends the job; "not run" is said only where no attempt of any stage may have run.
func (u *run) giveUp(t *try, kind wire.Kind, detail string) *wire.Problem {
	t.wasted = t.cost
	u.report(t, "")
	outcome := wire.NotRun
	switch {
	case u.unsure:
		outcome = wire.Unknown
	case u.mayHaveRun:
		outcome = wire.Failed
	}
	p := wire.NewProblem(kind, outcome, detail)
	if kind != wire.KindQuarantined && kind != wire.KindCut {
		p = p.WithRetry(comeBack, "")
	}
	return &p
}

func (u *run) report(t *try, upstream string) {
	u.reports = append(u.reports, wire.StageReport{
		Stage:    t.spec.Name,
		Upstream: upstream,
		Attempts: t.ran + t.sure,
		TookMS:   common.Millis(u.Now().Sub(t.began)),
		Cost:     t.cost,
		Wasted:   t.wasted,
	})
}
