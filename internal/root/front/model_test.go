package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/stand/queue"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// poolModel is a pool of the simulated fleet. The sizes correspond to the present deployment.
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

// capacity returns the maximum throughput of the simulated fleet in requests per second. The engines are its bottleneck.
func capacity() float64 {
	e := pools()[3]
	return float64(e.count*e.slots) / e.service.Seconds()
}

// upstreamModel simulates an upstream with slots and a queue. Faults change its speed or make it unreachable.
type upstreamModel struct {
	pool     poolModel
	upstream route.Upstream
	queue    *queue.Queue

	mu          sync.Mutex
	rng         *rand.Rand
	slowdown    float64
	unreachable bool
	busyTime    time.Duration
	disconnect  context.CancelFunc
	connected   context.Context
}

// fleetModel simulates all upstreams. It implements chain.AttemptSender.
type fleetModel struct {
	byAddr map[string]*upstreamModel
	list   []*upstreamModel
	oneWay time.Duration

	mu sync.Mutex
	// paidCost is the cost of the completed attempts of each request, by request ID.
	paidCost map[string]float64
}

func newFleetModel(seed uint64, domains []string) *fleetModel {
	f := &fleetModel{
		byAddr:   map[string]*upstreamModel{},
		paidCost: map[string]float64{},
		oneWay:   1500 * time.Microsecond,
	}
	for _, p := range pools() {
		for i := range p.count {
			name := fmt.Sprintf("%s-%02d", p.name, i)
			u := &upstreamModel{
				pool:     p,
				queue:    queue.New(p.slots),
				rng:      rand.New(rand.NewPCG(seed, uint64(len(f.list)))),
				slowdown: 1,
				upstream: route.Upstream{
					Name:   name,
					Addr:   name,
					Domain: domains[i%len(domains)],
					Pool:   p.name,
				},
			}
			u.connected, u.disconnect = context.WithCancel(context.Background())
			f.byAddr[name] = u
			f.list = append(f.list, u)
		}
	}
	return f
}

// forEach calls do for each upstream that matches.
func (f *fleetModel) forEach(match func(u *upstreamModel) bool, do func(u *upstreamModel)) {
	for _, u := range f.list {
		if match(u) {
			u.mu.Lock()
			do(u)
			u.mu.Unlock()
		}
	}
}

func inPool(name string) func(*upstreamModel) bool {
	return func(u *upstreamModel) bool { return u.pool.name == name }
}

func inDomain(name string) func(*upstreamModel) bool {
	return func(u *upstreamModel) bool { return u.upstream.Domain == name }
}

func setSlowdown(x float64) func(*upstreamModel) {
	return func(u *upstreamModel) { u.slowdown = x }
}

func makeUnreachable(u *upstreamModel) {
	u.unreachable = true
	u.disconnect()
}

func makeReachable(u *upstreamModel) {
	u.unreachable = false
	u.connected, u.disconnect = context.WithCancel(context.Background())
}

// drawServiceTime returns the service time of a call: a random value within 25 % of the mean, multiplied by the slowdown.
// It also returns the context that ends when the upstream becomes unreachable, and whether it is unreachable.
func (u *upstreamModel) drawServiceTime() (time.Duration, context.Context, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	spread := 0.75 + u.rng.Float64()/2
	return time.Duration(float64(u.pool.service) * spread * u.slowdown), u.connected, u.unreachable
}

func (u *upstreamModel) addBusyTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busyTime += d
}

// load returns the current load report of the upstream.
func (u *upstreamModel) load() stage.Load {
	busy, queued := u.queue.Load()
	return stage.Load{
		Busy:   busy,
		Queued: queued,
		Slots:  u.pool.slots,
	}
}

// Do simulates an attempt.
func (f *fleetModel) Do(ctx context.Context, a reach.Attempt) reach.Result {
	u := f.byAddr[a.Addr]
	serviceTime, connected, unreachable := u.drawServiceTime()
	if unreachable {
		return reach.Unsent{Err: reach.ErrStatus}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := reach.NewWatchdog(ctx, a, func() { cancel(reach.ErrSilent) })
	defer watchdog.Stop()
	stop := context.AfterFunc(connected, func() { cancel(reach.ErrTruncated) })
	defer stop()
	time.Sleep(f.oneWay)
	if !u.queue.Acquire(ctx, a.Call.Urgency) {
		return reach.Broken{Err: context.Cause(ctx)}
	}
	defer u.queue.Release()
	began := time.Now()
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		u.addBusyTime(time.Since(began))
		return reach.Broken{Err: context.Cause(ctx)}
	}
	u.addBusyTime(serviceTime)
	f.addCost(a.Call.AttemptID, serviceTime.Seconds()*u.pool.cost)
	time.Sleep(f.oneWay)
	return reach.Done{Result: stage.Result{
		AttemptID: a.Call.AttemptID,
		Output:    a.Call.Input,
		BusyMS:    float64(serviceTime) / float64(time.Millisecond),
	}}
}

func (f *fleetModel) addCost(attempt string, cost float64) {
	id, _, _ := strings.Cut(attempt, "/")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paidCost[id] += cost
}

func (f *fleetModel) costOf(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paidCost[id]
}

// Probe returns the current load of an upstream.
func (f *fleetModel) Probe(_ context.Context, addr string) (stage.Load, error) {
	u := f.byAddr[addr]
	_, _, unreachable := u.drawServiceTime()
	if unreachable {
		return stage.Load{}, reach.ErrStatus
	}
	return u.load(), nil
}

// totalCost returns the cost of all busy time, in the cost units of the pools.
func (f *fleetModel) totalCost() float64 {
	sum := 0.0
	for _, u := range f.list {
		u.mu.Lock()
		sum += u.busyTime.Seconds() * u.pool.cost
		u.mu.Unlock()
	}
	return sum
}
