package model

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/graph"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// settleTime is how long after the last arrival the simulation goes on.
const settleTime = 30 * time.Second

// epoch is the time at which a simulation begins.
var epoch = time.Unix(0, 0)

// ReleaseTime is how long after a request is sent to its engine hosts free the results of its stages.
const ReleaseTime = 100 * time.Millisecond

// Options are the variants of a run.
type Options struct {
	// Load multiplies the rates of all kinds.
	Load float64
	Seed uint64
	// ReleaseAfter is how long after a request is sent to its engine the results of its stages are freed, or 0 if they are freed with its first event.
	ReleaseAfter time.Duration
	// SlowFactor is how many times longer calls take at a third of the workers of the pool SlowPool.
	SlowPool   string
	SlowFactor float64
	// RepeatAtOnce lets callers come back at once after a refusal.
	RepeatAtOnce bool
	// LeaveShare is the share of callers who leave after LeaveAfter.
	LeaveShare float64
	LeaveAfter time.Duration
}

// host is an entry host with what it has learned.
type host struct {
	domain string
	times  graph.Times
	picker batch.Picker
	// reports are what the host knows of the queues.
	reports room.Book
}

// simulation is one run.
type simulation struct {
	clock
	settings *Settings
	options  Options
	// arrivals draws what callers send, and rng all else, so that variants of a run get the same requests.
	arrivals   *rand.Rand
	rng        *rand.Rand
	plan       *plan.Plan
	routes     map[string]plan.Route
	hosts      []*host
	workers    map[string]*worker
	queues     map[string]*queue
	queueNames []string
	shards     map[string][]batch.Shard
	// upstreams are the workers of each pool.
	upstreams map[string][]route.Upstream
	requests  map[string]*request
	attempts  int
	handles   int
	result    *Result
}

func requestID(n int) string {
	return "r" + strconv.Itoa(n)
}

// Run simulates the deployment.
func Run(settings *Settings, o Options) *Result {
	s := &simulation{
		settings:  settings,
		options:   o,
		arrivals:  rand.New(rand.NewPCG(o.Seed, 1)),
		rng:       rand.New(rand.NewPCG(o.Seed, 2)),
		routes:    map[string]plan.Route{},
		workers:   map[string]*worker{},
		queues:    map[string]*queue{},
		shards:    map[string][]batch.Shard{},
		requests:  map[string]*request{},
		upstreams: map[string][]route.Upstream{},
		result:    newResult(settings, o),
	}
	s.now = epoch
	s.plan, s.routes = planOf(settings)
	for i := range settings.Hosts {
		s.hosts = append(s.hosts, &host{
			domain: settings.Domains[i%len(settings.Domains)],
		})
	}
	for i := range settings.Pools {
		s.addPool(&settings.Pools[i])
	}
	s.connectQueues()
	for i := range settings.Kinds {
		s.planArrivals(&settings.Kinds[i])
	}
	s.process()
	s.runUntil(epoch.Add(settings.Length.D() + settleTime))
	s.result.addPools(s)
	return s.result
}

// planOf returns the configuration that the settings stand for.
func planOf(settings *Settings) (*plan.Plan, map[string]plan.Route) {
	var pools []plan.Pool
	for _, p := range settings.Pools {
		pools = append(pools, plan.Pool{
			Name: p.Name,
			Worker: &plan.Worker{
				Slots:           1,
				QueueLimit:      2,
				Batch:           p.Batch,
				Call:            p.Call.D(),
				PieceTime:       p.Piece.D(),
				ResultCapacity:  p.Room,
				ResultRetention: p.Retention.D(),
			},
		})
	}
	routes := map[string]plan.Route{}
	for _, k := range settings.Kinds {
		r := plan.Route{
			Name:      k.Name,
			Rank:      k.Rank,
			Objective: k.Objective.D(),
			Timeout:   k.Deadline.D(),
		}
		for _, st := range k.Stages {
			r.Stages = append(r.Stages, plan.Stage{
				Pool:        st.Pool,
				DependsOn:   st.After,
				ResultBytes: st.Bytes,
			})
		}
		routes[k.Name] = r
	}
	return plan.New(1, nil, pools, nil, plan.Limits{}), routes
}

// planArrivals plans the next arrivals of a kind, until the end of the settings' length.
func (s *simulation) planArrivals(k *Kind) {
	rate := k.Rate * s.options.Load * s.settings.factor(k.Name, s.now.Sub(epoch)) / float64(s.settings.Clump)
	if k.Rate <= 0 || s.options.Load <= 0 {
		return
	}
	pause := time.Duration(s.arrivals.ExpFloat64() / max(rate, minRate) * float64(time.Second))
	// The rate is looked at again after rateStep at the latest, as it may have changed.
	if pause > rateStep {
		s.after(rateStep, func() { s.planArrivals(k) })
		return
	}
	s.after(pause, func() {
		if s.now.Sub(epoch) >= s.settings.Length.D() {
			return
		}
		for range s.settings.Clump {
			pieces := make([]int, len(k.Stages))
			for i, st := range k.Stages {
				pieces[i] = s.draw(st)
			}
			s.result.offer(s.now.Sub(epoch), k, pieces)
			s.arrive(k, pieces, s.now, s.settings.Retries)
		}
		s.planArrivals(k)
	})
}

const (
	// minRate is the least rate that counts, in arrivals per second.
	minRate = 1e-6
	// rateStep is the longest time for which a rate is taken as constant. Arrivals have no memory, so that the pause is drawn anew.
	rateStep = 250 * time.Millisecond
)

// factor returns by how much the bursts multiply the rate of a kind at a time.
func (s *Settings) factor(kind string, at time.Duration) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.At.D() && at < b.At.D()+b.For.D() {
			f *= b.Factor
		}
	}
	return f
}
