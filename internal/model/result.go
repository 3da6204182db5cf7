package model

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Result is what a run shows.
type Result struct {
	Name string     `json:"name"`
	Load float64    `json:"load"`
	Seed uint64     `json:"seed"`
	Kind []*KindSum `json:"kinds"`
	Pool []*PoolSum `json:"pools"`
	// WastedSeconds is the time that workers spent on requests that were refused in the end.
	WastedSeconds float64 `json:"wasted_seconds"`
	// Second holds, for each second, how many requests arrived, how many of them were on time, and how many could have been according to the fluid limit.
	Second []SecondSum `json:"seconds"`

	settings *Settings
	fluid    *fluidLimit
}

// KindSum counts the requests of a kind.
type KindSum struct {
	Name    string `json:"name"`
	Offered int    `json:"offered"`
	OnTime  int    `json:"on_time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	// Left is how many callers left before they had an answer.
	Left int `json:"left,omitempty"`
	// Limit is how many could have been on time according to the fluid limit.
	Limit int `json:"limit"`
}

// PoolSum is what the workers of a pool did.
type PoolSum struct {
	Name          string  `json:"name"`
	Calls         int     `json:"calls"`
	PiecesPerCall float64 `json:"pieces_per_call"`
	// Busy is the share of the time in which requests arrive that the workers spent in calls.
	Busy float64 `json:"busy"`
}

// SecondSum counts the requests that arrived in one second.
type SecondSum struct {
	Offered int `json:"offered"`
	OnTime  int `json:"on_time"`
	Limit   int `json:"limit"`
}

func newResult(s *Settings, o Options) *Result {
	r := &Result{
		Name:     s.Name,
		Load:     o.Load,
		Seed:     o.Seed,
		Second:   make([]SecondSum, int(s.Length.D()/time.Second)+1),
		settings: s,
		fluid:    newFluidLimit(s),
	}
	for _, k := range s.Kinds {
		r.Kind = append(r.Kind, &KindSum{
			Name: k.Name,
		})
	}
	return r
}

func (r *Result) kind(name string) *KindSum {
	for _, k := range r.Kind {
		if k.Name == name {
			return k
		}
	}
	return nil
}

func (r *Result) offer(at time.Duration, k *Kind, pieces []int) {
	n := r.kind(k.Name)
	n.Offered++
	second := &r.Second[int(at/time.Second)]
	second.Offered++
	if r.fluid.admit(at, k, pieces) {
		n.Limit++
		second.Limit++
	}
}

func (r *Result) onTimeAt(at time.Duration) {
	r.Second[int(at/time.Second)].OnTime++
}

func (r *Result) addPools(s *simulation) {
	for _, p := range r.settings.Pools {
		sum := &PoolSum{
			Name: p.Name,
		}
		workers, pieces := 0, 0
		for _, n := range p.Workers {
			workers += n
		}
		var busy time.Duration
		for _, q := range s.queues {
			if q.pool.Name == p.Name {
				sum.Calls += q.counts.calls
				pieces += q.counts.pieces
				busy += q.counts.busy
			}
		}
		sum.PiecesPerCall = float64(pieces) / float64(max(1, sum.Calls))
		sum.Busy = busy.Seconds() / r.settings.Length.D().Seconds() / float64(max(1, workers))
		r.Pool = append(r.Pool, sum)
	}
}

// Sum returns the counts over all kinds.
func (r *Result) Sum() KindSum {
	var sum KindSum
	for _, k := range r.Kind {
		sum.Offered += k.Offered
		sum.OnTime += k.OnTime
		sum.Late += k.Late
		sum.Refused += k.Refused
		sum.Left += k.Left
		sum.Limit += k.Limit
	}
	return sum
}

// Print writes the result as rows of a table, whose cells end with tabs.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, load %.2f, seed %d\n", r.Name, r.Load, r.Seed)
	fmt.Fprintf(w, "kind\toffered\ton time\tlate\trefused\tlimit\ton time / limit\n")
	sum := r.Sum()
	sum.Name = "all"
	for _, k := range append(slices.Clone(r.Kind), &sum) {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", k.Name, k.Offered, share(k.OnTime, k.Offered), share(k.Late, k.Offered), share(k.Refused, k.Offered), share(k.Limit, k.Offered), share(k.OnTime, k.Limit))
	}
	fmt.Fprintf(w, "pool\tcalls\tpieces a call\tbusy\n")
	for _, p := range r.Pool {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.2f\n", p.Name, p.Calls, p.PiecesPerCall, p.Busy)
	}
	fmt.Fprintf(w, "stage work wasted\t%.1f s\n", r.WastedSeconds)
}

func share(n, of int) float64 {
	return float64(n) / float64(max(1, of))
}
