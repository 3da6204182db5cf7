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
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// claimTimeout limits how long a request waits until its key is claimed or closed.
	claimTimeout = 2 * time.Second
	// recordWait limits how long a response waits until its outcome is recorded. After that the response is sent
	// while the recording continues in the background.
	recordWait = 300 * time.Millisecond
	// inProgressRetry is the retry delay if a request with the same key is still running.
	inProgressRetry = time.Second
	// maxClockSkew is the assumed maximum difference between the clocks of two hosts.
	maxClockSkew = 2 * time.Second
	// storeRetry is the retry delay if the store is unavailable.
	storeRetry = 2 * time.Second
)

// PipelineRequest is a validated request of a caller.
type PipelineRequest struct {
	ID       string
	Account  config.Account
	Pipeline config.Pipeline
	Pools    []config.Pool
	Body     wire.Request
	BodyHash string
	Key      string
	// Retried is set if the caller has sent the request before.
	Retried  bool
	Urgency  int
	Arrived  time.Time
	Deadline time.Time
	OnToken  func(wire.Token) error
	// overShare is set if the account exceeds its share of the host.
	overShare bool
}

// Idempotent reports whether the request may run more than once. Both the caller and the pipeline must allow it.
func (req PipelineRequest) Idempotent() bool {
	return req.Pipeline.Idempotent && (req.Body.Idempotent == nil || *req.Body.Idempotent)
}

// stagesMayRepeat reports whether the stages that are marked idempotent may be sent again.
// It returns false if the caller marked the request as not idempotent, which forbids it for all stages.
func (req PipelineRequest) stagesMayRepeat() bool {
	return req.Body.Idempotent == nil || *req.Body.Idempotent
}

// Patient reports whether the request has low urgency, so that it may be queued while the pools are busy.
func (req PipelineRequest) Patient() bool {
	return req.Urgency >= wire.PatientUrgency
}

// Service admits, claims and runs requests, and determines the single outcome of each.
type Service struct {
	common.Deps
	admitter *Admitter
	claims   *claim.Manager
	runner   *chain.Runner
	tally    *tally.Counter
}

// Reply is the response to a caller. Exactly one of Answer and Problem is set.
type Reply struct {
	Answer  *wire.Answer
	Problem *wire.Problem
	Stages  []wire.StageReport
	// Replayed is set if the outcome was recorded by an earlier attempt with the same key.
	Replayed bool
}

func problemReply(p wire.Problem) Reply {
	return Reply{Problem: &p}
}

// Serve runs a request, counts its outcome and returns the reply. It blocks until the request has ended.
func (s *Service) Serve(ctx context.Context, req PipelineRequest) Reply {
	ctx, release := serve.StopOf(ctx).Until(ctx)
	defer release()
	var r Reply
	if req.Idempotent() {
		r = s.serveIdempotent(ctx, req)
	} else {
		r = s.serveClaimed(ctx, req)
	}
	if !r.isCallerError() {
		s.tally.Add(s.Now(), entryOf(req, r, s.Now()))
	}
	return r
}

// isCallerError reports whether the caller caused the problem. Such a request does not count as a miss of the service-level objective.
func (r Reply) isCallerError() bool {
	if r.Problem == nil {
		return false
	}
	switch r.Problem.Kind() {
	case wire.KindLimit, wire.KindKeyReused, wire.KindInProgress, wire.KindCallerGone:
		return true
	default:
		return false
	}
}

func entryOf(req PipelineRequest, r Reply, now time.Time) tally.Entry {
	e := tally.Entry{
		Account:  req.Account.Name,
		Pipeline: req.Pipeline.Name,
		Outcome:  wire.Answered,
		InTime:   r.Answer != nil && !now.After(req.Deadline),
		Latency:  now.Sub(req.Arrived),
		Stages:   r.Stages,
	}
	if r.Problem != nil {
		e.Outcome = r.Problem.Outcome
	}
	return e
}

