package orders

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/orders/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/super"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	// compareInterval is the time between two comparisons of the wanted state with the reported one.
	compareInterval = time.Second
	// maxConcurrentCalls is the maximum number of engines whose state is read, or to which an order is sent, at the same time.
	maxConcurrentCalls = 32
	// doneSkipPeriod is how long a pool is skipped after a round in which no engine needed an order, if its engines check
	// fencing numbers. Engines that do not check them may execute a delayed order of an earlier lease holder at any
	// time. Their pools are therefore read in every round, and an engine that executed such an order is sent a new one.
	doneSkipPeriod = 10 * time.Second
)

// EngineClient reads the state of engines and sends orders to them.
type EngineClient interface {
	State(ctx context.Context, addr string) (stage.EngineState, error)
	Order(ctx context.Context, addr string, o stage.Order) error
}

// Lease reports whether this host may send orders.
type Lease interface {
	// MayOrder returns the fencing number and true if an order sent now would complete before the lease expires.
	MayOrder() (int64, bool)
}

// Progress is how many live engines of a pool match the wanted state, as the lease holder sees it.
type Progress struct {
	Pool    string `json:"pool"`
	Wanted  string `json:"wanted"`
	Live    int    `json:"live"`
	Matches int    `json:"matches"`
	Note    string `json:"note"`
}

// Controller compares the engines with the wanted state and sends orders while this host holds the lease.
type Controller struct {
	common.Deps
	lease           Lease
	engines         EngineClient
	active          *watch.Active
	members         func() []route.Upstream
	mustHaltRollout func() bool

	mu          sync.Mutex
	lastOrdered map[string]time.Time
	progress    []Progress
	// skipped holds, by pool name, the pools in which no engine needed an order.
	skipped map[string]skippedPool
}

// skippedPool is a pool that is skipped until the given time, or until another configuration revision comes into force if that is
// earlier.
type skippedPool struct {
	until    time.Time
	revision int64
	progress Progress
}

// New returns a Controller. members returns the known upstreams; mustHaltRollout reports whether the burn rate is so high that a roll-out has to wait.
func New(deps common.Deps, lease Lease, engines EngineClient, active *watch.Active, members func() []route.Upstream, mustHaltRollout func() bool) *Controller {
	return &Controller{
		Deps:            deps.WithPart("orders"),
		lease:           lease,
		engines:         engines,
		active:          active,
		members:         members,
		mustHaltRollout: mustHaltRollout,
		lastOrdered:     map[string]time.Time{},
		skipped:         map[string]skippedPool{},
	}
}

// Part returns the controller as a part for the supervision tree.
func (c *Controller) Part() super.Part {
	return super.Every("orders", func() time.Duration { return compareInterval }, c.Tick)
}

// Progress returns the progress of each pool with a wanted state. The list is empty on a host that does not hold the lease.
func (c *Controller) Progress() []Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Progress(nil), c.progress...)
}

// Tick runs one round: it compares the wanted state with the reported one and sends the orders that are due. Rounds must
// not overlap.
func (c *Controller) Tick(ctx context.Context) {
	rev, ok := c.active.Current()
	if _, may := c.lease.MayOrder(); !ok || !may {
		c.setProgress(nil)
		return
	}
	var all []Progress
	for _, p := range rev.Document.Pools {
		if p.Wanted == nil {
			continue
		}
		if r := c.skipped[p.Name]; r.revision == rev.Number && c.Now().Before(r.until) {
			all = append(all, r.progress)
			continue
		}
		progress, done := c.updatePool(ctx, p)
		if done && p.ChecksFencing {
			c.skipped[p.Name] = skippedPool{
				until:    c.Now().Add(doneSkipPeriod),
				revision: rev.Number,
				progress: progress,
			}
		}
		all = append(all, progress)
	}
	c.setProgress(all)
}

func (c *Controller) setProgress(p []Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = p
}

// updatePool reads the engines of one pool and sends them the orders that are due. It returns the progress of the pool and,
// in done, whether no engine needed an order.
func (c *Controller) updatePool(ctx context.Context, p config.Pool) (progress Progress, done bool) {
	members := c.readMembers(ctx, p.Name)
	progress = Progress{
		Pool:   p.Name,
		Wanted: p.Wanted.Model + " " + p.Wanted.Version,
	}
	for _, m := range members {
		if m.Reachable && !m.Leaving {
			progress.Live++
		}
		if m.Reachable && m.Matches(*p.Wanted) {
			progress.Matches++
		}
	}
	switch s := plan.Decide(c.Now(), *p.Wanted, members, c.mustHaltRollout()).(type) {
	case plan.Done:
		progress.Note = "done"
		done = true
	case plan.Blocked:
		progress.Note = "waits: " + s.Reason
	case plan.Order:
		progress.Note = fmt.Sprintf("orders %d engines", len(s.Members))
		c.sendOrders(ctx, *p.Wanted, s.Members)
	}
	return progress, done
}

func (c *Controller) readMembers(ctx context.Context, pool string) []plan.Member {
	var members []plan.Member
	for _, u := range c.members() {
		if u.Pool == pool {
			members = append(members, plan.Member{
				Name:        u.Name,
				Addr:        u.Addr,
				Leaving:     u.Leaving,
				LastOrdered: c.lastOrderedAt(u.Name),
			})
		}
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i := range members {
		g.Go(func() error {
			state, err := c.engines.State(ctx, members[i].Addr)
			members[i].State = state
			members[i].Reachable = err == nil
			return nil
		})
	}
	// Wait returns nil: an engine whose state cannot be read is marked as not reachable.
	_ = g.Wait()
	return members
}

func (c *Controller) lastOrderedAt(name string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOrdered[name]
}

func (c *Controller) sendOrders(ctx context.Context, w config.Wanted, members []plan.Member) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, m := range members {
		g.Go(func() error {
			c.sendOrder(ctx, w, m)
			return nil
		})
	}
	// Wait returns nil: sendOrder returns no error, and the next round reads each engine's state, which shows whether the order took effect.
	_ = g.Wait()
}

// sendOrder checks the lease immediately before the send, because not every engine checks the fencing number.
func (c *Controller) sendOrder(ctx context.Context, w config.Wanted, m plan.Member) {
	c.mu.Lock()
	c.lastOrdered[m.Name] = c.Now()
	c.mu.Unlock()
	fence, ok := c.lease.MayOrder()
	if !ok {
		return
	}
	err := c.engines.Order(ctx, m.Addr, stage.Order{
		Fence:    fence,
		Model:    w.Model,
		Version:  w.Version,
		Adapters: w.Adapters,
		Role:     w.Role,
	})
	if err != nil {
		c.Log.WithError(err).Warnf("Failed to send order to engine %s.", m.Name)
		return
	}
	c.Log.Infof("Ordered engine %s to load %s %s.", m.Name, w.Model, w.Version)
}
