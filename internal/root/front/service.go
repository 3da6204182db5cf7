package front

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/front/tally"
	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// claimTimeout bounds how long a request waits for its claim.
	claimTimeout = 2 * time.Second
	// storeWait is how long an answer waits for its record before it is given to the caller all the same.
	storeWait = 300 * time.Millisecond
	// busyRetry is when to ask again for the outcome of a request that is running.
	busyRetry = time.Second
	// clockSlack is how far the clocks of two hosts may differ.
	clockSlack = 2 * time.Second
	// storeRetry is when to come back while the store is out.
	storeRetry = 2 * time.Second
)

// Ask is one request of a caller, checked and ready to be served.
type Ask struct {
	ID       string
	Account  config.Account
	Pipeline config.Pipeline
	Pools    []config.Pool
	Body     wire.Request
	BodyHash string
	Key      string
	// Resend says that the caller has sent the request before.
	Resend   bool
	Urgency  int
	Arrived  time.Time
	Deadline time.Time
	OnToken  func(wire.Token) error
	// over says that the account uses more than its share.
	over bool
}

// Idempotent reports whether the request may run more than once; the stricter of caller and pipeline wins.
func (a Ask) Idempotent() bool {
	return a.Pipeline.Idempotent && (a.Body.Idempotent == nil || *a.Body.Idempotent)
}

// stagesRepeat reports whether the stages' own marks say what may be sent again; a caller's mark forbids it for all of them.
func (a Ask) stagesRepeat() bool {
	return a.Body.Idempotent == nil || *a.Body.Idempotent
}

// Patient reports whether the request gives way to urgent ones.
func (a Ask) Patient() bool {
	return a.Urgency >= wire.PatientUrgency
}

// Service takes requests through admission, claim and run to their one outcome.
type Service struct {
	common.Deps
	admitter *Admitter
	keeper   *claim.Keeper
	runner   *chain.Runner
	tally    *tally.Counter
}

// Reply is what the caller is told.
type Reply struct {
	Answer   *wire.Answer
	Problem  *wire.Problem
	Stages   []wire.StageReport
	Replayed bool
}

func refusal(p wire.Problem) Reply {
	return Reply{Problem: &p}
}

// Serve returns the outcome of a request.
func (d *Service) Serve(ctx context.Context, a Ask) Reply {
	var r Reply
	if a.Idempotent() {
		r = d.serveFree(ctx, a)
	} else {
		r = d.serveClaimed(ctx, a)
	}
	if !r.callersFault() {
		d.tally.Add(d.Now(), entryOf(a, r, d.Now()))
	}
	return r
}

// callersFault reports whether the caller was refused for what it did, which is no miss of the objective.
func (r Reply) callersFault() bool {
	if r.Problem == nil {
		return false
	}
	switch r.Problem.Kind() {
	case wire.KindLimit, wire.KindKeyReused, wire.KindInProgress, wire.KindCut:
		return true
	default:
		return false
	}
}

func entryOf(a Ask, r Reply, now time.Time) tally.Entry {
	e := tally.Entry{
		Account:  a.Account.Name,
		Pipeline: a.Pipeline.Name,
		Outcome:  wire.Answered,
		InTime:   r.Answer != nil && !now.After(a.Deadline),
		Took:     now.Sub(a.Arrived),
		Stages:   r.Stages,
	}
	if r.Problem != nil {
		e.Outcome = r.Problem.Outcome
	}
	return e
}

// serveFree serves a request that may run more than once.
func (d *Service) serveFree(ctx context.Context, a Ask) Reply {
	permit, p := d.admitter.Enter(ctx, a)
	if p != nil {
		return refusal(d.hedge(a, *p).WithRequestID(a.ID))
	}
	defer permit.End()
	return replyOf(d.runner.Run(ctx, jobOf(a, permit)))
}

