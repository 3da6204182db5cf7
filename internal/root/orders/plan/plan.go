package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// orderGracePeriod is how long an engine counts as loading after an order, even if it does not report loading yet.
const orderGracePeriod = 3 * time.Second

// Member is one engine of a pool with its last reported state.
type Member struct {
	Name  string
	Addr  string
	State stage.EngineState
	// Reachable reports whether the state was read in this round. An unreachable engine does not count as live.
	Reachable bool
	Leaving   bool
	// LastOrdered is when an order was last sent to the engine, or zero if never.
	LastOrdered time.Time
}

// Matches reports whether the engine has the wanted model, version, role and adapters.
func (m Member) Matches(w config.Wanted) bool {
	s := m.State
	return s.Model == w.Model && s.Version == w.Version && s.Role == w.Role && slices.Equal(s.Adapters, w.Adapters)
}

func (m Member) live() bool {
	return m.Reachable && !m.Leaving
}

func (m Member) loading(now time.Time) bool {
	return m.State.Loading || now.Sub(m.LastOrdered) < orderGracePeriod && !m.LastOrdered.IsZero()
}

// Decision is the result of Decide: Done, Blocked or Order.
type Decision interface {
	decision()
}

// Done reports that no live engine needs an order.
type Done struct{}

// Blocked reports that engines still need an order but no order may be sent now.
type Blocked struct {
	Reason string
}

// Order lists the engines to which an order is sent now.
type Order struct {
	Members []Member
}

func (Done) decision()    {}
func (Blocked) decision() {}
func (Order) decision()   {}

// Decide returns what to do for a pool at now. The limit of engines that may load at the same time is computed from the
// engines that are live now. Decide selects no engine while burning is true,
// that is while the objective is being missed.
func Decide(now time.Time, w config.Wanted, members []Member, burning bool) Decision {
	var outdated []Member
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
			outdated = append(outdated, m)
		}
	}
	if len(outdated) == 0 {
		return Done{}
	}
	if burning {
		return Blocked{Reason: "the objective is burning"}
	}
	quota := min(maxLoadingEngines(w, live), w.MaxLoads) - loading
	if quota <= 0 {
		return Blocked{Reason: "as many engines as may be are loading"}
	}
	slices.SortFunc(outdated, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return Order{Members: outdated[:min(quota, len(outdated))]}
}

// maxLoadingEngines returns how many of the live engines may load at the same time under RollShare, at least one.
func maxLoadingEngines(w config.Wanted, live int) int {
	return max(1, int(w.RollShare*float64(live)))
}
