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
	// every is the time between two comparisons of what is wanted with what is reported.
	every = time.Second
	// atOnce bounds the engines that are read or ordered together.
	atOnce = 32
	// restFor is how long a pool in which nothing is to do is not read again, if its engines check fencing numbers.
	// Others may carry out a late order at any time, which is put right in the next round.
	restFor = 10 * time.Second
)

// Engines reaches engines.
type Engines interface {
	State(ctx context.Context, addr string) (stage.EngineState, error)
	Order(ctx context.Context, addr string, o stage.Order) error
}

// Lease says whether this host may give orders.
type Lease interface {
	// MayOrder returns the fencing number if an order sent now would end while the lease is held.
	MayOrder() (int64, bool)
}

// Progress is how far a pool has come, as the order holder sees it.
type Progress struct {
	Pool    string `json:"pool"`
	Wanted  string `json:"wanted"`
	Live    int    `json:"live"`
	Matches int    `json:"matches"`
	Note    string `json:"note"`
}

// Orderer gives orders while it holds the lease.
type Orderer struct {
	common.Deps
	lease   Lease
	engines Engines
	holder  *watch.Holder
	members func() []route.Upstream
	burning func() bool

	mu       sync.Mutex
	ordered  map[string]time.Time
	progress []Progress
	// resting are the pools in which nothing was to do.
	resting map[string]rest
}

// rest is until when a pool is not read, under one revision.
type rest struct {
	until    time.Time
	revision int64
	progress Progress
}

// New returns an orderer; members gives the known upstreams, and burning says whether the objective is missed now.
func New(deps common.Deps, lease Lease, engines Engines, holder *watch.Holder, members func() []route.Upstream, burning func() bool) *Orderer {
	return &Orderer{
		Deps:    deps.WithPart("orders"),
		lease:   lease,
		engines: engines,
		holder:  holder,
		members: members,
		burning: burning,
		ordered: map[string]time.Time{},
		resting: map[string]rest{},
	}
}

// Part returns the orderer as a supervised part.
func (o *Orderer) Part() super.Part {
	return super.Every("orders", func() time.Duration { return every }, o.Tick)
}

// Progress returns how far each pool has come; it is empty on a host that does not hold the lease.
func (o *Orderer) Progress() []Progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Progress(nil), o.progress...)
}

// Tick compares what is wanted with what is reported once, and gives the orders that are due.
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
		if r := o.resting[p.Name]; r.revision == rev.Number && o.Now().Before(r.until) {
			all = append(all, r.progress)
			continue
		}
		progress, done := o.work(ctx, p)
		if done && p.ChecksFencing {
			o.resting[p.Name] = rest{
				until:    o.Now().Add(restFor),
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

// work gives the orders of one pool that are due, and reports whether nothing was to do.
func (o *Orderer) work(ctx context.Context, p config.Pool) (progress Progress, done bool) {
	members := o.read(ctx, p.Name)
	progress = Progress{
		Pool:   p.Name,
		Wanted: p.Wanted.Model + " " + p.Wanted.Version,
	}
	for _, m := range members {
		if m.Known && !m.Leaving {
			progress.Live++
		}
		if m.Known && m.Matches(*p.Wanted) {
			progress.Matches++
		}
	}
	switch s := plan.Next(o.Now(), *p.Wanted, members, o.burning()).(type) {
	case plan.Done:
		progress.Note = "done"
		done = true
	case plan.Held:
		progress.Note = "waits: " + s.Reason
	case plan.Order:
		progress.Note = fmt.Sprintf("orders %d engines", len(s.Members))
		o.give(ctx, *p.Wanted, s.Members)
	}
	return progress, done
}

func (o *Orderer) read(ctx context.Context, pool string) []plan.Member {
	var members []plan.Member
	for _, u := range o.members() {
		if u.Pool == pool {
			members = append(members, plan.Member{
				Name:    u.Name,
				Addr:    u.Addr,
				Leaving: u.Leaving,
				Ordered: o.orderedAt(u.Name),
			})
		}
	}
	var g errgroup.Group
	g.SetLimit(atOnce)
	for i := range members {
		g.Go(func() error {
			state, err := o.engines.State(ctx, members[i].Addr)
			members[i].State = state
			members[i].Known = err == nil
			return nil
		})
	}
	// An engine that cannot be read counts as away.
	_ = g.Wait()
	return members
}

func (o *Orderer) orderedAt(name string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ordered[name]
}

func (o *Orderer) give(ctx context.Context, w config.Wanted, members []plan.Member) {
	var g errgroup.Group
	g.SetLimit(atOnce)
	for _, m := range members {
		g.Go(func() error {
			o.order(ctx, w, m)
			return nil
		})
	}
	// What an order came to shows in the engine's state in the next round.
	_ = g.Wait()
}

// order checks the lease right before it sends, as not every engine checks the fencing number.
func (o *Orderer) order(ctx context.Context, w config.Wanted, m plan.Member) {
	o.mu.Lock()
	o.ordered[m.Name] = o.Now()
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
		o.Log.WithError(err).Warnf("Order to %s failed.", m.Name)
		return
	}
	o.Log.Infof("Engine %s was ordered to load %s %s.", m.Name, w.Model, w.Version)
}