// serveIdempotent serves a request that may run more than once.
func (s *Service) serveIdempotent(ctx context.Context, req PipelineRequest) Reply {
	permit, p := s.admitter.Admit(ctx, req)
	if p != nil {
		return problemReply(s.weakenOutcome(req, *p).WithRequestID(req.ID))
	}
	defer permit.Release()
	return replyOf(s.runner.Run(ctx, jobOf(req, permit)))
}

// weakenOutcome replaces the outcome "not run" by "unknown" for a retried request with a key, because another host may have run it before.
func (s *Service) weakenOutcome(req PipelineRequest, p wire.Problem) wire.Problem {
	if req.Retried && req.Key != "" && p.Outcome == wire.NotRun {
		return p.WithOutcome(wire.Unknown)
	}
	return p
}

// serveClaimed serves a request that must run at most once over all hosts.
func (s *Service) serveClaimed(ctx context.Context, req PipelineRequest) Reply {
	rec := recordOf(req, s.Host)
	permit, p := s.admitter.Admit(ctx, req)
	if p != nil {
		return s.rejectClaimed(ctx, rec, p.WithRequestID(req.ID))
	}
	defer permit.Release()
	claimCtx, cancel := context.WithTimeout(ctx, min(claimTimeout, req.Deadline.Sub(s.Now())))
	defer cancel()
	v, err := s.claims.Acquire(claimCtx, rec)
	if err != nil {
		s.Log.WithError(err).Debug("The idempotency key could not be claimed.")
		return problemReply(claimProblem(req))
	}
	switch v := v.(type) {
	case claim.Acquired:
		return s.runClaimed(ctx, req, v.Record, permit)
	case claim.Completed:
		return replayReply(v.Record)
	case claim.Running:
		return s.replyRunning(ctx, v.Record)
	case claim.KeyReused:
		return problemReply(keyReusedProblem(req))
	default:
		panic(fmt.Sprintf("unknown verdict %T", v))
	}
}

// runClaimed runs the request to its end even if the caller disconnects, since the caller can look up the outcome later.
func (s *Service) runClaimed(ctx context.Context, req PipelineRequest, rec claim.Record, permit *Permit) Reply {
	job := jobOf(req, permit)
	if rec.State == claim.Started {
		job.BeforeNonIdempotentSend = func(ctx context.Context) error {
			marked, err := s.claims.MarkSending(ctx, rec)
			if err != nil {
				return fmt.Errorf("mark claim: %w", err)
			}
			rec = marked
			return nil
		}
	}
	r := replyOf(s.runner.Run(context.WithoutCancel(ctx), job))
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
	case <-s.claims.RecordOutcome(rec):
	case <-time.After(recordWait):
	}
	return r
}

// rejectClaimed closes the key before it returns the outcome "not run", so that no earlier attempt with the key can still start.
func (s *Service) rejectClaimed(ctx context.Context, rec claim.Record, p wire.Problem) Reply {
	p = p.WithRetry(time.Duration(p.RetryAfterMS)*time.Millisecond, wire.RetryNewKey)
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	v, err := s.claims.Reject(closeCtx, rec, p)
	if err != nil {
		return problemReply(p.WithOutcome(wire.Unknown).WithRetry(storeRetry, wire.RetrySameKey))
	}
	switch v := v.(type) {
	case claim.Acquired:
		return problemReply(p)
	case claim.Completed:
		return replayReply(v.Record)
	case claim.Running:
		return s.replyRunning(ctx, v.Record)
	default:
		return problemReply(wire.NewProblem(wire.KindKeyReused, wire.NotRun, "the key stands for another request"))
	}
}

// Lookup returns the recorded outcome of an idempotency key of the account.
func (s *Service) Lookup(ctx context.Context, account, key string) Reply {
	rec, err := s.claims.Lookup(ctx, account, key)
	if errors.Is(err, store.ErrNotFound) {
		return problemReply(wire.NewProblem(wire.KindNoRecord, wire.Unknown, "no claim was written for the key; a request under it may still be on its way"))
	}
	if err != nil {
		return problemReply(wire.NewProblem(wire.KindStoreUnavailable, wire.Unknown, "the record cannot be read now").WithRetry(storeRetry, wire.RetrySameKey))
	}
	if rec.State != claim.Closed {
		return s.replyRunning(ctx, rec)
	}
	return replayReply(rec)
}

