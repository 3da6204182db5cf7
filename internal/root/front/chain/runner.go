package chain

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/retry"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/stage"
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
