package flow

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/graph"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// localityBytes is the minimum size of results for which the work that needs them is sent to the failure domain that holds them.
	localityBytes = 256 << 10
	// promptTokenBytes is the number of result bytes whose transfer costs as much as processing one prompt token again.
	promptTokenBytes = 2500
)

// stageGraph is the state of a request's stages while they run.
type stageGraph struct {
	*exchange
	mu         sync.Mutex
	results    []batch.Completed
	finishedAt []time.Time
	done       []chan struct{}
	// failed is the outcome of the first stage that failed, and failedStage the index of that stage.
	failed      batch.Outcome
	failedStage int
	cancel      context.CancelFunc
}

// runStages runs the stages that the request needs, unless their results are available. It returns false if it has ended the request.
func (x *exchange) runStages(ctx context.Context) bool {
	if x.stagesDone || !x.graph().NeedsStages() {
		return true
	}
	if x.stageRuns >= maxStageRuns {
		x.abandon(CauseStageFailed, "results of stages were lost again", overloadRetryAfter)
		return false
	}
	x.stageRuns++
	began := x.Now()
	defer func() { x.stageTime += x.Now().Sub(began) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := &stageGraph{
		exchange:   x,
		results:    make([]batch.Completed, len(x.route.Stages)),
		finishedAt: make([]time.Time, len(x.route.Stages)),
		done:       make([]chan struct{}, len(x.route.Stages)),
		cancel:     cancel,
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
	return x.collectInputs(g)
}

// graph returns the request as the planning of its stages sees it.
func (x *exchange) graph() *graph.Request {
	return &graph.Request{
		Plan:     x.plan,
		Route:    x.route,
		Pieces:   x.requestHead.Pieces,
		Arrived:  x.arrived,
		Deadline: x.end(),
		Resumed:  x.hasKnownBeginning(),
	}
}

func (x *exchange) collectInputs(g *stageGraph) bool {
	switch o := g.failed.(type) {
	case nil:
	case batch.Refused:
		x.abandon(CauseOverload, fmt.Sprintf("stage %d would not be done in time", g.failedStage), o.After)
		return false
	case batch.Failed:
		if x.abandonIfOver() {
			return false
		}
		x.abandon(CauseStageFailed, fmt.Sprintf("stage %d: %s", g.failedStage, o.Reason), overloadRetryAfter)
		return false
	}
	x.inputs = nil
	last := x.route.FinalStages()
	for _, i := range last {
		x.inputs = append(x.inputs, g.results[i].Handles...)
	}
	if domain, bytes := g.largestResults(last); bytes >= localityBytes && bytes > x.requestHead.sharedTokens()*promptTokenBytes {
		x.preferredDomain = domain
	}
	x.stagesDone = true
	return true
}

// largestResults finds the stage with the largest results, and returns the failure domain that holds these results and their size in bytes.
func (g *stageGraph) largestResults(stages []int) (domain string, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range stages {
		if b := g.route.Stages[i].ResultBytes * int64(len(g.results[i].Handles)); b > bytes {
			bytes = b
			domain = g.results[i].Domain
		}
	}
	return domain, bytes
}

// freeAllResults frees the results of all stages. The stages run again before another attempt.
func (x *exchange) freeAllResults() {
	x.held.freeAll()
	x.dropInputs()
}

// dropInputs forgets the results of the stages, so that they run again before another attempt.
func (x *exchange) dropInputs() {
	x.inputs = nil
	x.stagesDone = false
}

// runStage runs one stage after the stages that it depends on are done.
func (g *stageGraph) runStage(ctx context.Context, i int) {
	defer close(g.done[i])
	s := g.route.Stages[i]
	n := g.requestHead.pieceCount(i)
	if n == 0 {
		return
	}
	for _, a := range s.DependsOn {
		<-g.done[a]
	}
	if len(s.DependsOn) == 0 {
		common.Sleep(ctx, g.graph().StartDelay(g.Now(), &g.stageTimes, i))
	}
	if ctx.Err() != nil {
		return
	}
	startedAt := g.Now()
	outcome, freeResults := g.Workers.Do(ctx, g.stageWork(i, n))
	g.mu.Lock()
	defer g.mu.Unlock()
	if freeResults != nil {
		g.held.add(i, freeResults)
	}
	results, ok := outcome.(batch.Completed)
	if !ok {
		if g.failed == nil {
			g.failed = outcome
			g.failedStage = i
			g.cancel()
		}
		return
	}
	g.results[i] = results
	g.finishedAt[i] = g.Now()
	g.stageTimes.Observe(g.finishedAt[i], s.Pool, i, g.finishedAt[i].Sub(startedAt))
	for _, a := range s.DependsOn {
		switch {
		case g.graph().IsSoleConsumer(i, a):
			// The work lists these inputs as no longer needed, so the host that runs the pieces frees them.
			g.held.remove(a)
		case g.consumersDone(a):
			g.held.free(a)
		}
	}
}

// consumersDone reports whether every stage that depends on stage a is done.
func (g *stageGraph) consumersDone(a int) bool {
	for j := range g.route.Stages {
		if g.graph().DependsOn(j, a) && g.requestHead.pieceCount(j) > 0 && len(g.results[j].Handles) == 0 {
			return false
		}
	}
	return true
}

// stageWork returns the work for the n pieces of stage i.
func (g *stageGraph) stageWork(i, n int) batch.Work {
	s := g.route.Stages[i]
	now := g.Now()
	soft, hard := g.graph().TimeLeft(now, &g.stageTimes, i)
	w := batch.Work{
		Pool:        s.Pool,
		Request:     g.requestHead.ID,
		Stage:       i,
		ResultBytes: s.ResultBytes,
		Rank:        g.rank(),
		Domain:      g.preferredDomain,
		Regions:     g.regions,
		Resumed:     g.hasKnownBeginning(),
		SoftTimeout: soft,
		HardTimeout: hard,
	}
	if len(s.DependsOn) == 0 {
		w.Key = g.requestHead.PieceKey
	}
	if g.stageRuns == 1 && g.sends == 0 && g.graph().CanWait() {
		g.askForRoom(now, &w)
	}
	if left, ok := g.retentionLeft(s.DependsOn); ok {
		w.HardTimeout = min(w.HardTimeout, left)
	}
	inputs := g.inputHandles(s)
	if domain, bytes := g.largestResults(s.DependsOn); bytes*int64(n) >= localityBytes {
		w.Domain = domain
		w.TransferBytes = bytes * int64(n)
	}
	if size := s.ResultBytes * int64(n); len(s.DependsOn) == 0 && g.keepsPrefixDomain(i, size) {
		w.TransferBytes = size
	}
	w.Released = g.exclusiveInputs(i)
	for p := range n {
		w.Pieces = append(w.Pieces, batch.Piece{
			Index:  p,
			Inputs: inputs,
		})
	}
	return w
}

// askForRoom adds to the first work of the request what all of its stages need, and to other work that this was reserved. AdmitWithin is for hosts of the build before, which don't know the chain.
func (g *stageGraph) askForRoom(now time.Time, w *batch.Work) {
	if w.Stage == g.graph().LeadStage() {
		w.AdmitWithin = g.graph().AdmitWithin(now, &g.stageTimes, w.Stage)
		w.Chain = g.graph().Needs(now, &g.stageTimes)
		w.Chain.Rank = w.Rank
		return
	}
	w.Reserved = true
	s := g.route.Stages[w.Stage]
	size := s.ResultBytes * int64(g.requestHead.pieceCount(w.Stage))
	if domain := g.leadDomain(); len(s.DependsOn) > 0 && domain != "" && size < localityBytes {
		w.Domain = domain
	}
}

// leadDomain returns the failure domain in which the first work of the request ran, as its later stages are reserved there, or "" if it is not done.
func (g *stageGraph) leadDomain() string {
	lead := g.graph().LeadStage()
	if lead < 0 {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.results[lead].Domain
}

// keepsPrefixDomain reports whether stage i is a final stage whose results, of size bytes, are large, but cheaper to transfer than processing the shared prompt parts again. The request then goes to the failure domain that has cached these parts, wherever the results are.
func (g *stageGraph) keepsPrefixDomain(i int, size int64) bool {
	if size < localityBytes || size > g.requestHead.sharedTokens()*promptTokenBytes {
		return false
	}
	return slices.Contains(g.route.FinalStages(), i)
}

// exclusiveInputs returns the inputs of a stage that no other stage needs.
func (g *stageGraph) exclusiveInputs(i int) []batch.Released {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []batch.Released
	for _, a := range g.route.Stages[i].DependsOn {
		if len(g.results[a].Handles) > 0 && g.graph().IsSoleConsumer(i, a) {
			out = append(out, batch.Released{
				Queue:   g.results[a].Queue,
				Handles: g.results[a].Handles,
			})
		}
	}
	return out
}

func (g *stageGraph) inputHandles(s plan.Stage) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, a := range s.DependsOn {
		out = append(out, g.results[a].Handles...)
	}
	return out
}

// retentionLeft returns the time until the first of the stages' results expires at its worker, or false if none of them expires.
func (g *stageGraph) retentionLeft(stages []int) (left time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range stages {
		worker := g.plan.Pools[g.route.Stages[a].Pool].Worker
		if len(g.results[a].Handles) == 0 || worker == nil || worker.ResultRetention <= 0 {
			continue
		}
		untilExpiry := g.finishedAt[a].Add(worker.ResultRetention).Sub(g.Now())
		if !ok || untilExpiry < left {
			left = untilExpiry
			ok = true
		}
	}
	return left, ok
}
