package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

var start = time.Unix(1_000_000, 0)

func specOf(batch int) plan.Worker {
	return plan.Worker{
		Slots:           1,
		QueueLimit:      2,
		Batch:           batch,
		Call:            200 * time.Millisecond,
		PieceTime:       10 * time.Millisecond,
		ResultCapacity:  27_000_000,
		ResultRetention: 4 * time.Second,
	}
}

func workersIn(domains ...string) []route.Upstream {
	var out []route.Upstream
	for i, d := range domains {
		out = append(out, route.Upstream{
			Name:   fmt.Sprintf("w%d", i),
			Addr:   fmt.Sprintf("10.0.0.%d:80", i+1),
			Domain: d,
			Pool:   "p",
		})
	}
	return out
}

func workOf(id string, pieces int) Work {
	w := Work{
		Pool:        "p",
		Request:     id,
		Key:         "k",
		ResultBytes: 8000,
		SoftTimeout: time.Second,
		HardTimeout: 5 * time.Second,
	}
	for i := range pieces {
		w.Pieces = append(w.Pieces, Piece{
			Index: i,
		})
	}
	return w
}

func (w Work) withBytes(n int64) Work {
	w.ResultBytes = n
	return w
}

func (w Work) withRank(n int) Work {
	w.Rank = n
	return w
}

func (w Work) withTime(soft, hard time.Duration) Work {
	w.SoftTimeout = soft
	w.HardTimeout = hard
	return w
}

func (w Work) withInputsIn(domain string, transferBytes int64) Work {
	w.Domain = domain
	w.TransferBytes = transferBytes
	return w
}

// requestsOf returns the requests of the items of a call in order, each once.
func requestsOf(c *Call) []string {
	var out []string
	for _, it := range c.Items {
		if len(out) == 0 || out[len(out)-1] != it.Request {
			out = append(out, it.Request)
		}
	}
	return out
}

// resultsOf returns a result for each item of the call. The handles start with the tag.
func resultsOf(c *Call, tag string) []Result {
	out := make([]Result, 0, len(c.Items))
	for _, it := range c.Items {
		out = append(out, Result{Handle: fmt.Sprintf("%s/%s/%d/%d", tag, it.Request, it.Stage, it.Piece)})
	}
	return out
}

func TestNextCallPrefersUrgentWorkThatCanBeOnTime(t *testing.T) {
	scenarios := []struct {
		name  string
		batch int
		work  []Work
		want  []string
	}{
		{name: "urgent work before less urgent work", batch: 2, work: []Work{workOf("patient", 2).withRank(2), workOf("urgent", 2).withRank(0)}, want: []string{"urgent"}},
		{name: "work that can be on time before work that is late", batch: 2, work: []Work{workOf("late", 2).withTime(0, 5*time.Second), workOf("good", 2).withRank(2)}, want: []string{"good"}},
		{name: "the first arrival among equal work", batch: 3, work: []Work{workOf("a", 2), workOf("b", 2), workOf("c", 1)}, want: []string{"a", "c"}},
		{name: "the work with the least time left among equal work", batch: 2, work: []Work{workOf("early", 2).withTime(900*time.Millisecond, 5*time.Second), workOf("hurried", 2).withTime(600*time.Millisecond, 5*time.Second)}, want: []string{"hurried"}},
		{name: "work that can be on time before late work with less time left", batch: 2, work: []Work{workOf("good", 2).withTime(900*time.Millisecond, 5*time.Second), workOf("doomed", 2).withTime(100*time.Millisecond, 5*time.Second)}, want: []string{"good"}},
		{name: "the first job alone if the second would have to be split", batch: 4, work: []Work{workOf("a", 3), workOf("b", 2)}, want: []string{"a"}},
		{name: "the first pieces of a job that has more pieces than fit into a call", batch: 4, work: []Work{workOf("a", 7)}, want: []string{"a"}},
		{name: "work that prefers the worker's domain", batch: 1, work: []Work{workOf("far", 1).withInputsIn("z", 0), workOf("near", 1).withInputsIn("x", 0)}, want: []string{"near"}},
	}
	for _, sc := range scenarios {
		Convey("The first call contains "+sc.name, t, func() {
			q := NewQueue(specOf(sc.batch))
			q.SetWorkers(workersIn("x"))
			for _, w := range sc.work {
				_, refused := q.Add(start, w)
				So(refused, ShouldBeNil)
			}
			c, ok := q.NextCall(start)
			So(ok, ShouldBeTrue)
			So(requestsOf(c), ShouldResemble, sc.want)
			So(len(c.Items), ShouldBeLessThanOrEqualTo, sc.batch)
		})
	}
}

