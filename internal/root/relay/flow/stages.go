package flow

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// engineTime is what a request is taken to need after its stages to be on time, and leastEngine to count at all.
	engineTime  = 150 * time.Millisecond
	leastEngine = 60 * time.Millisecond
	// fullCall is how many times its fixed part a call takes with the usual number of pieces.
	fullCall = 1.4
	// worthMoving is the size of results, in bytes, from which the request goes to the failure domain where they are.
	worthMoving = 256 << 10
	// tokenBytes is how many bytes of results are moved rather than one token of a prompt read again.
	tokenBytes = 2500
)

// graph is the state of a request's stages.
type graph struct {
	*run
	mu     sync.Mutex
	made   []batch.Made
	madeAt []time.Time
	done   []chan struct{}
	// failed is the first outcome of a stage that has no results.
	failed batch.Outcome
	stage  int
	cancel context.CancelFunc
}

// runStages runs the stages whose results the request needs, unless these are there; false says that the request was answered.
func (u *run) runStages(ctx context.Context) bool {
	if u.staged || !u.needsStages() {
		return true
	}
	if u.stageRuns >= maxStageRuns {
		u.giveUp(CauseStage, "results of stages were lost again", overload)
		return false
	}
	u.stageRuns++
	u.frees = map[int]func(){}
	began := u.Now()
	defer func() { u.stageTime += u.Now().Sub(began) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := &graph{
		run:    u,
		made:   make([]batch.Made, len(u.route.Stages)),
		madeAt: make([]time.Time, len(u.route.Stages)),
		done:   make([]chan struct{}, len(u.route.Stages)),
		cancel: cancel,
	}
	for i := range g.done {
		g.done[i] = make(chan struct{})
	}
	for i := range g.done {
		go g.runStage(ctx, i)
	}
	for i := range g.done {
		<-g.done[i]
	}
	return u.takeInputs(g)
}

func (u *run) needsStages() bool {
	for i := range u.route.Stages {
		if u.ask.pieces(i) > 0 {
			return true
		}
	}
	return false
}

func (u *run) takeInputs(g *graph) bool {
	switch o := g.failed.(type) {
	case nil:
	case batch.Refused:
		u.giveUp(CauseOverload, fmt.Sprintf("stage %d would not be done in time", g.stage), o.After)
		return false
	case batch.Failed:
		if u.ended() {
			return false
		}
		u.giveUp(CauseStage, fmt.Sprintf("stage %d: %s", g.stage, o.Reason), overload)
		return false
	}
	u.inputs = nil
	last := u.route.FinalStages()
	for _, i := range last {
		u.inputs = append(u.inputs, g.made[i].Handles...)
	}
	if domain, bytes := g.heaviest(last); bytes >= worthMoving && bytes > u.ask.sharedTokens()*tokenBytes {
		u.near = domain
	}
	u.staged = true
	return true
}

// heaviest returns where the largest results of the stages are, and their size in bytes.
func (g *graph) heaviest(stages []int) (domain string, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range stages {
		if b := g.route.Stages[i].Bytes * int64(len(g.made[i].Handles)); b > bytes {
			bytes = b
			domain = g.made[i].Domain
		}
	}
	return domain, bytes
}

// freeAll gives up what the stages made.
func (u *run) freeAll() {
	for i := range u.frees {
		u.free(i)
	}
	u.inputs = nil
	u.staged = false
}

// free gives up what a stage made, so that its worker has room for other results.
func (u *run) free(i int) {
	if free, ok := u.frees[i]; ok {
		free()
		delete(u.frees, i)
	}
}

// runStage runs one stage once those before it are done.
func (g *graph) runStage(ctx context.Context, i int) {
	defer close(g.done[i])
	s := g.route.Stages[i]
	n := g.ask.pieces(i)
	if n == 0 {
		return
	}
	for _, a := range s.After {
		<-g.done[a]
	}
	if len(s.After) == 0 {
		common.Sleep(ctx, g.begin(i))
	}
	if ctx.Err() != nil {
		return
	}
	began := g.Now()
	o, free := g.Workers.Do(ctx, g.work(i, n))
	g.mu.Lock()
	defer g.mu.Unlock()
	if free != nil {
		g.frees[i] = free
	}
	made, ok := o.(batch.Made)
	if !ok {
		if g.failed == nil {
			g.failed = o
			g.stage = i
			g.cancel()
		}
		return
	}
	g.made[i] = made
	g.madeAt[i] = g.Now()
	g.spans.learn(s.Pool, i, g.madeAt[i].Sub(began))
	for _, a := range s.After {
		switch {
		case g.onlyNeeds(i, a):
			// Whoever made the pieces gave their inputs up.
			delete(g.frees, a)
		case g.used(a):
			g.free(a)
		}
	}
}

// used reports whether every stage that needs the results of a stage is done.
func (g *graph) used(a int) bool {
	for j := range g.route.Stages {
		if g.follows(j, a) && g.ask.pieces(j) > 0 && len(g.made[j].Handles) == 0 {
			return false
		}
	}
	return true
}

func (g *graph) work(i, n int) batch.Work {
	s := g.route.Stages[i]
	now := g.Now()
	rest := g.rest(i)
	w := batch.Work{
		Pool:    s.Pool,
		Request: g.ask.ID,
		Stage:   i,
		Bytes:   s.Bytes,
		Rank:    g.rank(),
		Domain:  g.near,
		OnTime:  g.arrived.Add(g.route.Objective).Sub(now) - rest - engineTime,
		Last:    g.deadline.Sub(now) - rest - leastEngine,
	}
	if len(s.After) == 0 {
		w.Key = g.ask.PieceKey
	}
	if kept, ok := g.keptFor(s.After); ok {
		w.Last = min(w.Last, kept)
	}
	inputs := g.inputsOf(s)
	if domain, bytes := g.heaviest(s.After); bytes*int64(n) >= worthMoving {
		w.Domain = domain
		w.Moves = bytes * int64(n)
	}
	if made := s.Bytes * int64(n); len(s.After) == 0 && g.staysHome(i, made) {
		w.Moves = made
	}
	w.Spent = g.spentBy(i)
	for p := range n {
		w.Pieces = append(w.Pieces, batch.Piece{
			Index:  p,
			Inputs: inputs,
		})
	}
	return w
}

// staysHome reports whether the request goes to the upstream that holds its prefix, wherever the results of a last stage are.
func (g *graph) staysHome(i int, made int64) bool {
	if made < worthMoving || made > g.ask.sharedTokens()*tokenBytes {
		return false
	}
	return slices.Contains(g.route.FinalStages(), i)
}

// spentBy returns the results that no other stage needs.
func (g *graph) spentBy(i int) []batch.Spent {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []batch.Spent
	for _, a := range g.route.Stages[i].After {
		if len(g.made[a].Handles) > 0 && g.onlyNeeds(i, a) {
			out = append(out, batch.Spent{
				Queue:   g.made[a].Queue,
				Handles: g.made[a].Handles,
			})
		}
	}
	return out
}

// onlyNeeds reports whether no other stage needs the results of the earlier one.
func (g *graph) onlyNeeds(stage, earlier int) bool {
	for j := range g.route.Stages {
		if j != stage && g.follows(j, earlier) && g.ask.pieces(j) > 0 {
			return false
		}
	}
	return true
}

func (g *graph) inputsOf(s plan.Stage) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, a := range s.After {
		out = append(out, g.made[a].Handles...)
	}
	return out
}

