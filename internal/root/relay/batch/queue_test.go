package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

var start = time.Unix(1_000_000, 0)

func specOf(batch int) plan.Worker {
	return plan.Worker{
		Slots: 1,
		Queue: 2,
		Batch: batch,
		Call:  200 * time.Millisecond,
		Item:  10 * time.Millisecond,
		Room:  27_000_000,
		Keep:  4 * time.Second,
	}
}

func workersOf(domains ...string) []route.Upstream {
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
		Pool:    "p",
		Request: id,
		Key:     "k",
		Bytes:   8000,
		OnTime:  time.Second,
		Last:    5 * time.Second,
	}
	for i := range pieces {
		w.Pieces = append(w.Pieces, Piece{
			Index: i,
		})
	}
	return w
}

func (w Work) withBytes(n int64) Work {
	w.Bytes = n
	return w
}

func (w Work) withRank(n int) Work {
	w.Rank = n
	return w
}

func (w Work) withTime(onTime, last time.Duration) Work {
	w.OnTime = onTime
	w.Last = last
	return w
}

func (w Work) near(domain string, moves int64) Work {
	w.Domain = domain
	w.Moves = moves
	return w
}

// requests lists the requests of a call's items in order, each once.
func requests(c *Call) []string {
	var out []string
	for _, it := range c.Items {
		if len(out) == 0 || out[len(out)-1] != it.Request {
			out = append(out, it.Request)
		}
	}
	return out
}

func handlesOf(c *Call, tag string) []Result {
	out := make([]Result, 0, len(c.Items))
	for _, it := range c.Items {
		out = append(out, Result{Handle: fmt.Sprintf("%s/%s/%d/%d", tag, it.Request, it.Stage, it.Piece)})
	}
	return out
}

func TestWhatGoesFirst(t *testing.T) {
	scenarios := []struct {
		name  string
		batch int
		work  []Work
		want  []string
	}{
		{name: "the urgent before the patient", batch: 2, work: []Work{workOf("patient", 2).withRank(2), workOf("urgent", 2).withRank(0)}, want: []string{"urgent"}},
		{name: "what can be on time before what is late", batch: 2, work: []Work{workOf("late", 2).withTime(0, 5*time.Second), workOf("good", 2).withRank(2)}, want: []string{"good"}},
		{name: "what came first among equals", batch: 3, work: []Work{workOf("a", 2), workOf("b", 2), workOf("c", 1)}, want: []string{"a", "c"}},
		{name: "what has the least time among equals", batch: 2, work: []Work{workOf("early", 2).withTime(900*time.Millisecond, 5*time.Second), workOf("hurried", 2).withTime(600*time.Millisecond, 5*time.Second)}, want: []string{"hurried"}},
		{name: "what can still be on time before what has less time", batch: 2, work: []Work{workOf("good", 2).withTime(900*time.Millisecond, 5*time.Second), workOf("doomed", 2).withTime(100*time.Millisecond, 5*time.Second)}, want: []string{"good"}},
		{name: "work that fits whole is not split", batch: 4, work: []Work{workOf("a", 3), workOf("b", 2)}, want: []string{"a"}},
		{name: "work above a call is split", batch: 4, work: []Work{workOf("a", 7)}, want: []string{"a"}},
		{name: "work that wants its results in the worker's domain", batch: 1, work: []Work{workOf("far", 1).near("z", 0), workOf("near", 1).near("x", 0)}, want: []string{"near"}},
	}
	for _, sc := range scenarios {
		Convey("First goes "+sc.name, t, func() {
			q := NewQueue(specOf(sc.batch))
			q.SetWorkers(workersOf("x"))
			for _, w := range sc.work {
				_, refused := q.Add(start, w)
				So(refused, ShouldBeNil)
			}
			c, ok := q.Next(start)
			So(ok, ShouldBeTrue)
			So(requests(c), ShouldResemble, sc.want)
			So(len(c.Items), ShouldBeLessThanOrEqualTo, sc.batch)
		})
	}
}