// hedge does not promise "not run" for a request that another host may have run before.
func (d *Service) hedge(a Ask, p wire.Problem) wire.Problem {
	if a.Resend && a.Key != "" && p.Outcome == wire.NotRun {
		return p.WithOutcome(wire.Unknown)
	}
	return p
}

// serveClaimed serves a request that runs at most once over all hosts.
func (d *Service) serveClaimed(ctx context.Context, a Ask) Reply {
	rec := recordOf(a, d.Host)
	permit, p := d.admitter.Enter(ctx, a)
	if p != nil {
		return d.refuse(ctx, rec, p.WithRequestID(a.ID))
	}
	defer permit.End()
	claimCtx, cancel := context.WithTimeout(ctx, min(claimTimeout, a.Deadline.Sub(d.Now())))
	defer cancel()
	v, err := d.keeper.Begin(claimCtx, rec)
	if err != nil {
		d.Log.WithError(err).Debug("Claim failed.")
		return refusal(unsettled(a))
	}
	switch v := v.(type) {
	case claim.Mine:
		return d.runClaimed(ctx, a, v.Record, permit)
	case claim.Completed:
		return replay(v.Record)
	case claim.Running:
		return d.running(ctx, v.Record)
	case claim.KeyReused:
		return refusal(reused(a))
	default:
		panic(fmt.Sprintf("unknown verdict %T", v))
	}
}

// runClaimed runs to the end even if the caller goes away, who may then ask for the outcome.
func (d *Service) runClaimed(ctx context.Context, a Ask, rec claim.Record, permit *Permit) Reply {
	job := jobOf(a, permit)
	if rec.State == claim.Started {
		job.OnOnce = func(ctx context.Context) error {
			marked, err := d.keeper.Mark(ctx, rec)
			if err != nil {
				return fmt.Errorf("mark claim: %w", err)
			}
			rec = marked
			return nil
		}
	}
	r := replyOf(d.runner.Run(context.WithoutCancel(ctx), job))
	if r.Answer != nil {
		rec = rec.WithAnswer(*r.Answer)
	} else {
		if r.Problem.RetryAfterMS > 0 {
			p := r.Problem.WithRetry(time.Duration(r.Problem.RetryAfterMS)*time.Millisecond, wire.RetryNewKey)
			r.Problem = &p
		}
		rec = rec.WithProblem(*r.Problem)
	}
	select {
	case <-d.keeper.Settle(rec):
	case <-time.After(storeWait):
	}
	return r
}

// refuse closes the key before it promises "not run", so that no earlier send of it can still start.
func (d *Service) refuse(ctx context.Context, rec claim.Record, p wire.Problem) Reply {
	p = p.WithRetry(time.Duration(p.RetryAfterMS)*time.Millisecond, wire.RetryNewKey)
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	v, err := d.keeper.Reject(closeCtx, rec, p)
	if err != nil {
		return refusal(p.WithOutcome(wire.Unknown).WithRetry(storeRetry, wire.RetrySameKey))
	}
	switch v := v.(type) {
	case claim.Mine:
		return refusal(p)
	case claim.Completed:
		return replay(v.Record)
	case claim.Running:
		return d.running(ctx, v.Record)
	default:
		return refusal(wire.NewProblem(wire.KindKeyReused, wire.NotRun, "the key stands for another request"))
	}
}

// Lookup returns the outcome of an account's key.
func (d *Service) Lookup(ctx context.Context, account, key string) Reply {
	rec, err := d.keeper.Lookup(ctx, account, key)
	if errors.Is(err, store.ErrAbsent) {
		return refusal(wire.NewProblem(wire.KindNoRecord, wire.Unknown, "no claim was written for the key; a request under it may still be on its way"))
	}
	if err != nil {
		return refusal(wire.NewProblem(wire.KindStoreOut, wire.Unknown, "the record cannot be read now").WithRetry(storeRetry, wire.RetrySameKey))
	}
	if rec.State != claim.Closed {
		return d.running(ctx, rec)
	}
	return replay(rec)
}