// keptFor returns how much longer the results of the stages are kept at their workers; false says that there are none.
func (g *graph) keptFor(stages []int) (kept time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range stages {
		worker := g.plan.Pools[g.route.Stages[a].Pool].Worker
		if len(g.made[a].Handles) == 0 || worker == nil || worker.Keep <= 0 {
			continue
		}
		left := g.madeAt[a].Add(worker.Keep).Sub(g.Now())
		if !ok || left < kept {
			kept = left
			ok = true
		}
	}
	return kept, ok
}

// rest is about what the stages that follow a stage take: what they have been taking, but no less than a call each.
func (g *graph) rest(i int) time.Duration {
	return g.longest(i, func(j int) time.Duration {
		pool := g.route.Stages[j].Pool
		return max(g.callTime(pool), g.spans.of(pool, j, 0))
	})
}

// longest is what the longest chain of the stages that follow a stage takes, by what each of them takes.
func (g *graph) longest(i int, takes func(stage int) time.Duration) time.Duration {
	var most time.Duration
	for j := i + 1; j < len(g.route.Stages); j++ {
		if g.ask.pieces(j) > 0 && g.follows(j, i) {
			most = max(most, takes(j)+g.longest(j, takes))
		}
	}
	return most
}

// follows reports whether a stage needs the results of another.
func (g *graph) follows(stage, earlier int) bool {
	return slices.Contains(g.route.Stages[stage].After, earlier)
}

// callTime is about what a call to a worker of the pool takes.
func (g *graph) callTime(pool string) time.Duration {
	w := g.plan.Pools[pool].Worker
	if w == nil {
		return 0
	}
	return time.Duration(fullCall * float64(w.Call))
}
