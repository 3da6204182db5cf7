package orders

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/orders/plan"
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
	// time, so their pools are read in every round, which corrects such an order.
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

// Orderer compares the engines with the wanted state and sends orders while this host holds the lease.
type Orderer struct {
	common.Deps
	lease   Lease
	engines EngineClient
	holder  *watch.Holder
	members func() []route.Upstream
	burning func() bool

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

// New returns an orderer. members returns the known upstreams; burning reports whether the objective is being missed.
func New(deps common.Deps, lease Lease, engines EngineClient, holder *watch.Holder, members func() []route.Upstream, burning func() bool) *Orderer {
	return &Orderer{
		Deps:        deps.WithPart("orders"),
		lease:       lease,
		engines:     engines,
		holder:      holder,
		members:     members,
		burning:     burning,
		lastOrdered: map[string]time.Time{},
		skipped:     map[string]skippedPool{},
	}
}

// Part returns the orderer as a part for the supervision tree.
func (o *Orderer) Part() super.Part {
	return super.Every("orders", func() time.Duration { return compareInterval }, o.Tick)
}

// Progress returns the progress of each pool with a wanted state. The list is empty on a host that does not hold the lease.
func (o *Orderer) Progress() []Progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Progress(nil), o.progress...)
}

// Tick runs one round: it compares the wanted state with the reported one and sends the orders that are due. Rounds must
// not overlap.
func (o *Orderer) Tick(ctx context.Context) {
	rev, ok := o.holder.Current()
	if _, may := o.lease.MayOrder(); !ok || !may {
		o.setProgress(nil)
		return
	}
	var all []Progress
	for _, p := range rev.Document.Pools {
		if p.Wanted == nil {
			continue
		}
		if r := o.skipped[p.Name]; r.revision == rev.Number && o.Now().Before(r.until) {
			all = append(all, r.progress)
			continue
		}
		progress, done := o.updatePool(ctx, p)
		if done && p.ChecksFencing {
			o.skipped[p.Name] = skippedPool{
				until:    o.Now().Add(doneSkipPeriod),
				revision: rev.Number,
				progress: progress,
			}
		}
		all = append(all, progress)
	}
	o.setProgress(all)
}

func (o *Orderer) setProgress(p []Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.progress = p
}

// updatePool reads the engines of one pool and sends them the orders that are due. It returns the progress of the pool and,
// in done, whether no engine needed an order.
func (o *Orderer) updatePool(ctx context.Context, p config.Pool) (progress Progress, done bool) {
	members := o.readMembers(ctx, p.Name)
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
	switch s := plan.Decide(o.Now(), *p.Wanted, members, o.burning()).(type) {
	case plan.Done:
		progress.Note = "done"
		done = true
	case plan.Blocked:
		progress.Note = "waits: " + s.Reason
	case plan.Order:
		progress.Note = fmt.Sprintf("orders %d engines", len(s.Members))
		o.sendOrders(ctx, *p.Wanted, s.Members)
	}
	return progress, done
}

func (o *Orderer) readMembers(ctx context.Context, pool string) []plan.Member {
	var members []plan.Member
	for _, u := range o.members() {
		if u.Pool == pool {
			members = append(members, plan.Member{
				Name:        u.Name,
				Addr:        u.Addr,
				Leaving:     u.Leaving,
				LastOrdered: o.lastOrderedAt(u.Name),
			})
		}
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i := range members {
		g.Go(func() error {
			state, err := o.engines.State(ctx, members[i].Addr)
			members[i].State = state
			members[i].Reachable = err == nil
			return nil
		})
	}
	// No goroutine returns an error: an engine whose state cannot be read is marked as not reachable.
	_ = g.Wait()
	return members
}

func (o *Orderer) lastOrderedAt(name string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastOrdered[name]
}

func (o *Orderer) sendOrders(ctx context.Context, w config.Wanted, members []plan.Member) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, m := range members {
		g.Go(func() error {
			o.sendOrder(ctx, w, m)
			return nil
		})
	}
	// No goroutine returns an error: the next round reads from the state of an engine whether its order took effect.
	_ = g.Wait()
}

// sendOrder checks the lease immediately before the send, because not every engine checks the fencing number.
func (o *Orderer) sendOrder(ctx context.Context, w config.Wanted, m plan.Member) {
	o.mu.Lock()
	o.lastOrdered[m.Name] = o.Now()
	o.mu.Unlock()
	fence, ok := o.lease.MayOrder()
	if !ok {
		return
	}
	err := o.engines.Order(ctx, m.Addr, stage.Order{
		Fence:    fence,
		Model:    w.Model,
		Version:  w.Version,
		Adapters: w.Adapters,
		Role:     w.Role,
	})
	if err != nil {
		o.Log.WithError(err).Warnf("Failed to send order to engine %s.", m.Name)
		return
	}
	o.Log.Infof("Ordered engine %s to load %s %s.", m.Name, w.Model, w.Version)
}
