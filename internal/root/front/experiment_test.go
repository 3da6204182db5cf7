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
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	hostCount    = 9
	chatDeadline = 8 * time.Second
	planDeadline = 30 * time.Second
	// patientShare is the fraction of the arrivals that are patient requests.
	patientShare = 0.6
	warmUp       = 10 * time.Second
)

// sendFunc serves one request on one host and reports whether it received a complete answer.
type sendFunc func(ctx context.Context, host int, req PipelineRequest) bool

// policy is a combination of admission, routing and retry rules that an experiment measures.
type policy struct {
	name string
	// make returns the function that serves requests under the policy. It may start goroutines in bg, which end with ctx.
	make func(ctx context.Context, bg *sync.WaitGroup, f *fleetModel, r experiment) sendFunc
}

// experiment describes a simulated run: the arrival rate as a multiple of the capacity, and faults at given times.
type experiment struct {
	seed   uint64
	load   float64
	length time.Duration
	// reportDelay is the age of load reports when they reach the hosts.
	reportDelay time.Duration
	domains     []string
	// loads, if set, returns the multiple of the capacity at a given time. It replaces load.
	loads func(at time.Duration) float64
	// events change the fleet at given times.
	events []event
	// accounts holds the relative arrival rate of each account. If it is empty, there is one account.
	accounts []float64
}

type event struct {
	at time.Duration
	do func(f *fleetModel)
}

// classCounts counts the requests of one class, and how many of them were answered in time.
type classCounts struct {
	sent, answered int
}

func (c classCounts) attainment() float64 {
	if c.sent == 0 {
		return 1
	}
	return float64(c.answered) / float64(c.sent)
}

// result holds the measurements of a run.
type result struct {
	urgent, patient classCounts
	accounts        []classCounts
	goodput         float64
	wasted          float64
	// attainmentAfterEvents is the attainment of the urgent requests that arrive more than ten seconds after the last event of the experiment.
	attainmentAfterEvents float64
}

func (m result) String() string {
	return fmt.Sprintf("urgent %.2f %%, patient %.2f %%, goodput %.1f %% of capacity, wasted %.1f %%, after recovery %.2f %%",
		100*m.urgent.attainment(), 100*m.patient.attainment(), 100*m.goodput, 100*m.wasted, 100*m.attainmentAfterEvents)
}

func newRequest(n int, now time.Time, patient bool, account int) PipelineRequest {
	req := PipelineRequest{
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
		req.Urgency = 6
		req.Deadline = now.Add(planDeadline)
	}
	for _, p := range pools() {
		req.Pipeline.Stages = append(req.Pipeline.Stages, config.Stage{
			Name:       p.name,
			Pool:       p.name,
			Idempotent: true,
			Expected:   config.Span(p.service),
		})
		req.Pools = append(req.Pools, config.Pool{
			Name:          p.name,
			Kind:          config.KindWorker,
			Slots:         p.slots,
			CostPerSecond: p.cost,
			Silence:       config.Span(4 * time.Second),
		})
	}
	return req
}

// run sends the arrivals of the experiment under the policy. Runs with the same seed have the same arrivals for every policy.
func (r experiment) run(p policy) result {
	f := newFleetModel(r.seed, r.domains)
	ctx, cancel := context.WithCancel(context.Background())
	var bg sync.WaitGroup
	defer bg.Wait()
	defer cancel()
	send := p.make(ctx, &bg, f, r)
	var m result
	m.accounts = make([]classCounts, max(1, len(r.accounts)))
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
	usefulCost := 0.0
	inTime := 0
	var urgentAfterEvents classCounts
	for n := 0; time.Since(began) < r.length; n++ {
		at := time.Since(began)
		load := r.load
		if r.loads != nil {
			load = r.loads(at)
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / (load * capacity()) * float64(time.Second)))
		patient := rng.Float64() < patientShare
		account := pickAccount(rng, r.accounts)
		host := rng.IntN(hostCount)
		wg.Go(func() {
			req := newRequest(n, time.Now(), patient, account)
			ok := send(ctx, host, req) && !time.Now().After(req.Deadline)
			mu.Lock()
			defer mu.Unlock()
			c := &m.urgent
			if patient {
				c = &m.patient
			}
			for _, x := range []*classCounts{c, &m.accounts[account]} {
				x.sent++
				if ok {
					x.answered++
				}
			}
			if !patient && at > lastEvent+10*time.Second {
				urgentAfterEvents.sent++
				if ok {
					urgentAfterEvents.answered++
				}
			}
			if ok {
				usefulCost += f.costOf(req.ID)
				if time.Since(began) <= r.length {
					inTime++
				}
			}
		})
	}
	wg.Wait()
	m.goodput = float64(inTime) / (capacity() * r.length.Seconds())
	m.wasted = max(0, 1-usefulCost/f.totalCost())
	m.attainmentAfterEvents = urgentAfterEvents.attainment()
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

