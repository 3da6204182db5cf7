package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/stand/queue"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// poolModel is one pool of the modelled fleet, at the size of today.
type poolModel struct {
	name    string
	kind    config.Kind
	count   int
	slots   int
	service time.Duration
	cost    float64
}

func pools() []poolModel {
	return []poolModel{
		{name: "encoders", kind: config.KindWorker, count: 6, slots: 4, service: 10 * time.Millisecond, cost: 1},
		{name: "retrievers", kind: config.KindWorker, count: 6, slots: 4, service: 20 * time.Millisecond, cost: 1},
		{name: "rerankers", kind: config.KindWorker, count: 6, slots: 4, service: 15 * time.Millisecond, cost: 2},
		{name: "engines", kind: config.KindEngine, count: 12, slots: 8, service: 800 * time.Millisecond, cost: 10},
	}
}

// capacity is what the modelled fleet can answer, in requests a second; the engines bound it.
func capacity() float64 {
	e := pools()[3]
	return float64(e.count*e.slots) / e.service.Seconds()
}

// upModel is one upstream: slots, a queue, and a speed that faults change.
type upModel struct {
	pool  poolModel
	up    route.Upstream
	queue *queue.Queue

	mu    sync.Mutex
	rng   *rand.Rand
	slow  float64
	gone  bool
	busy  time.Duration
	drops context.CancelFunc
	alive context.Context
}

// fleetModel is every upstream, reached as a Caller.
type fleetModel struct {
	byAddr map[string]*upModel
	list   []*upModel
	oneWay time.Duration

	mu sync.Mutex
	// paid is the cost of the finished attempts of each request.
	paid map[string]float64
}

func newFleetModel(seed uint64, domains []string) *fleetModel {
	f := &fleetModel{
		byAddr: map[string]*upModel{},
		paid:   map[string]float64{},
		oneWay: 1500 * time.Microsecond,
	}
	for _, p := range pools() {
		for i := range p.count {
			name := fmt.Sprintf("%s-%02d", p.name, i)
			u := &upModel{
				pool:  p,
				queue: queue.New(p.slots),
				rng:   rand.New(rand.NewPCG(seed, uint64(len(f.list)))),
				slow:  1,
				up: route.Upstream{
					Name:   name,
					Addr:   name,
					Domain: domains[i%len(domains)],
					Pool:   p.name,
				},
			}
			u.alive, u.drops = context.WithCancel(context.Background())
			f.byAddr[name] = u
			f.list = append(f.list, u)
		}
	}
	return f
}

// each calls f for the upstreams that match.
func (f *fleetModel) each(match func(u *upModel) bool, do func(u *upModel)) {
	for _, u := range f.list {
		if match(u) {
			u.mu.Lock()
			do(u)
			u.mu.Unlock()
		}
	}
}

func inPool(name string) func(*upModel) bool {
	return func(u *upModel) bool { return u.pool.name == name }
}

func inDomain(name string) func(*upModel) bool {
	return func(u *upModel) bool { return u.up.Domain == name }
}

func setSlow(x float64) func(*upModel) {
	return func(u *upModel) { u.slow = x }
}

func goAway(u *upModel) {
	u.gone = true
	u.drops()
}

func comeBack(u *upModel) {
	u.gone = false
	u.alive, u.drops = context.WithCancel(context.Background())
}

// draw returns how long a call holds its slot: the mean, a quarter up or down, times the slowness.
func (u *upModel) draw() (time.Duration, context.Context, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	spread := 0.75 + u.rng.Float64()/2
	return time.Duration(float64(u.pool.service) * spread * u.slow), u.alive, u.gone
}

func (u *upModel) spend(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy += d
}

// load is the upstream's report of now.
func (u *upModel) load() stage.Load {
	busy, queued := u.queue.Load()
	return stage.Load{
		Busy:   busy,
		Queued: queued,
		Slots:  u.pool.slots,
	}
}

// Do runs an attempt on the model.
func (f *fleetModel) Do(ctx context.Context, a reach.Attempt) reach.Result {
	u := f.byAddr[a.Addr]
	hold, alive, gone := u.draw()
	if gone {
		return reach.Unsent{Err: reach.ErrStatus}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := reach.NewWatch(ctx, a, func() { cancel(reach.ErrSilent) })
	defer watch.Stop()
	stop := context.AfterFunc(alive, func() { cancel(reach.ErrCut) })
	defer stop()
	time.Sleep(f.oneWay)
	if !u.queue.Acquire(ctx, a.Call.Urgency) {
		return reach.Broken{Err: context.Cause(ctx)}
	}
	defer u.queue.Release()
	began := time.Now()
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		u.spend(time.Since(began))
		return reach.Broken{Err: context.Cause(ctx)}
	}
	u.spend(hold)
	f.pay(a.Call.AttemptID, hold.Seconds()*u.pool.cost)
	time.Sleep(f.oneWay)
	return reach.Done{Result: stage.Result{
		AttemptID: a.Call.AttemptID,
		Output:    a.Call.Input,
		BusyMS:    float64(hold) / float64(time.Millisecond),
	}}
}

func (f *fleetModel) pay(attempt string, cost float64) {
	id, _, _ := strings.Cut(attempt, "/")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paid[id] += cost
}

func (f *fleetModel) paidFor(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paid[id]
}

// Probe reads an upstream's load at once.
func (f *fleetModel) Probe(_ context.Context, addr string) (stage.Load, error) {
	u := f.byAddr[addr]
	_, _, gone := u.draw()
	if gone {
		return stage.Load{}, reach.ErrStatus
	}
	return u.load(), nil
}

// spent is the cost of all busy time, in the pools' units.
func (f *fleetModel) spent() float64 {
	sum := 0.0
	for _, u := range f.list {
		u.mu.Lock()
		sum += u.busy.Seconds() * u.pool.cost
		u.mu.Unlock()
	}
	return sum
}