func TestWorkThatWouldBeLateIsRefused(t *testing.T) {
	Convey("Work that can't be finished in time is refused on arrival, with a delay after which to retry,", t, func() {
		q := NewQueue(specOf(4))
		Convey("if there is no worker", func() {
			_, refused := q.Add(start, workOf("a", 1))
			So(refused.After, ShouldBeGreaterThan, 0)
		})
		Convey("if the waiting work takes longer than the time left", func() {
			q.SetWorkers(workersIn("x"))
			for i := range 20 {
				_, refused := q.Add(start, workOf(fmt.Sprint(i), 4).withTime(9*time.Second, 9*time.Second))
				So(refused, ShouldBeNil)
			}
			_, refused := q.Add(start, workOf("a", 1).withTime(time.Second, 2*time.Second))
			So(refused.After, ShouldBeBetween, time.Second, maxRetryAfter+1)
			Convey("but not if it uses results of earlier stages and its call comes first, as it has less time left", func() {
				w := workOf("a", 1).withTime(time.Second, 2*time.Second)
				w.Pieces[0].Inputs = []string{"10.0.0.1:80/a"}
				j, refused := q.Add(start, w)
				So(refused, ShouldBeNil)
				c, ok := q.NextCall(start)
				So(ok, ShouldBeTrue)
				So(c.pieces[0].job, ShouldEqual, j)
			})
			Convey("but not if it is more urgent than the waiting work", func() {
				for i := range 20 {
					q.jobs[i].Rank = 2
				}
				_, refused := q.Add(start, workOf("a", 1).withTime(time.Second, 2*time.Second))
				So(refused, ShouldBeNil)
			})
		})
	})
}

func TestWaitingWorkExpiresBeforeItsDeadline(t *testing.T) {
	Convey("Waiting work ends as soon as it can no longer be finished in time, not at its deadline", t, func() {
		q := NewQueue(specOf(4))
		q.SetWorkers(workersIn("x"))
		_, _ = q.Add(start, workOf("first", 4))
		_, ok := q.NextCall(start)
		So(ok, ShouldBeTrue)
		j, _ := q.Add(start, workOf("a", 4).withTime(time.Second, time.Second))
		ended, _ := q.Expire(start.Add(700 * time.Millisecond))
		So(ended, ShouldBeEmpty)
		ended, _ = q.Expire(start.Add(800 * time.Millisecond))
		So(ended, ShouldResemble, []*Job{j})
		So(j.Outcome, ShouldHaveSameTypeAs, Refused{})
	})
}

// TestResultsOfExpiredWorkAreFreed guards against workers that keep results which nothing will use until they expire.
func TestResultsOfExpiredWorkAreFreed(t *testing.T) {
	Convey("Given work of two calls, the first of which has its results", t, func() {
		q := NewQueue(specOf(2))
		q.SetWorkers(workersIn("x"))
		j, refused := q.Add(start, workOf("a", 4).withTime(time.Second, time.Second))
		So(refused, ShouldBeNil)
		c, ok := q.NextCall(start)
		So(ok, ShouldBeTrue)
		results := resultsOf(c, "r")
		_, unused := q.CompleteCall(start.Add(900*time.Millisecond), c, results)
		So(unused, ShouldBeEmpty)
		Convey("if the second can no longer be made in time, the results are to be freed", func() {
			ended, unused := q.Expire(start.Add(900 * time.Millisecond))
			So(ended, ShouldResemble, []*Job{j})
			So(unused, ShouldResemble, []string{results[0].Handle, results[1].Handle})
			So(q.Free(unused), ShouldResemble, map[string][]string{"10.0.0.1:80": unused})
			So(q.stored, ShouldBeEmpty)
		})
	})
}

