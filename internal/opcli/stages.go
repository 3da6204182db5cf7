package opcli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/cornelwing/cornelwing/internal/model"
)

// stagesOptions holds the values of the flags of the stages command.
type stagesOptions struct {
	load float64
	seed uint64
}

func stagesFlags(c *invocation) {
	o := &c.opts.stages
	c.Float64Var(&o.load, "load", 1, "`factor` by which the rates in FILE are multiplied")
	c.Uint64Var(&o.seed, "seed", 1, "`seed` of the arrivals")
}

// runStages simulates the stages of a deployment.
func runStages(_ context.Context, c *invocation) error {
	if len(c.positional) != 1 {
		return &UsageError{
			Reason: "one FILE is needed",
		}
	}
	o := c.opts.stages
	if o.load < 0 {
		return &UsageError{
			Reason: "-load must not be below 0",
		}
	}
	settings, err := model.Load(c.positional[0])
	if err != nil {
		return fmt.Errorf("load the deployment: %w", err)
	}
	result := model.Run(settings, model.Options{
		Load:         o.load,
		Seed:         o.seed,
		ReleaseAfter: model.ReleaseTime,
	})
	return c.printResult(result, func(t *tabwriter.Writer) { result.Print(t) })
}
