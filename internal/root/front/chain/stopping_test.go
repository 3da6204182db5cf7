package chain_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// hangingSender sends attempts that get no answer until they are cancelled.
type hangingSender struct{}

func (hangingSender) Do(ctx context.Context, _ reach.Attempt) reach.Result {
	<-ctx.Done()
	return reach.Broken{
		Err: ctx.Err(),
	}
}

func (hangingSender) Probe(context.Context, string) (stage.Load, error) {
	return stage.Load{Slots: 64}, nil
}

// Guards against jobs of a stopping host that get no outcome before it ends (class of LOST, case review/7).
func TestJobOfStoppingHostEndsWithItsTrueOutcome(t *testing.T) {
	scenarios := []struct {
		idempotent, outlivesCaller bool
		want                       wire.Outcome
	}{
		{idempotent: true, want: wire.Failed},
		{want: wire.Unknown},
		{outlivesCaller: true, want: wire.Unknown},
	}
	for _, sc := range scenarios {
		Convey(fmt.Sprintf("Given a job whose upstream does not answer: %+v", sc), t, func() {
			_, table := newEnvironment(t)
			r := chain.New(common.NewQuietDeps("h", "d"), table, hangingSender{})
			job := newJob(1, false)
			job.Idempotent = sc.idempotent
			job.Deadline = time.Now().Add(time.Minute)
			stop := serve.NewStop()
			stop.Begin(time.Now().Add(100 * time.Millisecond))
			ctx := serve.WithStop(context.Background(), stop)
			if sc.outlivesCaller {
				ctx = context.WithoutCancel(ctx)
			}
			began := time.Now()
			out, ok := r.Run(ctx, job).(chain.Abandoned)
			So(ok, ShouldBeTrue)
			So(out.Problem.Outcome, ShouldEqual, sc.want)
			So(time.Since(began), ShouldBeLessThan, time.Second)
		})
	}
}
