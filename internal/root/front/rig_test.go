package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	rigHosts     = 9
	chatDeadline = 8 * time.Second
	planDeadline = 30 * time.Second
	// patientShare is the part of the arrivals that can wait.
	patientShare = 0.6
	warmUp       = 10 * time.Second
)

// sendFunc serves one request on one host and reports whether it was answered whole.
type sendFunc func(ctx context.Context, host int, a Ask) bool

// policy makes the sender that is measured.
type policy struct {
	name string
	// make may start work that ends with ctx.
	make func(ctx context.Context, bg *sync.WaitGroup, f *fleetModel, r rig) sendFunc
}

// rig is one experiment: arrivals at a multiple of the capacity, and faults at times.
type rig struct {
	seed   uint64
	load   float64
	length time.Duration
	lag    time.Duration
	domain []string
	// loads, where set, gives the multiple of the capacity at a time in place of load.
	loads func(at time.Duration) float64
	// events change the fleet at times.
	events []event
	// accounts gives the weights of arrivals; one account is the default.
	accounts []float64
}

type event struct {
	at time.Duration
	do func(f *fleetModel)
}

// tallied is what one class of requests came to.
type tallied struct {
	sent, answered int
}

func (t tallied) attainment() float64 {
	if t.sent == 0 {
		return 1
	}
	return float64(t.answered) / float64(t.sent)
}

// measured is the result of a run.
type measured struct {
	urgent, patient tallied
	accounts        []tallied
	goodput         float64
	wasted          float64
	// recovered is the attainment of urgent work that arrives later than ten seconds after the last event.
	recovered float64
}

func (m measured) String() string {
	return fmt.Sprintf("urgent %.2f %%, patient %.2f %%, goodput %.1f %% of capacity, wasted %.1f %%, after recovery %.2f %%",
		100*m.urgent.attainment(), 100*m.patient.attainment(), 100*m.goodput, 100*m.wasted, 100*m.recovered)
}

func askOf(n int, now time.Time, patient bool, account int) Ask {
	a := Ask{
		ID: fmt.Sprintf("r%d", n),
		Account: config.Account{
			Name:          fmt.Sprintf("account-%d", account),
			Weight:        1,
			RatePerSecond: 1e6,
		},
		Pipeline: config.Pipeline{
			Name:       "chat",
			Idempotent: true,
		},
		Body: wire.Request{
			Input: fmt.Sprintf("prefix-%03d-of-a-prompt-with-32-bytes-and-more-%d", n%97, n),
		},
		Urgency:  1,
		Arrived:  now,
		Deadline: now.Add(chatDeadline),
	}
	if patient {
		a.Urgency = 6
		a.Deadline = now.Add(planDeadline)
	}
	for _, p := range pools() {
		a.Pipeline.Stages = append(a.Pipeline.Stages, config.Stage{
			Name:       p.name,
			Pool:       p.name,
			Idempotent: true,
			Expected:   config.Span(p.service),
		})
		a.Pools = append(a.Pools, config.Pool{
			Name:          p.name,
			Kind:          config.KindWorker,
			Slots:         p.slots,
			CostPerSecond: p.cost,
			Silence:       config.Span(4 * time.Second),
		})
	}
	return a
}

// run sends the arrivals of the rig; the same seed gives every policy the same ones.
func (r rig) run(p policy) measured {
	f := newFleetModel(r.seed, r.domain)
	ctx, cancel := context.WithCancel(context.Background())
	var bg sync.WaitGroup
	defer bg.Wait()
	defer cancel()
	send := p.make(ctx, &bg, f, r)
	var m measured
	m.accounts = make([]tallied, max(1, len(r.accounts)))
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	lastEvent := time.Duration(0)
	for _, e := range r.events {
		lastEvent = max(lastEvent, e.at)
		wg.Go(func() {
			time.Sleep(e.at)
			e.do(f)
		})
	}
	rng := rand.New(rand.NewPCG(r.seed, 99))
	useful := 0.0
	inTime := 0
	var lateUrgent tallied
	for n := 0; time.Since(began) < r.length; n++ {
		at := time.Since(began)
		load := r.load
		if r.loads != nil {
			load = r.loads(at)
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / (load * capacity()) * float64(time.Second)))
		patient := rng.Float64() < patientShare
		account := pickAccount(rng, r.accounts)
		host := rng.IntN(rigHosts)
		wg.Go(func() {
			a := askOf(n, time.Now(), patient, account)
			ok := send(ctx, host, a) && !time.Now().After(a.Deadline)
			mu.Lock()
			defer mu.Unlock()
			c := &m.urgent
			if patient {
				c = &m.patient
			}
			for _, x := range []*tallied{c, &m.accounts[account]} {
				x.sent++
				if ok {
					x.answered++
				}
			}
			if !patient && at > lastEvent+10*time.Second {
				lateUrgent.sent++
				if ok {
					lateUrgent.answered++
				}
			}
			if ok {
				useful += f.paidFor(a.ID)
				if time.Since(began) <= r.length {
					inTime++
				}
			}
		})
	}
	wg.Wait()
	m.goodput = float64(inTime) / (capacity() * r.length.Seconds())
	m.wasted = max(0, 1-useful/f.spent())
	m.recovered = lateUrgent.attainment()
	return m
}