// replyRunning returns the reply for a key without an outcome. It closes the key if the deadline has passed
// and its host sent no call that must run at most once.
func (s *Service) replyRunning(ctx context.Context, rec claim.Record) Reply {
	if rec.State != claim.Started || !expired(rec, s.Now()) {
		return problemReply(inProgressProblem(rec, s.Now()))
	}
	p := wire.NewProblem(wire.KindDeadline, wire.Failed, "host "+rec.Host+" left the request before what must run once was sent").
		WithRequestID(rec.RequestID).WithRetry(inProgressRetry, wire.RetryNewKey)
	closed, err := s.claims.Expire(ctx, rec, p)
	if err != nil {
		return problemReply(inProgressProblem(rec, s.Now()))
	}
	return replayReply(closed)
}

// expired reports whether the deadline has passed even if the clocks of two hosts differ by maxClockSkew.
func expired(rec claim.Record, now time.Time) bool {
	return now.After(rec.Deadline.Add(maxClockSkew))
}

// replayReply returns the recorded outcome.
func replayReply(rec claim.Record) Reply {
	return Reply{
		Answer:   rec.Answer,
		Problem:  rec.Problem,
		Replayed: true,
	}
}

// inProgressProblem returns the problem for a claim without an outcome.
// Either the request is still running, or its host has failed and the outcome will never be known.
func inProgressProblem(rec claim.Record, now time.Time) wire.Problem {
	p := wire.NewProblem(wire.KindInProgress, wire.Unknown, "the request has started and its outcome is not recorded").WithRequestID(rec.RequestID)
	if expired(rec, now) {
		p.Detail = "the request was started by host " + rec.Host + ", which left no outcome"
	}
	return p.WithRetry(inProgressRetry, wire.RetrySameKey)
}

// claimProblem returns the problem for a request whose key could not be claimed.
func claimProblem(req PipelineRequest) wire.Problem {
	return wire.NewProblem(wire.KindStoreUnavailable, wire.Unknown, "the claim cannot be written now, and without it the request must not run").
		WithRequestID(req.ID).WithRetry(storeRetry, wire.RetrySameKey)
}

func keyReusedProblem(req PipelineRequest) wire.Problem {
	return wire.NewProblem(wire.KindKeyReused, wire.NotRun, "the key stands for another request").WithRequestID(req.ID)
}

func recordOf(req PipelineRequest, host string) claim.Record {
	return claim.Record{
		Account:   req.Account.Name,
		Key:       req.Key,
		Token:     newID(),
		BodyHash:  req.BodyHash,
		RequestID: req.ID,
		Pipeline:  req.Pipeline.Name,
		Host:      host,
		Deadline:  req.Deadline,
		State:     initialState(req),
	}
}

// initialState returns Sending if the first stage must run at most once, which saves a separate call of MarkSending.
// Otherwise it returns Started.
func initialState(req PipelineRequest) claim.State {
	if !req.stagesMayRepeat() || !req.Pipeline.Stages[0].Idempotent {
		return claim.Sending
	}
	return claim.Started
}

func jobOf(req PipelineRequest, permit *Permit) chain.Job {
	tokens := req.Body.MaxTokens
	if tokens == 0 {
		tokens = req.Pipeline.MaxTokens
	}
	return chain.Job{
		ID:           req.ID,
		Account:      req.Account.Name,
		Pipeline:     req.Pipeline,
		Pools:        req.Pools,
		Input:        req.Body.Input,
		MaxTokens:    tokens,
		Urgency:      req.Urgency,
		Arrived:      req.Arrived,
		Deadline:     req.Deadline,
		Idempotent:   req.stagesMayRepeat(),
		OnToken:      req.OnToken,
		OnStageStart: permit.ReachPool,
	}
}

func replyOf(o chain.Outcome) Reply {
	switch o := o.(type) {
	case chain.Completed:
		return Reply{
			Answer: &o.Answer,
			Stages: o.Answer.Stages,
		}
	case chain.Abandoned:
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
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func hashOf(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		// Writing to a hash never returns an error.
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
