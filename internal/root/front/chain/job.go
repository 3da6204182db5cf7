package chain

import (
	"context"
	"time"

	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// Job is one admitted request.
type Job struct {
	ID       string
	Account  string
	Pipeline config.Pipeline
	// Pools holds the pool of each pipeline stage, in the order of the stages.
	Pools     []config.Pool
	Input     string
	MaxTokens int
	Urgency   int
	Arrived   time.Time
	Deadline  time.Time
	// Idempotent, if false, forbids sending any stage a second time, even if the stage itself is marked idempotent.
	Idempotent bool
	// OnToken, if set, receives the tokens of the last stage in order. An error ends the attempt.
	OnToken func(wire.Token) error
	// BeforeNonIdempotentSend, if set, is called before the first send of a stage that must not run twice. An error prevents the send.
	BeforeNonIdempotentSend func(ctx context.Context) error
	// OnStageStart, if set, is called when each stage begins.
	OnStageStart func()
}

// minTimeDivisor divides the expected time of a stage to give its minimum time.
// If less time is left than the minimum times of the remaining stages, another attempt is not worthwhile and the job is abandoned.
const minTimeDivisor = 2

// minTimes returns the minimum time of each stage from index i on.
func (j Job) minTimes(i int) []time.Duration {
	out := make([]time.Duration, 0, len(j.Pipeline.Stages)-i)
	for _, s := range j.Pipeline.Stages[i:] {
		out = append(out, s.Expected.D()/minTimeDivisor)
	}
	return out
}

// Outcome describes how a job ended: Completed or Abandoned.
type Outcome interface {
	outcome()
}

// Completed holds the complete answer of a job.
type Completed struct {
	Answer wire.Answer
}

// Abandoned holds the problem of a job that was abandoned, and the reports of the stages that caused costs.
type Abandoned struct {
	Problem wire.Problem
	Stages  []wire.StageReport
}

func (Completed) outcome() {}
func (Abandoned) outcome() {}
