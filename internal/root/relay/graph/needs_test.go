package graph

import (
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// chainRequest returns a request with a side stage and a chain of three stages.
func chainRequest(pieces ...int) *Request {
	worker := &plan.Worker{
		Batch:     10,
		Call:      200 * time.Millisecond,
		PieceTime: 10 * time.Millisecond,
	}
	return &Request{
		Plan:   plan.New(1, nil, []plan.Pool{{Name: "a", Worker: worker}, {Name: "b", Worker: worker}, {Name: "c", Worker: worker}}, nil, plan.Limits{}),
		Pieces: pieces,
		Route: plan.Route{
			Name:      "r",
			Objective: 2 * time.Second,
			Stages:    []plan.Stage{{Pool: "a"}, {Pool: "a"}, {Pool: "b", DependsOn: []int{1}}, {Pool: "c", DependsOn: []int{2}}},
		},
	}
}

func TestLeadStageBeginsTheLongestChain(t *testing.T) {
	scenarios := []struct {
		name   string
		pieces []int
		want   int
	}{
		{name: "all stages", pieces: []int{2, 1, 4, 10}, want: 1},
		{name: "only the side stage", pieces: []int{2}, want: 0},
		{name: "only the chain", pieces: []int{0, 1, 1, 1}, want: 1},
		{name: "no stage", pieces: nil, want: -1},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			if got := chainRequest(sc.pieces...).LeadStage(); got != sc.want {
				t.Errorf("stage %d leads, want %d", got, sc.want)
			}
		})
	}
}

func TestNeedsNameAllStagesAndTheTimeToWait(t *testing.T) {
	now := time.Unix(1000, 0)
	var times Times
	r := chainRequest(2, 1, 4, 10)
	n := r.Needs(now, &times)
	// Three full calls of 300 ms, and 150 ms at the engine.
	if len(n.Needs) != 4 || n.Needs[3].Pool != "c" || n.Needs[3].Pieces != 10 || n.Slack != 950*time.Millisecond {
		t.Errorf("needs %+v", n)
	}
	times.ObserveEngine(now, "r", 400*time.Millisecond)
	if got := r.Needs(now, &times).Slack; got != 700*time.Millisecond {
		t.Errorf("slack %s with an engine that takes 400 ms", got)
	}
	r.Route.Objective = time.Second
	if got := r.Needs(now, &times).Slack; !r.CanWait() || got <= 0 {
		t.Errorf("slack %s of a request that is on time with usual calls only", got)
	}
	r.Route.Objective = 500 * time.Millisecond
	if r.CanWait() {
		t.Error("a request that would be late in an idle deployment can wait")
	}
	r.Route.Objective = 2 * time.Second
	r.Resumed = true
	if r.CanWait() {
		t.Error("a request that continues a stream can wait")
	}
}