func pickAccount(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return 0
}

// ours is the policy of the daemon: the admitter, the table and the runner as they are.
func ours() policy {
	return policy{
		name: "cornelwing",
		make: func(ctx context.Context, bg *sync.WaitGroup, f *fleetModel, r rig) sendFunc {
			hosts := make([]*Service, rigHosts)
			tables := make([]*route.Table, rigHosts)
			for i := range hosts {
				deps := common.Quiet(fmt.Sprint(i), r.domain[i%len(r.domain)])
				tables[i] = tableOf(f, deps.Domain)
				count := func() int { return rigHosts }
				hosts[i] = &Service{
					Deps:     deps,
					admitter: NewAdmitter(deps, tables[i], count, count, 256),
					runner:   chain.New(deps, tables[i], f, chain.WithRand(rand.New(rand.NewPCG(r.seed, uint64(i))))),
				}
			}
			bg.Go(func() { reportLoads(ctx, bg, f, tables, r) })
			return func(ctx context.Context, host int, a Ask) bool {
				return hosts[host].serveFree(ctx, a).Answer != nil
			}
		},
	}
}

func tableOf(f *fleetModel, domain string) *route.Table {
	t := route.New(domain)
	var specs []route.PoolSpec
	for _, p := range pools() {
		specs = append(specs, route.PoolSpec{
			Name:     p.name,
			Slots:    p.slots,
			Expected: p.service,
		})
	}
	var ups []route.Upstream
	for _, u := range f.list {
		ups = append(ups, u.up)
	}
	t.Sync(specs, ups, rigHosts)
	return t
}

// reportLoads gives every host every load once a second, as old as the rig's lag.
func reportLoads(ctx context.Context, bg *sync.WaitGroup, f *fleetModel, tables []*route.Table, r rig) {
	for ; ctx.Err() == nil; time.Sleep(time.Second) {
		for _, u := range f.list {
			if u.isGone() {
				continue
			}
			load, at := u.load(), time.Now()
			bg.Go(func() {
				time.Sleep(r.lag)
				for _, t := range tables {
					t.Report(u.up.Name, load, at)
				}
			})
		}
	}
}

func (u *upModel) isGone() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gone
}

// naive chooses at random, admits everything and tries each stage up to three times again.
func naive() policy {
	return policy{
		name: "naive",
		make: func(_ context.Context, _ *sync.WaitGroup, f *fleetModel, r rig) sendFunc {
			rng := rand.New(rand.NewPCG(r.seed, 7))
			var mu sync.Mutex
			pick := func(pool string) *upModel {
				mu.Lock()
				defer mu.Unlock()
				var in []*upModel
				for _, u := range f.list {
					if u.pool.name == pool {
						in = append(in, u)
					}
				}
				return in[rng.IntN(len(in))]
			}
			return func(ctx context.Context, _ int, a Ask) bool {
				return blind(ctx, f, a, pick, 4)
			}
		},
	}
}

// roundRobin goes round the upstreams under a fixed limit of requests in flight on each host.
func roundRobin() policy {
	return policy{
		name: "round robin, fixed limit",
		make: func(_ context.Context, _ *sync.WaitGroup, f *fleetModel, _ rig) sendFunc {
			next := map[string]int{}
			var mu sync.Mutex
			pick := func(pool string) *upModel {
				mu.Lock()
				defer mu.Unlock()
				var in []*upModel
				for _, u := range f.list {
					if u.pool.name == pool {
						in = append(in, u)
					}
				}
				next[pool]++
				return in[next[pool]%len(in)]
			}
			slots := make([]chan struct{}, rigHosts)
			for i := range slots {
				slots[i] = make(chan struct{}, int(capacity()*chatDeadline.Seconds()/4/rigHosts))
			}
			return func(ctx context.Context, host int, a Ask) bool {
				select {
				case slots[host] <- struct{}{}:
				default:
					return false
				}
				defer func() { <-slots[host] }()
				return blind(ctx, f, a, pick, 2)
			}
		},
	}
}

// blind runs the stages with a fixed number of tries for each, whatever went wrong.
func blind(ctx context.Context, f *fleetModel, a Ask, pick func(string) *upModel, tries int) bool {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	for _, s := range a.Pipeline.Stages {
		ok := false
		for range tries {
			res := f.Do(ctx, reach.Attempt{
				Addr:    pick(s.Pool).up.Addr,
				Silence: 4 * time.Second,
				Call: stage.Call{
					AttemptID: a.ID,
					Input:     a.Body.Input,
					Urgency:   3,
				},
			})
			if _, done := res.(reach.Done); done {
				ok = true
				break
			}
		}
		if !ok {
			return false
		}
	}
	return true
}
