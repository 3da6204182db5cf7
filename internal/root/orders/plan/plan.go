package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// settle is how long an engine that was ordered counts as loading although it does not say so yet.
const settle = 3 * time.Second

// Member is one engine of a pool, as it was last heard of.
type Member struct {
	Name  string
	Addr  string
	State stage.EngineState
	// Known says that the state was read this round; an engine that cannot be read counts as away.
	Known   bool
	Leaving bool
	// Ordered is when the engine was last given an order, zero for never.
	Ordered time.Time
}

// Matches reports whether the engine has what is wanted.
func (m Member) Matches(w config.Wanted) bool {
	s := m.State
	return s.Model == w.Model && s.Version == w.Version && s.Role == w.Role && slices.Equal(s.Adapters, w.Adapters)
}

func (m Member) live() bool {
	return m.Known && !m.Leaving
}

func (m Member) loading(now time.Time) bool {
	return m.State.Loading || now.Sub(m.Ordered) < settle && !m.Ordered.IsZero()
}

// Step is what the plan comes to: Done, Held or Order.
type Step interface {
	step()
}

// Done says that every live engine has what is wanted.
type Done struct{}

// Held says that there is more to do, but not now.
type Held struct {
	Reason string
}

// Order names the engines that are to be given the order now.
type Order struct {
	Members []Member
}

func (Done) step()  {}
func (Held) step()  {}
func (Order) step() {}

// Next returns the step at now; the share of engines that may be away is worked out anew from those that are live.
func Next(now time.Time, w config.Wanted, members []Member, burning bool) Step {
	var todo []Member
	live, loading := 0, 0
	for _, m := range members {
		if !m.live() {
			continue
		}
		live++
		switch {
		case m.loading(now):
			loading++
		case !m.Matches(w):
			todo = append(todo, m)
		}
	}
	if len(todo) == 0 {
		return Done{}
	}
	if burning {
		return Held{Reason: "the objective is burning"}
	}
	room := min(roomOf(w, live), w.MaxLoads) - loading
	if room <= 0 {
		return Held{Reason: "as many engines as may be are loading"}
	}
	slices.SortFunc(todo, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return Order{Members: todo[:min(room, len(todo))]}
}

// roomOf is how many live engines may load at the same time, at least one.
func roomOf(w config.Wanted, live int) int {
	return max(1, int(w.RollShare*float64(live)))
}