func TestRefusedAtOnce(t *testing.T) {
	Convey("Work that can't be done in time is refused as it comes, and told when to come back", t, func() {
		q := NewQueue(specOf(4))
		Convey("with no worker", func() {
			_, refused := q.Add(start, workOf("a", 1))
			So(refused.After, ShouldBeGreaterThan, 0)
		})
		Convey("with a queue that takes longer than there is time", func() {
			q.SetWorkers(workersOf("x"))
			for i := range 20 {
				_, refused := q.Add(start, workOf(fmt.Sprint(i), 4).withTime(9*time.Second, 9*time.Second))
				So(refused, ShouldBeNil)
			}
			_, refused := q.Add(start, workOf("a", 1).withTime(time.Second, 2*time.Second))
			So(refused.After, ShouldBeBetween, time.Second, maxAfter+1)
			Convey("but not where it goes before that queue", func() {
				for i := range 20 {
					q.jobs[i].Rank = 2
				}
				_, refused := q.Add(start, workOf("a", 1).withTime(time.Second, 2*time.Second))
				So(refused, ShouldBeNil)
			})
		})
	})
}

func TestExpire(t *testing.T) {
	Convey("Work whose time runs out while it waits is ended at once, not at its deadline", t, func() {
		q := NewQueue(specOf(4))
		q.SetWorkers(workersOf("x"))
		_, _ = q.Add(start, workOf("first", 4))
		_, ok := q.Next(start)
		So(ok, ShouldBeTrue)
		j, _ := q.Add(start, workOf("a", 4).withTime(time.Second, time.Second))
		So(q.Expire(start.Add(700*time.Millisecond)), ShouldBeEmpty)
		So(q.Expire(start.Add(800*time.Millisecond)), ShouldResemble, []*Job{j})
		So(j.Outcome, ShouldHaveSameTypeAs, Refused{})
	})
}

