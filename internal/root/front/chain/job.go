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
	// Pools are the pools of the pipeline's stages, in their order.
	Pools     []config.Pool
	Input     string
	MaxTokens int
	Urgency   int
	Arrived   time.Time
	Deadline  time.Time
	// Idempotent false forbids a second send of any stage, whatever the stage's own mark.
	Idempotent bool
	// OnToken, where set, takes the tokens of the last stage in order.
	OnToken func(wire.Token) error
	// OnOnce, where set, is called before the first send of a stage that must run once; an error forbids the send.
	OnOnce func(ctx context.Context) error
	// OnStage, where set, is called as each stage begins.
	OnStage func()
}

// leastPart is the part of what a stage is expected to take below which it is not worth a try.
const leastPart = 2

// needed returns the least time that the stages from i on take.
func (j Job) needed(i int) []time.Duration {
	out := make([]time.Duration, 0, len(j.Pipeline.Stages)-i)
	for _, s := range j.Pipeline.Stages[i:] {
		out = append(out, s.Expected.D()/leastPart)
	}
	return out
}

// Outcome is how a job ended: Whole or Given.
type Outcome interface {
	outcome()
}

// Whole is a complete answer.
type Whole struct {
	Answer wire.Answer
}

// Given is a job that was given up, with the stages that were paid for.
type Given struct {
	Problem wire.Problem
	Stages  []wire.StageReport
}

func (Whole) outcome() {}
func (Given) outcome() {}
