package super

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Part is one supervised component of a daemon.
type Part interface {
	// Name is the fixed prefix of the part's log lines.
	Name() string
	// Run works until ctx ends; it calls up once it can serve, and returns nil only after a stop that was asked for.
	Run(ctx context.Context, up func()) error
}

// Func adapts a function to a Part.
type Func struct {
	Label string
	Body  func(ctx context.Context, up func()) error
}

// Name returns the label.
func (f Func) Name() string {
	return f.Label
}

// Run calls the body.
func (f Func) Run(ctx context.Context, up func()) error {
	return f.Body(ctx, up)
}

// Every returns a Part that calls tick at once and then after each pause until its context ends.
func Every(label string, pause Pause, tick func(ctx context.Context)) Part {
	return Func{
		Label: label,
		Body: func(ctx context.Context, up func()) error {
			up()
			for {
				tick(ctx)
				if !common.Sleep(ctx, pause()) {
					return nil
				}
			}
		},
	}
}
