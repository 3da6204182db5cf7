package chain

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stage"
)

const (
	// prefixBytes is how many bytes at the start of a prompt are hashed. The hash selects the engine that most likely has this prefix cached.
	prefixBytes = 32
	// retryAfter is the time after which a client may send an abandoned request again.
	retryAfter = time.Second
	// maxSilenceExtensions is the maximum number of times that the silence timer of an attempt on a busy upstream is restarted.
	maxSilenceExtensions = 2
	// trialRetryInterval is the pause of a suspect request before it chooses an upstream again, if the trial of another request was running on the chosen one.
	trialRetryInterval = 10 * time.Millisecond
	// probeTimeout bounds the probe of an upstream.
	probeTimeout = 200 * time.Millisecond
)

// AttemptSender sends attempts to upstreams and probes them.
type AttemptSender interface {
	Do(ctx context.Context, a reach.Attempt) reach.Result
	// Probe reads the load report of an upstream over a new connection.
	Probe(ctx context.Context, addr string) (stage.Load, error)
}

// Runner runs jobs. It is safe for concurrent use.
type Runner struct {
	common.Deps
	Table      *route.Table
	sender     AttemptSender
	budget     *retry.Budget
	crashGuard CrashGuard
	// onLeaving is called with the name of an upstream that refuses an attempt because it is leaving.
	onLeaving func(upstream string)
	stats     Stats

	mu  sync.Mutex
	rng *rand.Rand
}

// Option changes a Runner under construction.
type Option func(*Runner)

// WithRand sets the random generator that chooses upstreams.
func WithRand(rng *rand.Rand) Option {
	return func(r *Runner) {
		r.rng = rng
	}
}

// WithCrashGuard sets the guard that blocks requests that crash upstreams. Without it no request is blocked.
func WithCrashGuard(g CrashGuard) Option {
	return func(r *Runner) {
		r.crashGuard = g
	}
}

// WithOnLeaving sets a function that is called with the name of an upstream that refuses an attempt because it is leaving.
func WithOnLeaving(f func(upstream string)) Option {
	return func(r *Runner) {
		r.onLeaving = f
	}
}

// New returns a runner that chooses upstreams from the table and sends attempts through the sender.
func New(deps common.Deps, table *route.Table, sender AttemptSender, opts ...Option) *Runner {
	r := &Runner{
		Deps:       deps.WithPart("chain"),
		Table:      table,
		sender:     sender,
		budget:     retry.NewBudget(),
		crashGuard: noGuard{},
		onLeaving:  func(string) {},
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}
