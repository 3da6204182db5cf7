package chain_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
	"github.com/cornelwing/cornelwing/internal/stand/runner"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const tokens = 12

func newEnvironment(t *testing.T) (*stand.Environment, *route.Table) {
	t.Helper()
	s := stand.Settings{Seed: 7}
	for _, p := range []string{"workers", "engines"} {
		s.Groups = append(s.Groups, stand.Group{
			Pool:    p,
			Domain:  "d",
			Host:    "127.0.0.1",
			Count:   6,
			Slots:   64,
			Service: config.Span(time.Millisecond),
			Token:   config.Span(time.Millisecond),
			Tokens:  tokens,
		})
	}
	env := stand.NewEnvironment(s)
	if err := env.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	table := route.New("d")
	var ups []route.Upstream
	for _, h := range env.Hosts() {
		ups = append(ups, route.Upstream{
			Name:   h.Name,
			Addr:   h.Addr,
			Domain: h.Domain,
			Pool:   h.Pool,
		})
	}
	table.Sync([]route.PoolSpec{
		{Name: "workers", Slots: 64, Expected: time.Millisecond},
		{Name: "engines", Slots: 64, Expected: 10 * time.Millisecond},
	}, ups, 1)
	return env, table
}

func newJob(i int, nonIdempotent bool) chain.Job {
	now := time.Now()
	return chain.Job{
		ID: fmt.Sprintf("r%d", i),
		Pipeline: config.Pipeline{
			Name: "p",
			Stages: []config.Stage{
				{Name: "s1", Pool: "workers", Idempotent: true, Expected: config.Span(time.Millisecond)},
				{Name: "s2", Pool: "workers", Idempotent: !nonIdempotent, Expected: config.Span(time.Millisecond)},
				{Name: "s3", Pool: "engines", Idempotent: true, Expected: config.Span(10 * time.Millisecond)},
			},
		},
		Pools: []config.Pool{
			{Name: "workers", Kind: config.KindWorker, Silence: config.Span(2 * time.Second)},
			{Name: "workers", Kind: config.KindWorker, Silence: config.Span(2 * time.Second)},
			{Name: "engines", Kind: config.KindEngine, Silence: config.Span(2 * time.Second)},
		},
		Input:      fmt.Sprintf("input-%d", i),
		MaxTokens:  tokens,
		Arrived:    now,
		Deadline:   now.Add(20 * time.Second),
		Idempotent: true,
	}
}

// outcomeCounts counts the outcomes of jobs, and collects the IDs of jobs with a wrong answer.
type outcomeCounts struct {
	mu                                sync.Mutex
	answered, failed, unknown, notRun int
	wrong                             []string
}

func (s *outcomeCounts) add(job chain.Job, out chain.Outcome, streamed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	want := runner.GeneratedText(runner.Output("s2", runner.Output("s1", job.Input)), tokens)
	switch o := out.(type) {
	case chain.Completed:
		s.answered++
		if o.Answer.Output != want || streamed != want || o.Answer.RequestID != job.ID {
			s.wrong = append(s.wrong, job.ID)
		}
	case chain.Abandoned:
		switch o.Problem.Outcome {
		case wire.Failed:
			s.failed++
		case wire.Unknown:
			s.unknown++
		default:
			s.notRun++
		}
	}
}

func TestAnswersAreCompleteAndMatchTheirRequests(t *testing.T) {
	env, table := newEnvironment(t)
	for i, u := range env.Upstreams {
		if i%3 > 0 {
			u.Faults.Set(fault.Faults{Chaos: 0.3})
		}
	}
	client := reach.New()
	r := chain.New(common.NewQuietDeps("h", "d"), table, client, chain.WithRand(rand.New(rand.NewPCG(7, 7))))
	const jobs = 3000
	var total outcomeCounts
	var wg sync.WaitGroup
	slots := make(chan struct{}, 150)
	for i := range jobs {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			job := newJob(i, i%4 == 0)
			text := ""
			job.OnToken = func(tok wire.Token) error {
				text += tok.Text
				return nil
			}
			total.add(job, r.Run(context.Background(), job), text)
		}()
	}
	wg.Wait()
	stats := r.Stats()
	t.Logf("%d jobs: %d answered, %d failed, %d unknown, %d not run; %d broken attempts, %d retries, %d stray results dropped",
		jobs, total.answered, total.failed, total.unknown, total.notRun,
		stats.Broken.Load(), stats.Retries.Load(), client.DiscardCounts.Results.Load()+client.DiscardCounts.Tokens.Load())
	if len(total.wrong) > 0 {
		t.Errorf("jobs whose answer is incomplete or belongs to another request: %v", total.wrong)
	}
	if got := total.answered + total.failed + total.unknown + total.notRun; got != jobs {
		t.Errorf("%d of %d jobs have an outcome", got, jobs)
	}
	if stats.Broken.Load() == 0 || client.DiscardCounts.Tokens.Load() == 0 {
		t.Error("the test is not conclusive: no attempt was broken, or no stray token arrived")
	}
	for i := 0; i < jobs; i += 4 {
		if n := env.RunLog.Count("s2", runner.Output("s1", fmt.Sprintf("input-%d", i))); n > 1 {
			t.Errorf("a stage that is not idempotent ran %d times for job %d", n, i)
		}
	}
}

