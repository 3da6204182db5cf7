package super

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Part is a component of a daemon that a Tree starts, restarts and stops.
type Part interface {
	// Name is the fixed prefix of the part's log lines.
	Name() string
	// Run blocks until ctx ends. It calls up() once the part can serve. It returns nil only if ctx has ended; any other return counts as a failure, and the part is restarted.
	Run(ctx context.Context, up func()) error
}

// Func adapts a function to a Part.
type Func struct {
	Label string
	Body  func(ctx context.Context, up func()) error
}

// Name returns Label.
func (f Func) Name() string {
	return f.Label
}

// Run calls Body.
func (f Func) Run(ctx context.Context, up func()) error {
	return f.Body(ctx, up)
}

// Every returns a Part that calls tick at once and then after each interval until its context ends.
func Every(label string, interval Interval, tick func(ctx context.Context)) Part {
	return Func{
		Label: label,
		Body: func(ctx context.Context, up func()) error {
			up()
			for {
				tick(ctx)
				if !common.Sleep(ctx, interval()) {
					return nil
				}
			}
		},
	}
}
