package model

import (
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	// minServedShare is the least share of a kind that is on time while others are overloaded, so that none is starved.
	minServedShare = 0.1
	// recoveryTime is how long after a burst requests are on time as before.
	recoveryTime = 2 * time.Second
)

// threePools returns a deployment whose requests of three ranks compete for three pools of one queue each.
func threePools() *Settings {
	s := &Settings{
		Name:    "three pools",
		Hosts:   16,
		Domains: []string{"a", "b", "c"},
		Hop:     config.Span(2 * time.Millisecond),
		Length:  config.Span(20 * time.Second),
		Clump:   3,
		Pools: []Pool{
			{Name: "first", Workers: []int{2, 2, 2}, Batch: 12, Call: config.Span(200 * time.Millisecond), Piece: config.Span(14 * time.Millisecond), Room: 27e6, Retention: config.Span(4 * time.Second)},
			{Name: "second", Workers: []int{2, 2, 2}, Batch: 38, Call: config.Span(200 * time.Millisecond), Piece: config.Span(4500 * time.Microsecond), Room: 5.1e6, Retention: config.Span(4 * time.Second)},
			{Name: "third", Workers: []int{2, 2, 2}, Batch: 54, Call: config.Span(200 * time.Millisecond), Piece: config.Span(3200 * time.Microsecond), Room: 0.71e6, Retention: config.Span(4 * time.Second)},
		},
		Kinds: []Kind{
			{Name: "urgent", Rate: 20, Rank: 0, Objective: config.Span(1200 * time.Millisecond), Deadline: config.Span(6 * time.Second), Engine: Engine{Fetch: config.Span(20 * time.Millisecond), First: config.Span(150 * time.Millisecond), Spread: 0.3}, Stages: []Stage{{Pool: "first", Pieces: 2.5, Spread: 0.6, Max: 10, Share: 0.7, Bytes: 1500000}}},
			{Name: "usual", Rate: 12, Rank: 1, Objective: config.Span(2 * time.Second), Deadline: config.Span(20 * time.Second), Engine: Engine{Fetch: config.Span(20 * time.Millisecond), First: config.Span(100 * time.Millisecond), Spread: 0.3}, Stages: []Stage{{Pool: "first", Pieces: 1, Work: 0.3, Bytes: 8000}, {Pool: "second", After: []int{0}, Pieces: 6, Bytes: 60000}, {Pool: "third", After: []int{1}, Pieces: 10, Spread: 0.4, Max: 25, Bytes: 6000}}},
			{Name: "patient", Rate: 35, Rank: 2, Objective: config.Span(4 * time.Second), Deadline: config.Span(6 * time.Second), Engine: Engine{Fetch: config.Span(20 * time.Millisecond), First: config.Span(100 * time.Millisecond), Spread: 0.3}, Stages: []Stage{{Pool: "first", Pieces: 1, Work: 0.3, Bytes: 8000}, {Pool: "second", After: []int{0}, Pieces: 6, Bytes: 60000}, {Pool: "third", After: []int{1}, Pieces: 10, Spread: 0.4, Max: 25, Bytes: 6000}}},
		},
	}
	s.setDefaults()
	return s
}

// Each scenario is a load in which callers compete for too little room for some seconds. It guards against answers that are late, work for requests that are refused afterwards, and kinds that get nothing.
func TestCallersThatCompeteForRoom(t *testing.T) {
	burst := func(at, length time.Duration, factor float64, kind string) Burst {
		return Burst{
			At:     config.Span(at),
			For:    config.Span(length),
			Factor: factor,
			Kind:   kind,
		}
	}
	scenarios := []struct {
		name    string
		bursts  []Burst
		retries int
		options Options
	}{
		{name: "overlapping bursts of 2.3 times each kind", bursts: []Burst{burst(4*time.Second, 5*time.Second, 2.3, "patient"), burst(5*time.Second, 5*time.Second, 2.3, "usual"), burst(6*time.Second, 4*time.Second, 2.3, "urgent")}, retries: 1},
		{name: "one kind at 7.5 times its usual", bursts: []Burst{burst(4*time.Second, 6*time.Second, 7.5, "usual")}, retries: 1},
		{name: "clients that repeat at once", bursts: []Burst{burst(4*time.Second, 5*time.Second, 2.3, "")}, retries: 3, options: Options{RepeatAtOnce: true}},
		{name: "clients that give up", bursts: []Burst{burst(4*time.Second, 5*time.Second, 2.3, "")}, options: Options{LeaveShare: 0.2, LeaveAfter: 700 * time.Millisecond}},
		{name: "a third of a stage's workers slow", bursts: []Burst{burst(4*time.Second, 5*time.Second, 2.3, "")}, retries: 1, options: Options{SlowPool: "second", SlowFactor: 5}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := threePools()
			s.Bursts = sc.bursts
			s.Retries = sc.retries
			o := sc.options
			o.Load = 1
			o.Seed = 1
			o.ReleaseAfter = ReleaseTime
			r := Run(s, o)
			sum := r.Sum()
			// Those who left can't be on time; a third of the workers at half speed do a sixth less.
			possible := float64(sum.Limit - sum.Left)
			if o.SlowFactor > 0 {
				possible *= 1 - (1-1/o.SlowFactor)/3
			}
			if got := float64(sum.OnTime) / possible; got < minShareOfLimit {
				t.Errorf("on time: %.3f of what could be", got)
			}
			if got := share(sum.Late, sum.OnTime+sum.Late); got > maxLateShare {
				t.Errorf("late: %.3f of what was accepted", got)
			}
			for _, k := range r.Kind {
				t.Logf("%s: %d offered, %d on time, %d late, %d refused, %d left, limit %d", k.Name, k.Offered, k.OnTime, k.Late, k.Refused, k.Left, k.Limit)
				if share(k.OnTime, k.Offered) < minServedShare {
					t.Errorf("%s is starved: %d of %d are on time", k.Name, k.OnTime, k.Offered)
				}
			}
			if first, last := r.Kind[0], r.Kind[2]; share(first.OnTime, first.Offered) < share(last.OnTime, last.Offered)-maxLateShare {
				t.Error("less urgent requests are served more often than urgent ones")
			}
			for i := int((10*time.Second + recoveryTime) / time.Second); i < 18; i++ {
				if n := r.Second[i]; share(n.OnTime, n.Limit) < minShareOfLimit && sc.options.LeaveShare == 0 && sc.options.SlowFactor == 0 {
					t.Errorf("second %d: %d of %d on time after the bursts", i, n.OnTime, n.Limit)
				}
			}
		})
	}
}