// cornelwingPolicy is the policy of the daemon, with its admitter, routing table and runner.
func cornelwingPolicy() policy {
	return policy{
		name: "cornelwing",
		make: func(ctx context.Context, bg *sync.WaitGroup, f *fleetModel, r experiment) sendFunc {
			hosts := make([]*Service, hostCount)
			tables := make([]*route.Table, hostCount)
			for i := range hosts {
				deps := common.NewQuietDeps(fmt.Sprint(i), r.domains[i%len(r.domains)])
				tables[i] = tableOf(f, deps.Domain)
				count := func() int { return hostCount }
				hosts[i] = &Service{
					Deps:     deps,
					admitter: NewAdmitter(deps, tables[i], count, count, 256),
					runner:   chain.New(deps, tables[i], f, chain.WithRand(rand.New(rand.NewPCG(r.seed, uint64(i))))),
				}
			}
			bg.Go(func() { reportLoads(ctx, bg, f, tables, r) })
			return func(ctx context.Context, host int, req PipelineRequest) bool {
				return hosts[host].serveIdempotent(ctx, req).Answer != nil
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
		ups = append(ups, u.upstream)
	}
	t.Sync(specs, ups, hostCount)
	return t
}

// reportLoads reports the load of each upstream to every host once per second, delayed by reportDelay.
func reportLoads(ctx context.Context, bg *sync.WaitGroup, f *fleetModel, tables []*route.Table, r experiment) {
	for ; ctx.Err() == nil; time.Sleep(time.Second) {
		for _, u := range f.list {
			if u.isUnreachable() {
				continue
			}
			load, at := u.load(), time.Now()
			bg.Go(func() {
				time.Sleep(r.reportDelay)
				for _, t := range tables {
					t.Report(u.upstream.Name, load, at)
				}
			})
		}
	}
}

func (u *upstreamModel) isUnreachable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unreachable
}

// naivePolicy admits all requests, chooses upstreams at random and retries each stage up to three times.
func naivePolicy() policy {
	return policy{
		name: "naive",
		make: func(_ context.Context, _ *sync.WaitGroup, f *fleetModel, r experiment) sendFunc {
			rng := rand.New(rand.NewPCG(r.seed, 7))
			var mu sync.Mutex
			pick := func(pool string) *upstreamModel {
				mu.Lock()
				defer mu.Unlock()
				var candidates []*upstreamModel
				for _, u := range f.list {
					if u.pool.name == pool {
						candidates = append(candidates, u)
					}
				}
				return candidates[rng.IntN(len(candidates))]
			}
			return func(ctx context.Context, _ int, req PipelineRequest) bool {
				return sendWithRetries(ctx, f, req, pick, 4)
			}
		},
	}
}

// roundRobinPolicy chooses upstreams in turn, with a fixed limit of requests in flight on each host.
func roundRobinPolicy() policy {
	return policy{
		name: "round robin, fixed limit",
		make: func(_ context.Context, _ *sync.WaitGroup, f *fleetModel, _ experiment) sendFunc {
			next := map[string]int{}
			var mu sync.Mutex
			pick := func(pool string) *upstreamModel {
				mu.Lock()
				defer mu.Unlock()
				var candidates []*upstreamModel
				for _, u := range f.list {
					if u.pool.name == pool {
						candidates = append(candidates, u)
					}
				}
				next[pool]++
				return candidates[next[pool]%len(candidates)]
			}
			slots := make([]chan struct{}, hostCount)
			for i := range slots {
				slots[i] = make(chan struct{}, int(capacity()*chatDeadline.Seconds()/4/hostCount))
			}
			return func(ctx context.Context, host int, req PipelineRequest) bool {
				select {
				case slots[host] <- struct{}{}:
				default:
					return false
				}
				defer func() { <-slots[host] }()
				return sendWithRetries(ctx, f, req, pick, 2)
			}
		},
	}
}

// sendWithRetries runs the stages with a fixed number of attempts for each, regardless of the cause of a failure.
func sendWithRetries(ctx context.Context, f *fleetModel, req PipelineRequest, pick func(string) *upstreamModel, tries int) bool {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	for _, s := range req.Pipeline.Stages {
		ok := false
		for range tries {
			res := f.Do(ctx, reach.Attempt{
				Addr:    pick(s.Pool).upstream.Addr,
				Silence: 4 * time.Second,
				Call: stage.Call{
					AttemptID: req.ID,
					Input:     req.Body.Input,
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