func TestCallsFitFreeRoom(t *testing.T) {
	Convey("Given results of 1.5 MB and workers with room for 18 of them", t, func() {
		q := NewQueue(specOf(12))
		q.SetWorkers(workersIn("x"))
		_, _ = q.Add(start, workOf("a", 12).withBytes(1_500_000))
		c, _ := q.NextCall(start)
		So(len(c.Items), ShouldEqual, 12)
		ended, _ := q.CompleteCall(start.Add(300*time.Millisecond), c, resultsOf(c, "h"))
		So(ended, ShouldHaveLength, 1)
		completed, ok := ended[0].Outcome.(Completed)
		So(ok, ShouldBeTrue)
		_, _ = q.Add(start.Add(300*time.Millisecond), workOf("b", 8).withBytes(1_500_000))
		_, _ = q.Add(start.Add(300*time.Millisecond), workOf("c", 2).withBytes(1_500_000))
		Convey("a call contains only pieces whose results fit into the free room", func() {
			c, ok := q.NextCall(start.Add(300 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(requestsOf(c), ShouldResemble, []string{"c"})
		})
		Convey("a call contains more pieces once results are freed", func() {
			So(q.Free(completed.Handles), ShouldHaveLength, 1)
			c, ok := q.NextCall(start.Add(300 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(requestsOf(c), ShouldResemble, []string{"b", "c"})
		})
		Convey("a call contains more pieces once the worker has dropped expired results", func() {
			c, ok := q.NextCall(start.Add(4301 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(requestsOf(c), ShouldResemble, []string{"b", "c"})
		})
	})
	Convey("A piece refused for lack of room doesn't count as an attempt, and the worker is assumed to have less room for a while", t, func() {
		q := NewQueue(specOf(12))
		q.SetWorkers(workersIn("x"))
		_, _ = q.Add(start, workOf("a", 2).withBytes(1_500_000))
		now := start
		for range 2 * maxAttempts {
			c, ok := q.NextCall(now)
			So(ok, ShouldBeTrue)
			ended, _ := q.CompleteCall(now, c, []Result{{Reason: ReasonNoRoom}, {Reason: ReasonNoRoom}})
			So(ended, ShouldBeEmpty)
			_, ok = q.NextCall(now.Add(10 * time.Millisecond))
			So(ok, ShouldBeFalse)
			now = now.Add(fullWindow)
		}
	})
}

func TestWorkWaitsForWorkerNearLargeInputs(t *testing.T) {
	const heavy = 3_000_000
	Convey("Given work with large inputs in the domain of a busy worker", t, func() {
		q := NewQueue(specOf(12))
		q.SetWorkers(workersIn("x", "y"))
		_, _ = q.Add(start, workOf("first", 12))
		c, _ := q.NextCall(start)
		busy := c.Upstream.Domain
		other := map[string]string{"x": "y", "y": "x"}[busy]
		Convey("it waits for the worker in that domain while it can be on time", func() {
			_, _ = q.Add(start, workOf("a", 2).withInputsIn(busy, heavy))
			_, ok := q.NextCall(start.Add(100 * time.Millisecond))
			So(ok, ShouldBeFalse)
		})
		Convey("it goes to another worker if it would otherwise be late", func() {
			_, _ = q.Add(start, workOf("a", 2).withInputsIn(busy, heavy).withTime(300*time.Millisecond, time.Second))
			c, ok := q.NextCall(start.Add(100 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(c.Upstream.Domain, ShouldEqual, other)
		})
		Convey("it goes to another worker if none is left in the domain", func() {
			_, _ = q.Add(start, workOf("a", 2).withInputsIn("gone", heavy))
			_, ok := q.NextCall(start.Add(100 * time.Millisecond))
			So(ok, ShouldBeTrue)
		})
	})
}

func TestFailuresOfWorkersRequeueOrEndWork(t *testing.T) {
	Convey("Given a call in progress", t, func() {
		q := NewQueue(specOf(4))
		q.SetWorkers(workersIn("x", "x"))
		j, _ := q.Add(start, workOf("a", 2))
		c, _ := q.NextCall(start)
		Convey("a failure puts the pieces into a call to another worker", func() {
			ended, _ := q.FailCall(start, c)
			So(ended, ShouldBeEmpty)
			next, ok := q.NextCall(start.Add(50 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(next.Upstream.Name, ShouldNotEqual, c.Upstream.Name)
		})
		Convey("repeated failures end the work", func() {
			now := start
			for range maxAttempts - 1 {
				q.FailCall(now, c)
				now = now.Add(maxBackoff)
				c, _ = q.NextCall(now)
			}
			ended, _ := q.FailCall(now, c)
			So(ended, ShouldResemble, []*Job{j})
			So(j.Outcome, ShouldResemble, Failed{Reason: ReasonWorkerFailed})
		})
		Convey("the loss of an input ends the work, and results that it already has are returned as unused", func() {
			results := resultsOf(c, "h")
			results[1] = Result{Reason: ReasonInputLost}
			ended, unused := q.CompleteCall(start, c, results)
			So(ended, ShouldResemble, []*Job{j})
			So(unused, ShouldResemble, []string{results[0].Handle})
		})
		Convey("results of cancelled work are returned as unused", func() {
			So(q.Cancel(j), ShouldBeEmpty)
			ended, unused := q.CompleteCall(start, c, resultsOf(c, "h"))
			So(ended, ShouldBeEmpty)
			So(unused, ShouldHaveLength, 2)
		})
		Convey("a worker that restarts under the same name has all its room", func() {
			again := workersIn("x", "x")
			again[0].StartedAtMS = 7
			again[1].StartedAtMS = 7
			q.SetWorkers(again)
			for _, w := range q.workers {
				So(w.usedBytes, ShouldEqual, 0)
			}
		})
	})
}

func TestSlowWorkerIsSkippedWhileAnotherIsFaster(t *testing.T) {
	Convey("A worker that takes five times as long gets no call while waiting for the other one is faster", t, func() {
		q := NewQueue(specOf(4))
		q.SetWorkers(workersIn("x", "x"))
		now := start
		for i := range 12 {
			_, _ = q.Add(now, workOf(fmt.Sprint(i), 4))
			c, ok := q.NextCall(now)
			if !ok {
				now = now.Add(300 * time.Millisecond)
				continue
			}
			took := c.Expected
			if c.Upstream.Name == "w0" {
				took = 5 * c.Expected
			}
			now = now.Add(took)
			q.CompleteCall(now, c, resultsOf(c, fmt.Sprint(i)))
		}
		_, _ = q.Add(now, workOf("a", 4))
		_, _ = q.Add(now, workOf("b", 4))
		c, ok := q.NextCall(now)
		So(ok, ShouldBeTrue)
		So(c.Upstream.Name, ShouldEqual, "w1")
		_, ok = q.NextCall(now.Add(10 * time.Millisecond))
		So(ok, ShouldBeFalse)
	})
}

// TestRandomOperationsKeepQueueConsistent runs random work, failures and frees, and checks after each step that no piece is lost, duplicated or mixed up.
func TestRandomOperationsKeepQueueConsistent(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := NewQueue(specOf(6))
		q.SetWorkers(workersIn("x", "y", "y"))
		now := start
		jobs := map[string]*Job{}
		ended := map[*Job]int{}
		var calls []*Call
		var kept []string
		note := func(list []*Job) {
			for _, j := range list {
				ended[j]++
			}
		}
		for step := range 1500 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			switch rng.IntN(6) {
			case 0, 1:
				id := fmt.Sprint(step)
				if j, refused := q.Add(now, workOf(id, 1+rng.IntN(9)).withRank(rng.IntN(3)).withBytes(int64(rng.IntN(1_500_000)))); refused == nil {
					jobs[id] = j
				}
			case 2, 3:
				if c, ok := q.NextCall(now); ok {
					calls = append(calls, c)
				}
			case 4:
				if len(calls) == 0 {
					continue
				}
				c := calls[0]
				calls = calls[1:]
				list, unused := endCallAtRandom(rng, q, now, c, fmt.Sprint(step))
				note(list)
				kept = append(kept, unused...)
			case 5:
				if rng.IntN(40) == 0 {
					note(reassignAtRandom(t, q, calls))
				}
				q.Hedge(now)
				q.Free(kept)
				kept = nil
				expired, unused := q.Expire(now)
				note(expired)
				kept = append(kept, unused...)
			}
			checkQueue(t, q, calls)
		}
		checkStoredResults(t, q, jobs, kept)
		for id, j := range jobs {
			if n := ended[j]; n > 1 || (n == 1) != (j.Outcome != nil) {
				t.Fatalf("seed %d: work %s was reported %d times, outcome %v", seed, id, n, j.Outcome)
			}
			if completed, ok := j.Outcome.(Completed); ok {
				checkHandles(t, id, j, completed)
			}
		}
	}
}

// reassignAtRandom ends the jobs that have not started, and checks that none of them has a result or is in a call.
func reassignAtRandom(t *testing.T, q *Queue, calls []*Call) []*Job {
	t.Helper()
	list := q.ReassignUnstarted()
	for _, j := range list {
		for _, c := range calls {
			if slices.Contains(c.jobs(), j) {
				t.Fatalf("work %s was reassigned while a call runs it", j.Request)
			}
		}
		if len(q.partialResults(j)) > 0 {
			t.Fatalf("work %s was reassigned with %d results", j.Request, len(q.partialResults(j)))
		}
	}
	return list
}

// endCallAtRandom ends a call by a failure, a pause, or results of which some are missing.
func endCallAtRandom(rng *rand.Rand, q *Queue, now time.Time, c *Call, tag string) (ended []*Job, unused []string) {
	switch rng.IntN(8) {
	case 0:
		return q.FailCall(now, c)
	case 1:
		return q.PauseCall(now, c, time.Duration(rng.IntN(300))*time.Millisecond)
	}
	results := resultsOf(c, tag)
	for i := range results {
		if rng.IntN(12) == 0 {
			results[i] = Result{Reason: []Reason{ReasonDeadline, ReasonInputLost, ReasonNoRoom, ReasonWorkerFailed}[rng.IntN(4)]}
		}
	}
	return q.CompleteCall(now, c, results)
}

// checkStoredResults checks that each stored result is one of a job that needs it, or was returned to be freed.
func checkStoredResults(t *testing.T, q *Queue, jobs map[string]*Job, unused []string) {
	t.Helper()
	expected := map[string]bool{}
	for _, h := range unused {
		expected[h] = true
	}
	for _, j := range jobs {
		if _, completed := j.Outcome.(Completed); !completed && j.Outcome != nil {
			continue
		}
		for _, h := range j.handles {
			expected[h] = true
		}
	}
	for h := range q.stored {
		if !expected[h] {
			t.Fatalf("result %s is stored, but nothing needs it", h)
		}
	}
}

func checkHandles(t *testing.T, id string, j *Job, completed Completed) {
	t.Helper()
	for i, h := range completed.Handles {
		var tag, request string
		var stage, piece int
		if _, err := fmt.Sscanf(replaceSlashes(h), "%s %s %d %d", &tag, &request, &stage, &piece); err != nil || request != id || piece != j.Pieces[i].Index {
			t.Fatalf("piece %d of %s got handle %q", i, id, h)
		}
	}
}

func replaceSlashes(h string) string {
	b := []byte(h)
	for i := range b {
		if b[i] == '/' {
			b[i] = ' '
		}
	}
	return string(b)
}

// checkQueue compares the queue with an independent recount: every piece of an unfinished job waits, is in one call or has its result.
func checkQueue(t *testing.T, q *Queue, calls []*Call) {
	t.Helper()
	inCall := map[pieceRef]int{}
	perWorker := map[*worker]int{}
	for _, c := range calls {
		perWorker[c.worker]++
		if len(c.Items) > q.spec.Batch {
			t.Fatalf("call with %d items exceeds the batch limit", len(c.Items))
		}
		for _, p := range c.pieces {
			// The pieces of a hedged call are not counted, because they are queued again.
			if !c.hedged {
				inCall[p]++
			}
		}
	}
	for _, w := range q.workers {
		if w.calls != perWorker[w] || w.calls > q.spec.Slots || w.usedBytes < 0 {
			t.Fatalf("worker %s counts %d running calls, the test counted %d; %d bytes of results", w.upstream.Name, w.calls, perWorker[w], w.usedBytes)
		}
	}
	for _, j := range q.jobs {
		if j.attempts < 0 {
			t.Fatalf("work %s has had %d attempts", j.Request, j.attempts)
		}
		places := map[int]int{}
		for _, p := range j.waiting {
			places[p]++
		}
		for i, h := range j.handles {
			if h != "" {
				places[i]++
			}
			places[i] += inCall[pieceRef{job: j, pos: i}]
			if h != "" {
				// A late result of a hedged call may exist beside the copy that was queued for it.
				places[i] = min(places[i], 1)
			}
			if places[i] != 1 {
				t.Fatalf("piece %d of %s was counted %d times, want once", i, j.Request, places[i])
			}
		}
	}
}