// scriptedSender answers attempts with the results of a list in order, and repeats the last one.
type scriptedSender struct {
	results []reach.Result
	calls   []reach.Attempt
}

func (s *scriptedSender) Do(_ context.Context, a reach.Attempt) reach.Result {
	s.calls = append(s.calls, a)
	i := min(len(s.calls), len(s.results)) - 1
	if d, ok := s.results[i].(reach.Done); ok {
		d.Result.AttemptID = a.Call.AttemptID
		return d
	}
	return s.results[i]
}

func (s *scriptedSender) Probe(context.Context, string) (stage.Load, error) {
	return stage.Load{Slots: 64}, nil
}

func TestOutcomeReflectsWhichAttemptsMayHaveRun(t *testing.T) {
	done := reach.Done{Result: stage.Result{Output: "x", BusyMS: 1}}
	unsent := reach.Unsent{Err: errors.New("refused")}
	refused := reach.Refused{Refusal: stage.Refusal{Reason: "full"}}
	broken := reach.Broken{Err: reach.ErrTruncated}
	scenarios := []struct {
		name          string
		nonIdempotent bool
		results       []reach.Result
		want          wire.Outcome
		calls         int
	}{
		{name: "always unsent", results: []reach.Result{unsent}, want: wire.NotRun, calls: 8},
		{name: "always refused", results: []reach.Result{refused}, want: wire.NotRun, calls: 8},
		{name: "broken and idempotent", results: []reach.Result{broken}, want: wire.Failed, calls: 4},
		{name: "broken and not idempotent", nonIdempotent: true, results: []reach.Result{broken}, want: wire.Unknown, calls: 1},
		{name: "refused, then broken, not idempotent", nonIdempotent: true, results: []reach.Result{refused, broken}, want: wire.Unknown, calls: 2},
		{name: "always unsent, not idempotent", nonIdempotent: true, results: []reach.Result{unsent}, want: wire.NotRun, calls: 8},
		{name: "done in the first stage, then unsent, not idempotent", nonIdempotent: true, results: []reach.Result{done, unsent}, want: wire.Failed, calls: 9},
		{name: "broken, then done", results: []reach.Result{broken, done}, want: wire.Answered, calls: 3},
		{
			name:    "done, but the stage returned an error",
			results: []reach.Result{reach.Done{Result: stage.Result{Error: "no such field"}}},
			want:    wire.Failed,
			calls:   1,
		},
	}
	for _, sc := range scenarios {
		Convey("A job whose attempts are "+sc.name, t, func() {
			_, table := newEnvironment(t)
			s := &scriptedSender{results: sc.results}
			r := chain.New(common.NewQuietDeps("h", "d"), table, s, chain.WithRand(rand.New(rand.NewPCG(1, 1))))
			job := newJob(1, false)
			job.Pipeline.Stages = job.Pipeline.Stages[:2]
			job.Idempotent = !sc.nonIdempotent
			out := r.Run(context.Background(), job)
			got := wire.Answered
			if g, ok := out.(chain.Abandoned); ok {
				got = g.Problem.Outcome
			}
			So(got, ShouldEqual, sc.want)
			So(len(s.calls), ShouldEqual, sc.calls)
			seen := map[string]bool{}
			for _, c := range s.calls {
				So(seen[c.Call.AttemptID], ShouldBeFalse)
				seen[c.Call.AttemptID] = true
			}
		})
	}
}

func TestJobWithTooLittleTimeMakesNoAttempt(t *testing.T) {
	Convey("Given a job with less time left than its stages need", t, func() {
		_, table := newEnvironment(t)
		s := &scriptedSender{results: []reach.Result{reach.Broken{Err: reach.ErrTruncated}}}
		r := chain.New(common.NewQuietDeps("h", "d"), table, s)
		job := newJob(1, false)
		job.Deadline = time.Now().Add(2 * time.Millisecond)
		out, ok := r.Run(context.Background(), job).(chain.Abandoned)
		So(ok, ShouldBeTrue)
		So(out.Problem.Outcome, ShouldEqual, wire.NotRun)
		So(out.Problem.RetryAfterMS, ShouldBeGreaterThan, 0)
		So(len(s.calls), ShouldEqual, 0)
	})
}
