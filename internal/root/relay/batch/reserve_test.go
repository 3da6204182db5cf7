package batch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// chained returns the first work of a request that needs pool p and then pool later.
func chained(id string, pieces int, slack time.Duration) Work {
	w := workOf(id, 1)
	w.Chain = &room.Request{
		Slack: slack,
		Needs: []room.Need{
			{Pool: "p", Pieces: 1, Bytes: 8000},
			{Pool: "later", Stage: 1, Pieces: pieces, Bytes: 8000},
		},
	}
	return w
}

// chainQueue returns a queue whose requests use one worker of pool later.
func chainQueue() *Queue {
	q := NewQueue(specOf(10))
	q.SetWorkers(workersIn("x", "x", "x"))
	q.SetPools("p", map[string]room.Pool{
		"p":     {Workers: 3, Spec: specOf(10)},
		"later": {Workers: 1, Spec: specOf(10), Queues: []string{"later"}},
	})
	return q
}

// accepted returns how many requests the queue accepts at once.
func accepted(q *Queue, now time.Time, w Work) []*Job {
	var out []*Job
	for {
		w.Request = fmt.Sprint("r", len(out))
		j, refused := q.Add(now, w)
		if refused != nil {
			return out
		}
		out = append(out, j)
	}
}

// Guards against requests that begin although a later stage can't do its part in time (load: a burst of requests with several stages).
func TestFirstQueueRefusesForLaterPool(t *testing.T) {
	Convey("Given a queue whose own pool has time and a later pool with one worker", t, func() {
		q := chainQueue()
		// Five pieces take 150 ms of the worker.
		w := chained("a", 5, time.Second)
		jobs := accepted(q, start, w)
		Convey("it accepts what the later pool can begin within the slack, and names that pool to the rest", func() {
			So(len(jobs), ShouldBeBetween, 3, 7)
			_, refused := q.Add(start, w)
			So(refused.Pool, ShouldEqual, "later")
			So(refused.After, ShouldBeBetweenOrEqual, minRetryAfter, maxRetryAfter)
			So(q.stats.RefusedFor["later"], ShouldEqual, 2)
			So(q.stats.Reserved, ShouldEqual, len(jobs))
		})
		Convey("the room of callers who leave is given back at once", func() {
			for _, j := range jobs {
				q.Cancel(j)
			}
			So(len(accepted(q, start, w)), ShouldEqual, len(jobs))
		})
		Convey("the room of work that goes to another owner is given back", func() {
			q.ReassignUnstarted()
			So(len(accepted(q, start, w)), ShouldEqual, len(jobs))
		})
		Convey("work of a host of an older build, without a chain, is accepted as before", func() {
			_, refused := q.Add(start, workOf("old", 1))
			So(refused, ShouldBeNil)
		})
		Convey("a report of slow workers there leaves less room, and one out of range changes nothing", func() {
			slow, absurd := chainQueue(), chainQueue()
			w.Chain.Reports = []room.Report{{Queue: "later", Pace: 0.4}}
			So(len(accepted(slow, start, w)), ShouldBeLessThan, len(jobs))
			w.Chain.Reports = []room.Report{{Queue: "later", Pace: -3}}
			So(len(accepted(absurd, start, w)), ShouldEqual, len(jobs))
		})
	})
}

// Guards against reserved work of less urgent requests that waits until it is late (load: urgent requests that fill a pool).
func TestReservedWorkGoesBeforeItIsLate(t *testing.T) {
	Convey("Given urgent work and less urgent work with a reservation that has time for one call more", t, func() {
		q := NewQueue(specOf(1))
		q.SetWorkers(workersIn("x"))
		low := workOf("low", 1).withTime(300*time.Millisecond, 5*time.Second)
		low.Rank = 2
		low.Reserved = true
		add := func(w Work) {
			_, refused := q.Add(start, w)
			So(refused, ShouldBeNil)
		}
		add(workOf("high", 1).withTime(time.Second, 5*time.Second))
		Convey("the less urgent work goes first", func() {
			add(low)
			c, ok := q.NextCall(start)
			So(ok, ShouldBeTrue)
			So(requestsOf(c), ShouldResemble, []string{"low"})
		})
		Convey("without a reservation it does not", func() {
			low.Reserved = false
			add(low)
			c, ok := q.NextCall(start)
			So(ok, ShouldBeTrue)
			So(requestsOf(c), ShouldResemble, []string{"high"})
		})
	})
}

func TestPartsOfPools(t *testing.T) {
	in := func(domain string, n int) []route.Upstream {
		out := make([]route.Upstream, n)
		for i := range out {
			out[i].Domain = domain
		}
		return out
	}
	sharded := map[Shard][]route.Upstream{
		{Queue: "p@a", Domain: "a"}: in("a", 6),
		{Queue: "p@b", Domain: "b"}: in("b", 3),
	}
	scenarios := []struct {
		name  string
		later map[Shard][]route.Upstream
		want  float64
	}{
		{name: "a later pool with a queue in the domain", later: map[Shard][]route.Upstream{{Queue: "q@a", Domain: "a"}: in("a", 5), {Queue: "q@b", Domain: "b"}: in("b", 4)}, want: 5},
		{name: "a later pool with one queue", later: map[Shard][]route.Upstream{{Queue: "q"}: in("a", 6)}, want: 4},
		{name: "a later pool with no worker in the domain", later: map[Shard][]route.Upstream{{Queue: "q@b", Domain: "b"}: in("b", 9)}, want: 6},
		{name: "a later pool without workers", later: map[Shard][]route.Upstream{{Queue: "q"}: nil}, want: 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			got := PartsOfPools("p", Shard{Queue: "p@a", Domain: "a"}, map[string]map[Shard][]route.Upstream{"p": sharded, "q": sc.later}, map[string]plan.Worker{})
			if got["p"].Workers != 6 || got["q"].Workers != sc.want {
				t.Errorf("%.1f own workers and %.1f of the later pool, want 6 and %.1f", got["p"].Workers, got["q"].Workers, sc.want)
			}
		})
	}
}

func TestWorkWithoutChainHasTheFormOfTheBuildBefore(t *testing.T) {
	b, err := json.Marshal(workOf("a", 1))
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"chain", "reserved"} {
		if strings.Contains(string(b), `"`+field+`"`) {
			t.Errorf("%s holds the field %s", b, field)
		}
	}
	var w Work
	if err := json.Unmarshal([]byte(`{"pool":"p","queue":"p","request":"a","stage":0,"pieces":[{"index":0}],"bytes":1,"rank":0,"on_time":1,"last":2}`), &w); err != nil || w.Chain != nil || w.Reserved {
		t.Errorf("work of an older build is %+v, error %v", w, err)
	}
}

// Guards against refusals at idle workers that are faster than their specification, in calm (one caller, one request after the other).
func TestIdleQueueReservesAnew(t *testing.T) {
	Convey("Requests that end sooner than their workers' specification says leave nothing reserved at an idle queue", t, func() {
		q := chainQueue()
		w := workOf("a", 1)
		w.Chain = &room.Request{
			Slack: 300 * time.Millisecond,
			Needs: []room.Need{{Pool: "p", Pieces: 5, Bytes: 8000}},
		}
		for i := range 50 {
			w.Request = fmt.Sprint("r", i)
			j, refused := q.Add(start.Add(time.Duration(i)*5*time.Millisecond), w)
			So(refused, ShouldBeNil)
			q.endJob(j, Completed{})
		}
	})
}
