package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/flow"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/grant"
	"github.com/cornelwing/cornelwing/internal/root/relay/hosts"
	"github.com/cornelwing/cornelwing/internal/root/relay/meter"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/internal/super"
)

const (
	// upstreamWait is how long a call for changes of the upstreams waits; it bounds how late a connection that fell silent is noticed.
	upstreamWait = 2 * time.Second
	// readRate is how many calls a second all hosts together make for changes of one table that come one after the other.
	readRate = 250
	// gatherShare is the part of the time in which a gone upstream has to be forgotten for which changes are gathered at the most.
	gatherShare = 0.15
	// planShare is the part of the lease on keys for which a call for changes of the configuration waits, so that most of the lease is left when the platform falls silent.
	planShare = 0.3
	// hostsWait is the same for the table of hosts, which may be old.
	hostsWait = 15 * time.Second
	// keySlack is how much sooner than allowed a key is no longer trusted.
	keySlack = 250 * time.Millisecond
	// drainShare and graceShare are the parts of the grace for which a stopping host goes on taking requests, and after which it ends.
	drainShare = 0.36
	graceShare = 0.92
	// retryShare is the part of the retry budget that is used, as the hosts count by themselves.
	retryShare = 0.85
	// hostRetry is how often a host tries to tell the others of itself.
	hostRetry = 500 * time.Millisecond
	// usualTime is what a request is expected to take at an upstream that has not served any.
	usualTime = 100 * time.Millisecond
	// headerTimeout and idleTimeout bound a caller's connection.
	headerTimeout = 10 * time.Second
	// maxHeader bounds a caller's headers, in bytes, whatever the configuration allows, as each connection may hold as many.
	maxHeader   = 256 << 10
	idleTimeout = 5 * time.Minute
)

// Adapter is what the relay needs of a platform.
type Adapter struct {
	// Configurations, Upstreams and Hosts are tables of its store, and ConfigKey the row of the newest configuration.
	Configurations follow.Source
	ConfigKey      string
	Upstreams      follow.Source
	Hosts          HostTable
	Plan           func(value []byte) (*plan.Plan, error)
	Upstream       follow.Decode
	Headers        flow.Headers
	Workers        batch.Caller
}

// HostTable is the table in which the hosts tell of themselves.
type HostTable interface {
	follow.Source
	// Put writes a row.
	Put(ctx context.Context, key string, value []byte) error
	// Remove deletes a row.
	Remove(ctx context.Context, key string) error
}

// Relay holds the parts of the daemon.
type Relay struct {
	common.Deps
	settings setup.Relay
	adapter  Adapter
	plans    *plan.Holder
	members  *follow.Members
	lease    *grant.Lease
	table    *route.Table
	keeper   *batch.Keeper
	roster   *hosts.Roster
	peers    *hosts.Peers
	flow     *flow.Service
	callers  *serve.Graceful
	meter    *meter.Meter
	// syncing is held while the routing table and the queues are brought up to date.
	syncing sync.Mutex
	// synced says that the routing table and the queues have the upstreams of a configuration.
	synced atomic.Bool
}

// New returns a daemon on the platform of the adapter.
func New(deps common.Deps, s setup.Relay, a Adapter) *Relay {
	r := &Relay{
		Deps:     deps,
		settings: s,
		adapter:  a,
		plans:    &plan.Holder{},
		lease:    grant.New(grant.Boot, s.Keys.Revoke.D()-keySlack),
		table:    route.New(s.Host.Domain),
		keeper:   batch.NewKeeper(deps, a.Workers),
		meter:    meter.New(),
	}
	r.members = follow.NewMembers(deps, a.Upstream, s.Upstreams.Forget.D(), r.sync)
	r.roster = hosts.NewRoster(deps, r.self())
	r.peers = hosts.NewPeers(deps, s.Listen.Peers, r.roster, r.keeper)
	r.keeper.OnSpent(r.peers.Release)
	r.flow = &flow.Service{
		Deps:    deps.WithPart("flow"),
		Plans:   r.plans,
		Table:   r.table,
		Sender:  send.New(),
		Workers: r.peers,
		Crashes: hosts.NewCrashes(deps, r.peers),
		Lease:   r.lease,
		Headers: a.Headers,
		Budget: flow.Budget{
			Ratio: s.Retry.Ratio * retryShare,
			Extra: s.Retry.Extra * retryShare,
		},
		Meter: r.meter,
		Hosts: r.roster.Count,
	}
	grace := s.Stop.Grace.D()
	drain := time.Duration(drainShare * float64(grace))
	r.callers = serve.New(deps.WithPart("callers"), s.Listen.Callers, r.flow, serve.Limits{
		HeaderTimeout: headerTimeout,
		IdleTimeout:   idleTimeout,
		HeaderBytes:   maxHeader,
		DrainWait:     drain,
		DrainTimeout:  time.Duration(graceShare*float64(grace)) - drain,
	}, serve.WithLeave(r.leave))
	return r
}

