package batch

import (
	"fmt"
	"testing"
	"time"
)

const (
	// recoveryTime is the time after an outage from which callers must be served as before it.
	recoveryTime = 3 * time.Second
	// trialStep is how often time advances in the tests of outages.
	trialStep = 5 * time.Millisecond
)

// outage plays a queue whose workers all fail each call until it ends.
type outage struct {
	q      *Queue
	now    time.Time
	end    time.Time
	failIn time.Duration
	calls  []callEnd
}

// advance plays the queue up to the given time. Calls fail after failIn if they end within the outage; others take their expected time.
func (o *outage) advance(to time.Time) {
	for o.now.Before(to) {
		o.now = o.now.Add(trialStep)
		var open []callEnd
		for _, e := range o.calls {
			switch {
			case e.at.After(o.now):
				open = append(open, e)
			case e.call.startedAt.Before(o.end):
				o.q.FailCall(o.now, e.call)
			default:
				o.q.CompleteCall(o.now, e.call, resultsOf(e.call, "h"))
			}
		}
		o.calls = open
		o.q.Expire(o.now)
		for {
			c, ok := o.q.NextCall(o.now)
			if !ok {
				break
			}
			took := c.Expected
			if o.now.Before(o.end) {
				took = o.failIn
			}
			o.calls = append(o.calls, callEnd{
				at:   o.now.Add(took),
				call: c,
			})
		}
	}
}

// Guards against work that is refused after all workers have recovered, because the failures of an outage still count (incident RECOVER).
func TestWorkIsAcceptedAfterAnOutageOfAllWorkers(t *testing.T) {
	gaps := []struct {
		name string
		// gap is the time between two works during the outage and until recoveryTime after it. Failures are noticed only where there is work.
		gap time.Duration
	}{
		{name: "work all the time", gap: 20 * time.Millisecond},
		{name: "little work", gap: 700 * time.Millisecond},
		{name: "no work from the middle of the outage on", gap: time.Hour},
	}
	for _, g := range gaps {
		for _, length := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprintf("%s, %s", g.name, length), func(t *testing.T) {
				o := &outage{
					q:      NewQueue(specOf(8)),
					now:    start,
					end:    start.Add(length),
					failIn: trialStep,
				}
				o.q.SetWorkers(workersIn("x", "x"))
				n := 0
				add := func() *Refused {
					n++
					_, refused := o.q.Add(o.now, workOf(fmt.Sprint(n), 1).withTime(time.Second, 1500*time.Millisecond))
					return refused
				}
				recovered := o.end.Add(recoveryTime)
				for o.now.Before(recovered) {
					gap := g.gap
					if o.now.Before(start.Add(length / 2)) {
						gap = min(gap, 20*time.Millisecond)
					}
					add()
					next := o.now.Add(gap)
					if next.After(recovered) {
						next = recovered
					}
					o.advance(next)
				}
				for i := range 20 {
					if refused := add(); refused != nil {
						t.Fatalf("work %d after the outage was refused, to be retried after %s", i, refused.After)
					}
					o.advance(o.now.Add(trialStep))
				}
			})
		}
	}
}

// Guards against work that waits for workers which will not be tried before its deadline.
func TestWorkThatNoWorkerCanFinishInTimeEndsAtOnce(t *testing.T) {
	o := &outage{
		q:      NewQueue(specOf(8)),
		now:    start,
		end:    start.Add(time.Hour),
		failIn: trialStep,
	}
	o.q.SetWorkers(workersIn("x", "x"))
	for i := range 200 {
		j, refused := o.q.Add(o.now, workOf(fmt.Sprint(i), 1).withTime(200*time.Millisecond, 600*time.Millisecond))
		o.advance(o.now.Add(4 * trialStep))
		if refused == nil && j.Outcome == nil && o.q.nextTrialIn(o.now)+o.q.callTime(j.Work) > 600*time.Millisecond {
			t.Fatalf("work %d waits, although no worker is tried in the next %s", i, o.q.nextTrialIn(o.now))
		}
	}
}
