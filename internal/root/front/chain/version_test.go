package chain_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// versionedEngines are engines whose models have different versions. The first attempt breaks off after half of the tokens of v1; then no engine has this version any more.
type versionedEngines struct {
	calls []stage.Call
	// refuses makes the later engine refuse calls for another version. An engine of an older build runs them.
	refuses bool
}

// Do runs an attempt.
func (e *versionedEngines) Do(_ context.Context, a reach.Attempt) reach.Result {
	e.calls = append(e.calls, a.Call)
	version, end := "v2", tokens
	if len(e.calls) == 1 {
		version, end = "v1", tokens/2
	}
	if e.refuses && a.Call.Version != "" && a.Call.Version != version {
		return reach.Refused{
			Refusal: stage.Refusal{
				AttemptID: a.Call.AttemptID,
				Version:   version,
			},
		}
	}
	if a.Call.Version != "" && a.Call.Version != version {
		return reach.Broken{
			Err: fmt.Errorf("read stream: %w", reach.ErrVersion),
		}
	}
	for i := a.Call.ResumeFrom; i < end; i++ {
		if err := a.OnToken(stage.Token{Index: i, Text: version + " ", Version: version}); err != nil {
			return reach.Broken{
				Err: err,
			}
		}
	}
	if len(e.calls) == 1 {
		return reach.Broken{
			Err: io.ErrUnexpectedEOF,
		}
	}
	return reach.Done{
		Result: stage.Result{
			AttemptID: a.Call.AttemptID,
			Tokens:    tokens,
		},
	}
}

// Probe returns an idle engine's report.
func (*versionedEngines) Probe(context.Context, string) (stage.Load, error) {
	return stage.Load{Slots: 1}, nil
}

// Guards against an output that engines with two versions of a model have written (class of incident ORDER of issue 54).
func TestOutputIsOfOneVersionOfTheModel(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		run := func(stream bool) (chain.Outcome, string, *versionedEngines) {
			table := route.New("d")
			table.Sync([]route.PoolSpec{{Name: "engines", Slots: 4}}, []route.Upstream{
				{Name: "a", Addr: "127.0.0.1:1", Domain: "d", Pool: "engines"},
				{Name: "b", Addr: "127.0.0.1:2", Domain: "d", Pool: "engines"},
			}, 1)
			engines := &versionedEngines{refuses: refuses}
			job := newJob(1, false)
			job.Pipeline.Stages = job.Pipeline.Stages[2:]
			job.Pools = []config.Pool{job.Pools[2]}
			streamed := ""
			if stream {
				job.OnToken = func(tok wire.Token) error { streamed += tok.Text; return nil }
			}
			out := chain.New(common.NewQuietDeps("h", "d"), table, engines).Run(t.Context(), job)
			return out, streamed, engines
		}
		Convey(fmt.Sprintf("Given engines of another version than the one that broke off, which refuse: %t", refuses), t, func() {
			Convey("a stage whose tokens nobody has received begins again", func() {
				out, _, engines := run(false)
				completed, ok := out.(chain.Completed)
				So(ok, ShouldBeTrue)
				So(completed.Answer.Output, ShouldNotContainSubstring, "v1")
				So(engines.calls[1].Version, ShouldEqual, "v1")
				So(engines.calls[2].ResumeFrom, ShouldEqual, 0)
			})
			Convey("a stream that the caller has received in part is abandoned", func() {
				out, streamed, _ := run(true)
				_, completed := out.(chain.Completed)
				So(completed, ShouldBeFalse)
				So(streamed, ShouldNotContainSubstring, "v2")
			})
		})
	}
}
