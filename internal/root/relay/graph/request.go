package graph

import (
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
)

const (
	// onTimeEngineTime is the time that the request itself needs after its stages for the response to be on time. minEngineTime is the least time with which the request itself can still be run.
	onTimeEngineTime = 150 * time.Millisecond
	minEngineTime    = 60 * time.Millisecond
	// callTimeFactor is the time of a call with the usual number of pieces, as a multiple of the time of a call without its pieces.
	callTimeFactor = 1.4
	// toleranceShare is the share of its slack by which a request may be expected to be late and still begin. The times of later stages are known only from earlier requests, and trouble with a few workers raises them for a moment.
	toleranceShare = 0.5
	// minSlackShare is the least share of the slack with usual calls that counts where full calls leave less.
	minSlackShare = 0.25
	// startDelaySafety and startDelayMargin shorten the start delay of a stage, so that no other stage has to wait if this stage is slow. Its chain may take startDelaySafety times its expected time, plus startDelayMargin.
	startDelaySafety = 1.5
	startDelayMargin = 100 * time.Millisecond
)

// Request is a request with the stages that it needs.
type Request struct {
	Plan  *plan.Plan
	Route plan.Route
	// Pieces is the number of pieces of each stage; further stages have none.
	Pieces []int
	// Arrived is when the request arrived, and Deadline when its caller must have a response.
	Arrived  time.Time
	Deadline time.Time
	// Resumed reports that the request continues a stream whose beginning is known. Its work waits behind no other.
	Resumed bool
}

// PieceCount returns the number of pieces of a stage.
func (r *Request) PieceCount(stage int) int {
	if stage >= len(r.Pieces) {
		return 0
	}
	return r.Pieces[stage]
}

// NeedsStages reports whether any stage has pieces.
func (r *Request) NeedsStages() bool {
	for i := range r.Route.Stages {
		if r.PieceCount(i) > 0 {
			return true
		}
	}
	return false
}

// DependsOn reports whether a stage needs the results of another one, whose index may be higher.
func (r *Request) DependsOn(stage, input int) bool {
	return slices.Contains(r.Route.Stages[stage].DependsOn, input)
}

// IsSoleConsumer reports whether no stage other than the given one needs the results of the input.
func (r *Request) IsSoleConsumer(stage, input int) bool {
	for j := range r.Route.Stages {
		if j != stage && r.DependsOn(j, input) && r.PieceCount(j) > 0 {
			return false
		}
	}
	return true
}

// TimeLeft returns the time that stage i has now for the request to be on time, and until its result is of no use any more.
func (r *Request) TimeLeft(now time.Time, t *Times, i int) (soft, hard time.Duration) {
	later := r.laterStagesTime(now, t, i)
	soft = r.Arrived.Add(r.Route.Objective).Sub(now) - later - onTimeEngineTime
	hard = r.Deadline.Sub(now) - later - minEngineTime
	return soft, hard
}

// AdmitWithin returns the time within which stage i, which depends on no other, must end for the request to be on time, or at least not late by far. It returns 0 for a request that would be late even if nothing else waited, or that continues a stream: it is of no use to refuse these, so that their callers come back.
func (r *Request) AdmitWithin(now time.Time, t *Times, i int) time.Duration {
	slack := r.slack()
	if r.Resumed || slack <= 0 {
		return 0
	}
	soft, _ := r.TimeLeft(now, t, i)
	return max(time.Nanosecond, soft+time.Duration(toleranceShare*float64(slack)))
}

// slack returns how long the request may wait over all stages and still be on time.
func (r *Request) slack() time.Duration {
	return r.slackWith(r.expectedCallTime, onTimeEngineTime)
}

// slackWith returns the slack with the time of a call by timeOf, and the time that the engine takes.
func (r *Request) slackWith(timeOf func(stage int) time.Duration, engineTime time.Duration) time.Duration {
	var longest time.Duration
	for i, s := range r.Route.Stages {
		if len(s.DependsOn) == 0 && r.PieceCount(i) > 0 {
			longest = max(longest, timeOf(i)+r.longestChain(i, timeOf))
		}
	}
	return r.Route.Objective - longest - engineTime
}

