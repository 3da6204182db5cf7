package chain

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/retry"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/share"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// prefixBytes is how much of a prompt decides which engine most likely holds its prefix.
	prefixBytes = 32
	// comeBack is when to come back after a request failed at its upstreams.
	comeBack = time.Second
	// maxWaits is how many times a silent attempt on a busy upstream may go on waiting.
	maxWaits = 2
	// trialPause is how long a suspect waits for an upstream on which no other is tried.
	trialPause = 10 * time.Millisecond
	// probeTimeout bounds the check whether an upstream still answers.
	probeTimeout = 200 * time.Millisecond
)

// Caller sends one attempt to an upstream.
type Caller interface {
	Do(ctx context.Context, a reach.Attempt) reach.Result
	// Probe reads an upstream's load report over a connection of its own.
	Probe(ctx context.Context, addr string) (stage.Load, error)
}

// Suspects stops requests that crash the upstreams they run on, and keeps those that might be to blame apart.
type Suspects interface {
	// Crashes returns how many crashes the request was in, and whether that is too many to run it again.
	Crashes(p crash.Print) (n int, blocked bool)
	// Mine reports whether this host alone may try suspects on the upstream.
	Mine(upstream string) bool
	// Hold puts a suspect on trial on the upstream, unless another one is there.
	Hold(p crash.Print, upstream string) bool
	// Free ends the trial.
	Free(p crash.Print, upstream string)
	// Broke tells that the connection to an upstream was lost while it ran the request.
	// It reports whether the upstream is gone, and returns once the other hosts know.
	Broke(ctx context.Context, p crash.Print, up route.Upstream) bool
}

// Runner runs jobs.
type Runner struct {
	common.Deps
	Table    *route.Table
	caller   Caller
	budget   *retry.Budget
	suspects Suspects
	// onLeaving is told of an upstream that says that it is leaving.
	onLeaving func(upstream string)
	stats     Stats

	mu  sync.Mutex
	rng *rand.Rand
}

// Option changes a Runner under construction.
type Option func(*Runner)

// WithRand sets the source of chance.
func WithRand(rng *rand.Rand) Option {
	return func(r *Runner) {
		r.rng = rng
	}
}

// WithSuspects sets the part that knows which inputs crash upstreams.
func WithSuspects(s Suspects) Option {
	return func(r *Runner) {
		r.suspects = s
	}
}

// WithLeaving sets a function that is told of an upstream that says that it is leaving.
func WithLeaving(f func(upstream string)) Option {
	return func(r *Runner) {
		r.onLeaving = f
	}
}

// New returns a runner that chooses upstreams from the table and reaches them through the caller.
func New(deps common.Deps, table *route.Table, caller Caller, opts ...Option) *Runner {
	r := &Runner{
		Deps:      deps.WithPart("chain"),
		Table:     table,
		caller:    caller,
		budget:    retry.NewBudget(),
		suspects:  noSuspects{},
		onLeaving: func(string) {},
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

type noSuspects struct{}

func (noSuspects) Crashes(crash.Print) (int, bool)                         { return 0, false }
func (noSuspects) Mine(string) bool                                        { return true }
func (noSuspects) Hold(crash.Print, string) bool                           { return true }
func (noSuspects) Free(crash.Print, string)                                {}
func (noSuspects) Alive(context.Context, route.Upstream) bool              { return true }
func (noSuspects) Broke(context.Context, crash.Print, route.Upstream) bool { return false }

// run is the state of one job on its way.
type run struct {
	*Runner
	job     Job
	print   crash.Print
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
		print:  crash.PrintOf(job.Pipeline.Name, job.Input),
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
	least := share.Least(u.job.expected(u.stage)) / 2
	if left > 0 && left >= least {
		return nil
	}
	return u.giveUp(t, wire.KindDeadline, fmt.Sprintf("%s are left, too few for stage %s and what follows", left.Round(time.Millisecond), t.spec.Name))
}

// choose picks an upstream; one that may be gone has to answer a probe first.
func (u *run) choose(ctx context.Context, t *try, suspect bool) (route.Upstream, bool) {
	for {
		pick := u.pickAny
		if suspect {
			pick = func(t *try) (route.Upstream, bool) { return u.pickTrial(ctx, t) }
		}
		up, ok := pick(t)
		if !ok {
			return route.Upstream{}, false
		}
		// A suspect on an upstream that is gone already would be blamed for it.
		if !up.Probe && !suspect {
			return up, true
		}
		if _, alive := u.probe(ctx, up); alive {
			return up, true
		}
		u.suspects.Free(u.print, up.Name)
		u.Table.Release(u.Now(), up.Name)
		u.Table.Eject(u.Now(), up.Name)
	}
}

// pickAny takes those that were tried again only when no other is left.
func (u *run) pickAny(t *try) (route.Upstream, bool) {
	up, ok := u.pick(t, nil)
	if !ok && len(t.exclude) > 0 {
		t.exclude = nil
		up, ok = u.pick(t, nil)
	}
	return up, ok
}

// pickTrial picks an upstream on which no other suspect is tried, by this host or another, and waits for one if it must.
func (u *run) pickTrial(ctx context.Context, t *try) (route.Upstream, bool) {
	for {
		up, ok := u.pick(t, u.suspects.Mine)
		if !ok {
			up, ok = u.pickAny(t)
		}
		if ok && u.suspects.Hold(u.print, up.Name) {
			return up, true
		}
		if ok {
			u.Table.Release(u.Now(), up.Name)
		}
		if !sleep(ctx, trialPause) {
			return route.Upstream{}, false
		}
	}
}

// probe reports whether an upstream answers over a new connection, and its load.
func (u *run) probe(ctx context.Context, up route.Upstream) (stage.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := u.caller.Probe(ctx, up.Addr)
	return load, err == nil
}

func (u *run) pick(t *try, allow func(string) bool) (route.Upstream, bool) {
	q := route.Query{
		Pool:    t.pool.Name,
		Exclude: t.exclude,
		Allow:   allow,
	}
	if t.pool.Kind == config.KindEngine {
		q.Affinity = xxhash.Sum64String(u.text[:min(prefixBytes, len(u.text))])
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Table.Pick(u.Now(), u.rng, q)
}

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

func (u *run) makeAttempt(t *try, up route.Upstream) reach.Attempt {
	left := u.job.Deadline.Sub(u.Now())
	return reach.Attempt{
		Addr:   up.Addr,
		Stream: t.pool.Kind == config.KindEngine,
		Once:   u.once(t) || t.fresh,
		// A whole result shows no progress before its end, so that the stage's share of the deadline bounds it as well.
		Silence: min(t.pool.Silence.D(), left),
		Call: stage.Call{
			AttemptID:  fmt.Sprintf("%s/%s/%d", u.job.ID, t.spec.Name, t.ran+t.sure),
			Stage:      t.spec.Name,
			Input:      u.text,
			MaxTokens:  u.job.MaxTokens,
			Urgency:    u.job.Urgency,
			ResumeFrom: t.tokens,
			DeadlineMS: left.Milliseconds(),
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
		u.firstTokenMS = millis(u.Now().Sub(u.job.Arrived))
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
		Need:       share.Least(u.job.expected(u.stage)) / 2,
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
			sleep(ctx, a.Pause)
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
		TookMS:   millis(u.Now().Sub(t.began)),
		Cost:     t.cost,
		Wasted:   t.wasted,
	})
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