func TestRoom(t *testing.T) {
	Convey("Given results of 1.5 MB and workers with room for 18", t, func() {
		q := NewQueue(specOf(12))
		q.SetWorkers(workersOf("x"))
		_, _ = q.Add(start, workOf("a", 12).withBytes(1_500_000))
		c, _ := q.Next(start)
		So(len(c.Items), ShouldEqual, 12)
		over, _ := q.Finish(start.Add(300*time.Millisecond), c, handlesOf(c, "h"))
		So(over, ShouldHaveLength, 1)
		made, ok := over[0].Outcome.(Made)
		So(ok, ShouldBeTrue)
		_, _ = q.Add(start.Add(300*time.Millisecond), workOf("b", 8).withBytes(1_500_000))
		_, _ = q.Add(start.Add(300*time.Millisecond), workOf("c", 2).withBytes(1_500_000))
		Convey("a call takes only what has room", func() {
			c, ok := q.Next(start.Add(300 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(requests(c), ShouldResemble, []string{"c"})
		})
		Convey("and more once results are freed", func() {
			So(q.Free(made.Handles), ShouldHaveLength, 1)
			c, ok := q.Next(start.Add(300 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(requests(c), ShouldResemble, []string{"b", "c"})
		})
		Convey("and more once the worker has dropped them by itself", func() {
			c, ok := q.Next(start.Add(4301 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(requests(c), ShouldResemble, []string{"b", "c"})
		})
	})
	Convey("A refusal for room is no try, and leaves the worker with less for a while", t, func() {
		q := NewQueue(specOf(12))
		q.SetWorkers(workersOf("x"))
		_, _ = q.Add(start, workOf("a", 2).withBytes(1_500_000))
		now := start
		for range 2 * maxTries {
			c, ok := q.Next(now)
			So(ok, ShouldBeTrue)
			over, _ := q.Finish(now, c, []Result{{Reason: Full}, {Reason: Full}})
			So(over, ShouldBeEmpty)
			_, ok = q.Next(now.Add(10 * time.Millisecond))
			So(ok, ShouldBeFalse)
			now = now.Add(fullFor)
		}
	})
}

func TestNearHeavyInputs(t *testing.T) {
	const heavy = 3_000_000
	Convey("Given work whose inputs are heavy and in domain x", t, func() {
		q := NewQueue(specOf(12))
		q.SetWorkers(workersOf("x", "y"))
		_, _ = q.Add(start, workOf("first", 12))
		c, _ := q.Next(start)
		busy := c.Upstream.Domain
		other := map[string]string{"x": "y", "y": "x"}[busy]
		Convey("it waits for the worker there while it can be on time", func() {
			_, _ = q.Add(start, workOf("a", 2).near(busy, heavy))
			_, ok := q.Next(start.Add(100 * time.Millisecond))
			So(ok, ShouldBeFalse)
		})
		Convey("it goes to another worker where it would else be late", func() {
			_, _ = q.Add(start, workOf("a", 2).near(busy, heavy).withTime(300*time.Millisecond, time.Second))
			c, ok := q.Next(start.Add(100 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(c.Upstream.Domain, ShouldEqual, other)
		})
		Convey("it goes to another worker where none is left in the domain", func() {
			_, _ = q.Add(start, workOf("a", 2).near("gone", heavy))
			_, ok := q.Next(start.Add(100 * time.Millisecond))
			So(ok, ShouldBeTrue)
		})
	})
}

func TestFaultsOfWorkers(t *testing.T) {
	Convey("Given a call in progress", t, func() {
		q := NewQueue(specOf(4))
		q.SetWorkers(workersOf("x", "x"))
		j, _ := q.Add(start, workOf("a", 2))
		c, _ := q.Next(start)
		Convey("a break puts the pieces into a call of another worker", func() {
			over, _ := q.Broke(start, c)
			So(over, ShouldBeEmpty)
			next, ok := q.Next(start.Add(50 * time.Millisecond))
			So(ok, ShouldBeTrue)
			So(next.Upstream.Name, ShouldNotEqual, c.Upstream.Name)
		})
		Convey("breaks without end give the work up", func() {
			now := start
			for range maxTries - 1 {
				q.Broke(now, c)
				now = now.Add(maxRest)
				c, _ = q.Next(now)
			}
			over, _ := q.Broke(now, c)
			So(over, ShouldResemble, []*Job{j})
			So(j.Outcome, ShouldResemble, Failed{Reason: Fault})
		})
		Convey("an input that is gone gives the work up, and what was made is spared", func() {
			results := handlesOf(c, "h")
			results[1] = Result{Reason: Gone}
			over, spare := q.Finish(start, c, results)
			So(over, ShouldResemble, []*Job{j})
			So(spare, ShouldResemble, []string{results[0].Handle})
		})
		Convey("results of work that was dropped are spared", func() {
			So(q.Drop(j), ShouldBeEmpty)
			over, spare := q.Finish(start, c, handlesOf(c, "h"))
			So(over, ShouldBeEmpty)
			So(spare, ShouldHaveLength, 2)
		})
		Convey("a worker that starts again under its name has all its room", func() {
			again := workersOf("x", "x")
			again[0].Born = 7
			again[1].Born = 7
			q.SetWorkers(again)
			for _, w := range q.workers {
				So(w.used, ShouldEqual, 0)
			}
		})
	})
}

func TestSlowWorkerIsLeftOut(t *testing.T) {
	Convey("A worker that takes five times as long gets no call while waiting for another is quicker", t, func() {
		q := NewQueue(specOf(4))
		q.SetWorkers(workersOf("x", "x"))
		now := start
		for i := range 12 {
			_, _ = q.Add(now, workOf(fmt.Sprint(i), 4))
			c, ok := q.Next(now)
			if !ok {
				now = now.Add(300 * time.Millisecond)
				continue
			}
			took := c.Expected
			if c.Upstream.Name == "w0" {
				took = 5 * c.Expected
			}
			now = now.Add(took)
			q.Finish(now, c, handlesOf(c, fmt.Sprint(i)))
		}
		_, _ = q.Add(now, workOf("a", 4))
		_, _ = q.Add(now, workOf("b", 4))
		c, ok := q.Next(now)
		So(ok, ShouldBeTrue)
		So(c.Upstream.Name, ShouldEqual, "w1")
		_, ok = q.Next(now.Add(10 * time.Millisecond))
		So(ok, ShouldBeFalse)
	})
}

// TestLongRun plays random work, faults and frees, and checks after each step that nothing is lost, doubled or mixed up.
func TestLongRun(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := NewQueue(specOf(6))
		q.SetWorkers(workersOf("x", "y", "y"))
		now := start
		jobs := map[string]*Job{}
		over := map[*Job]int{}
		var calls []*Call
		var kept []string
		note := func(list []*Job) {
			for _, j := range list {
				over[j]++
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
				if c, ok := q.Next(now); ok {
					calls = append(calls, c)
				}
			case 4:
				if len(calls) == 0 {
					continue
				}
				c := calls[0]
				calls = calls[1:]
				if rng.IntN(8) == 0 {
					list, _ := q.Broke(now, c)
					note(list)
					continue
				}
				results := handlesOf(c, fmt.Sprint(step))
				for i := range results {
					if rng.IntN(12) == 0 {
						results[i] = Result{Reason: []Reason{Late, Gone, Full, Fault}[rng.IntN(4)]}
					}
				}
				list, spare := q.Finish(now, c, results)
				note(list)
				kept = append(kept, spare...)
			case 5:
				q.Hedge(now)
				q.Free(kept)
				kept = nil
				note(q.Expire(now))
			}
			checkQueue(t, q, calls)
		}
		for id, j := range jobs {
			if n := over[j]; n > 1 || (n == 1) != (j.Outcome != nil) {
				t.Fatalf("seed %d: work %s was reported %d times, outcome %v", seed, id, n, j.Outcome)
			}
			if made, ok := j.Outcome.(Made); ok {
				checkHandles(t, id, j, made)
			}
		}
	}
}

func checkHandles(t *testing.T, id string, j *Job, made Made) {
	t.Helper()
	for i, h := range made.Handles {
		var tag, request string
		var stage, piece int
		if _, err := fmt.Sscanf(replaceSlashes(h), "%s %s %d %d", &tag, &request, &stage, &piece); err != nil || request != id || piece != j.Pieces[i].Index {
			t.Fatalf("piece %d of %s was given %q", i, id, h)
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

// checkQueue holds the queue against a naive recount: every piece of live work waits, is in one call or has its result.
func checkQueue(t *testing.T, q *Queue, calls []*Call) {
	t.Helper()
	inCall := map[part]int{}
	perWorker := map[*worker]int{}
	for _, c := range calls {
		perWorker[c.worker]++
		if len(c.Items) > q.spec.Batch {
			t.Fatalf("a call of %d items", len(c.Items))
		}
		for _, p := range c.parts {
			// A hedged call no longer counts: its pieces are in the queue again.
			if !c.hedged {
				inCall[p]++
			}
		}
	}
	for _, w := range q.workers {
		if w.calls != perWorker[w] || w.calls > q.spec.Slots || w.used < 0 {
			t.Fatalf("worker %s counts %d calls of %d, %d bytes", w.up.Name, w.calls, perWorker[w], w.used)
		}
	}
	for _, j := range q.jobs {
		places := map[int]int{}
		for _, p := range j.waiting {
			places[p]++
		}
		for i, h := range j.handles {
			if h != "" {
				places[i]++
			}
			places[i] += inCall[part{job: j, place: i}]
			if h != "" {
				// A result that came late from a hedged call may stand beside the copy that was made for it.
				places[i] = min(places[i], 1)
			}
			if places[i] != 1 {
				t.Fatalf("piece %d of %s is in %d places", i, j.Request, places[i])
			}
		}
	}
}