// running answers for a key without an outcome, and closes it if its host let the deadline pass before it sent what must run once.
func (d *Service) running(ctx context.Context, rec claim.Record) Reply {
	if rec.State != claim.Started || !expired(rec, d.Now()) {
		return refusal(inProgress(rec, d.Now()))
	}
	p := wire.NewProblem(wire.KindDeadline, wire.Failed, "host "+rec.Host+" left the request before what must run once was sent").
		WithRequestID(rec.RequestID).WithRetry(busyRetry, wire.RetryNewKey)
	closed, err := d.keeper.Expire(ctx, rec, p)
	if err != nil {
		return refusal(inProgress(rec, d.Now()))
	}
	return replay(closed)
}

// expired reports whether the deadline has passed, with room for clocks that differ.
func expired(rec claim.Record, now time.Time) bool {
	return now.After(rec.Deadline.Add(clockSlack))
}

func replay(rec claim.Record) Reply {
	return Reply{
		Answer:   rec.Answer,
		Problem:  rec.Problem,
		Replayed: true,
	}
}

// inProgress answers for a claim without an outcome: it is running, or its host is gone and nobody will ever know.
func inProgress(rec claim.Record, now time.Time) wire.Problem {
	p := wire.NewProblem(wire.KindInProgress, wire.Unknown, "the request has started and its outcome is not recorded").WithRequestID(rec.RequestID)
	if expired(rec, now) {
		p.Detail = "the request was started by host " + rec.Host + ", which left no outcome"
	}
	return p.WithRetry(busyRetry, wire.RetrySameKey)
}

func unsettled(a Ask) wire.Problem {
	return wire.NewProblem(wire.KindStoreOut, wire.Unknown, "the claim cannot be written now, and without it the request must not run").
		WithRequestID(a.ID).WithRetry(storeRetry, wire.RetrySameKey)
}

func reused(a Ask) wire.Problem {
	return wire.NewProblem(wire.KindKeyReused, wire.NotRun, "the key stands for another request").WithRequestID(a.ID)
}

func recordOf(a Ask, host string) claim.Record {
	return claim.Record{
		Account:   a.Account.Name,
		Key:       a.Key,
		Token:     newID(),
		BodyHash:  a.BodyHash,
		RequestID: a.ID,
		Pipeline:  a.Pipeline.Name,
		Host:      host,
		Deadline:  a.Deadline,
		State:     firstState(a),
	}
}

// firstState spares the mark where the first stage must run once already.
func firstState(a Ask) claim.State {
	if !a.stagesRepeat() || !a.Pipeline.Stages[0].Idempotent {
		return claim.Sending
	}
	return claim.Started
}

func jobOf(a Ask, permit *Permit) chain.Job {
	tokens := a.Body.MaxTokens
	if tokens == 0 {
		tokens = a.Pipeline.MaxTokens
	}
	return chain.Job{
		ID:         a.ID,
		Account:    a.Account.Name,
		Pipeline:   a.Pipeline,
		Pools:      a.Pools,
		Input:      a.Body.Input,
		MaxTokens:  tokens,
		Urgency:    a.Urgency,
		Arrived:    a.Arrived,
		Deadline:   a.Deadline,
		Idempotent: a.stagesRepeat(),
		OnToken:    a.OnToken,
		OnStage:    permit.Reach,
	}
}

func replyOf(o chain.Outcome) Reply {
	switch o := o.(type) {
	case chain.Whole:
		return Reply{
			Answer: &o.Answer,
			Stages: o.Answer.Stages,
		}
	case chain.Given:
		return Reply{
			Problem: &o.Problem,
			Stages:  o.Stages,
		}
	default:
		panic(fmt.Sprintf("unknown outcome %T", o))
	}
}

func newID() string {
	var b [16]byte
	// The source of the standard library never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func hashOf(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		// A hash never fails to take bytes.
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