// LeadStage returns the stage with which the request begins: the one that depends on no other whose chain is expected to take longest.
func (r *Request) LeadStage() int {
	lead := -1
	var longest time.Duration
	for i, s := range r.Route.Stages {
		if len(s.DependsOn) > 0 || r.PieceCount(i) == 0 {
			continue
		}
		if t := r.expectedCallTime(i) + r.longestChain(i, r.expectedCallTime); lead < 0 || t > longest {
			lead = i
			longest = t
		}
	}
	return lead
}

// CanWait reports whether the request can wait at its stages and still be on time. One that continues a stream waits behind no other.
func (r *Request) CanWait() bool {
	return !r.Resumed && r.slack() > 0
}

// Needs returns what the stages need of all pools, and how long they may wait in all. The request must be one that can wait.
func (r *Request) Needs(now time.Time, t *Times) *room.Request {
	idle := r.slack()
	engineTime := t.EngineTime(now, r.Route.Name)
	slack := max(r.slackWith(r.fullCallTime, engineTime), time.Duration(minSlackShare*float64(idle)))
	out := &room.Request{
		Slack: slack,
		Rank:  r.Route.Rank,
	}
	for i, s := range r.Route.Stages {
		if n := r.PieceCount(i); n > 0 {
			out.Needs = append(out.Needs, room.Need{
				Pool:   s.Pool,
				Stage:  i,
				Pieces: n,
				Bytes:  s.ResultBytes,
			})
		}
	}
	return out
}

// StartDelay returns how long to delay the start of a stage that depends on no other, so that its chain ends about when the longest chain ends. An earlier start would only make its results occupy memory at their worker for longer.
func (r *Request) StartDelay(now time.Time, t *Times, i int) time.Duration {
	var longest time.Duration
	for j, s := range r.Route.Stages {
		if len(s.DependsOn) == 0 && r.PieceCount(j) > 0 {
			longest = max(longest, r.chainTime(now, t, j))
		}
	}
	own := r.chainTime(now, t, i)
	return max(0, longest-own-time.Duration((startDelaySafety-1)*float64(own))-startDelayMargin)
}

// laterStagesTime returns the expected time of the longest chain of stages that depend on a stage. The time of each stage is its average time, or the expected time of one call if that is longer. The work of a resumed request waits behind no other, so its stages take one call each.
func (r *Request) laterStagesTime(now time.Time, t *Times, i int) time.Duration {
	return r.longestChain(i, func(j int) time.Duration {
		call := r.expectedCallTime(j)
		if r.Resumed {
			return call
		}
		return max(call, t.average(now, r.Route.Stages[j].Pool, j, call))
	})
}

// chainTime returns the expected time of a stage and the longest chain of stages that depend on it.
func (r *Request) chainTime(now time.Time, t *Times, i int) time.Duration {
	averageTime := func(stage int) time.Duration {
		return t.average(now, r.Route.Stages[stage].Pool, stage, r.expectedCallTime(stage))
	}
	return averageTime(i) + r.longestChain(i, averageTime)
}

// longestChain returns the time of the longest chain of stages that depend on a stage, using timeOf for each of them.
func (r *Request) longestChain(i int, timeOf func(stage int) time.Duration) time.Duration {
	var maxTime time.Duration
	for j := range r.Route.Stages {
		if r.PieceCount(j) > 0 && r.DependsOn(j, i) {
			maxTime = max(maxTime, timeOf(j)+r.longestChain(j, timeOf))
		}
	}
	return maxTime
}

// expectedCallTime returns the expected time of a call to a worker of the stage's pool.
func (r *Request) expectedCallTime(stage int) time.Duration {
	w := r.Plan.Pools[r.Route.Stages[stage].Pool].Worker
	if w == nil {
		return 0
	}
	return time.Duration(callTimeFactor * float64(w.Call))
}

// fullCallTime returns the time of a full call to a worker of the stage's pool.
func (r *Request) fullCallTime(stage int) time.Duration {
	w := r.Plan.Pools[r.Route.Stages[stage].Pool].Worker
	if w == nil {
		return 0
	}
	return w.Call + time.Duration(max(1, w.Batch))*w.PieceTime
}