func (r *Relay) self() hosts.Host {
	return hosts.Host{
		Name:   r.settings.Host.Name,
		Addr:   r.settings.Listen.Peers,
		Domain: r.settings.Host.Domain,
		Power:  r.settings.Host.Power,
	}
}

// Run runs the daemon until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	plans := follow.NewPlans(r.Deps, r.adapter.ConfigKey, r.adapter.Plan, r.plans, r.sync)
	tree := super.New(r.WithPart("root"), super.WithParts(
		follow.NewFeed(r.Deps, "configurations", r.adapter.Configurations, plans, r.planWait(), follow.WithConfirm(r.confirm), follow.WithGather(r.gather)),
		follow.NewFeed(r.Deps, "upstreams", r.adapter.Upstreams, r.members, upstreamWait,
			follow.WithOutage(r.members.Lost, r.members.Back), follow.WithGather(r.gather)),
		follow.NewFeed(r.Deps, "hosts", r.adapter.Hosts, r.roster, hostsWait, follow.WithGather(r.gather)),
		r.peers,
		super.Func{
			Label: "presence",
			Body:  r.present,
		},
		super.Func{
			Label: "ready",
			Body:  r.plainServer("ready", r.settings.Listen.Ready, r.readyHandler()).Run,
		},
		super.Func{
			Label: "metrics",
			Body:  r.plainServer("metrics", r.settings.Listen.Metrics, r.metrics()).Run,
		},
		super.Func{
			Label: "callers",
			Body:  r.callers.Run,
		},
	))
	if err := tree.Run(ctx, func() { r.Log.Info("Started.") }); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

func (r *Relay) planWait() time.Duration {
	return time.Duration(planShare * float64(r.settings.Keys.Revoke.D()))
}

// gather is how long changes of a table are gathered: the more hosts there are, the longer, as each change is told to all of them.
func (r *Relay) gather() time.Duration {
	most := time.Duration(gatherShare * float64(r.settings.Upstreams.Forget.D()))
	return min(most, time.Duration(r.roster.Count())*time.Second/readRate)
}

// plainServer returns a server that has nothing to drain.
func (r *Relay) plainServer(part, addr string, h http.Handler) *serve.Graceful {
	return serve.New(r.WithPart(part), addr, h, serve.Limits{
		HeaderTimeout: headerTimeout,
	})
}

// confirm extends the lease on keys from before the call that the returned function follows.
func (r *Relay) confirm() func() {
	asked := r.lease.Start()
	return func() {
		if r.plans.Current() != nil {
			r.lease.Confirm(asked)
		}
	}
}

// sync brings the plan and the upstreams into the routing table and the queues.
func (r *Relay) sync() {
	// What was read last has to be brought in last, whichever change comes from where.
	r.syncing.Lock()
	defer r.syncing.Unlock()
	p := r.plans.Current()
	if p == nil {
		return
	}
	loaded := r.members.Loaded()
	ups := r.members.List()
	specs := make([]route.PoolSpec, 0, len(p.Pools))
	for _, pool := range p.Pools {
		slots := 1
		if pool.Engine != nil {
			slots = pool.Engine.Slots
		}
		specs = append(specs, route.PoolSpec{
			Name:     pool.Name,
			Slots:    slots,
			Expected: usualTime,
		})
	}
	r.table.Sync(specs, ups, r.roster.Count())
	r.keeper.Sync(p, ups)
	if loaded {
		r.synced.Store(true)
	}
}

// present tells the other hosts of this one, and takes it back as the host stops.
func (r *Relay) present(ctx context.Context, up func()) error {
	up()
	value, err := json.Marshal(r.self())
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	for {
		err := r.adapter.Hosts.Put(ctx, r.Host, value)
		if err == nil {
			break
		}
		r.Log.WithError(err).Info("Other hosts were not told of this one. Trying again.")
		if !common.Sleep(ctx, hostRetry) {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

// leave takes this host out of the table of hosts, so that others stop to send it work.
func (r *Relay) leave() {
	r.roster.Leave()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := r.adapter.Hosts.Remove(ctx, r.Host); err != nil {
			r.Log.WithError(err).Info("Row of this host was not removed.")
		}
	}()
}
