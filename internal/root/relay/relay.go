package relay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root/relay/backup"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/fanout"
	"github.com/cornelwing/cornelwing/internal/root/relay/flow"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/grant"
	"github.com/cornelwing/cornelwing/internal/root/relay/hosts"
	"github.com/cornelwing/cornelwing/internal/root/relay/links"
	"github.com/cornelwing/cornelwing/internal/root/relay/meter"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/root/relay/vital"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/internal/super"
)

const (
	// upstreamPollTimeout is how long a call for upstream changes waits. It bounds the time until an unresponsive connection is detected.
	upstreamPollTimeout = 2 * time.Second
	// tableReadRate is the rate at which all hosts together read a table that changes constantly, in calls per second.
	tableReadRate = 250
	// batchPauseShare bounds the pause for batching table changes, as a share of the time within which a removed upstream must be forgotten.
	batchPauseShare = 0.15
	// configPollShare is how long a call for configuration changes waits, as a share of the time after which a revoked key must be rejected or a failure domain must be evacuated, whichever is shorter. Most of the key lease then remains when the platform becomes unreachable.
	configPollShare = 0.3
	// hostPollTimeout is how long a call for changes of the host table waits. It is longer than upstreamPollTimeout because the local copy of the host table may be stale.
	hostPollTimeout = 15 * time.Second
	// hostsWithin is the time within which a change of the host table must be known. Messages between hosts show earlier who is down or back.
	hostsWithin = 31 * time.Second
	// keyLeaseMargin is how much shorter the key lease is than the configured time after which a revoked key must be rejected.
	keyLeaseMargin = 250 * time.Millisecond
	// drainWaitShare and drainEndShare divide the termination grace period: a stopping host accepts requests for the first share of it and must have ended its requests by the second.
	drainWaitShare = 0.36
	drainEndShare  = 0.92
	// answerShare is the share of the termination grace period for the final responses of requests that have not ended by then. It ends at drainEndShare.
	answerShare = 0.02
	// backupRank is the key by which the hosts are ranked for the backups that one of them writes for all.
	backupRank = "backup/versions"
	// configurationsTable and upstreamsTable are the names by which hosts ask each other for these tables.
	configurationsTable = "configurations"
	upstreamsTable      = "upstreams"
	// missedHeartbeats is after how many heartbeats without a write the row of an upstream is removed, and heartbeatMargin how much later that may be.
	missedHeartbeats = 3
	heartbeatMargin  = 500 * time.Millisecond
	// retryBudgetShare is the share of the configured retry budget that is used, as each host counts only its own retries.
	retryBudgetShare = 0.85
	// defaultServiceTime is the expected time of a request at an upstream that has served none yet.
	defaultServiceTime = 100 * time.Millisecond
	// headerTimeout and idleTimeout bound how long a caller's connection may take to send its headers and may stay idle.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a caller's request headers regardless of the configuration, as each connection may hold that many bytes.
	maxHeaderBytes = 256 << 10
	idleTimeout    = 5 * time.Minute
	// probeIdleTimeout and maxProbeHeaderBytes are the same for the listeners that only answer probes.
	probeIdleTimeout    = time.Minute
	maxProbeHeaderBytes = 16 << 10
)

// Adapter provides the platform-specific parts of a relay.
type Adapter struct {
	// Eras tracks the era of the platform's store.
	Eras *follow.Eras
	// Configurations, Upstreams and Hosts are tables of the platform's store. ConfigKey is the key of the row with the newest configuration.
	Configurations follow.Source
	ConfigKey      string
	Upstreams      follow.Source
	Hosts          HostTable
	// Backups holds what must outlive all hosts.
	Backups backup.Table
	// Plan decodes a row of Configurations, and Upstream a row of Upstreams.
	Plan     func(value []byte) (*plan.Plan, error)
	Upstream follow.DecodeUpstream
	// Cold returns how much longer an upstream stays cold according to its row.
	Cold func(value []byte) time.Duration
	// Evacuation decodes a row of Configurations that may be an order to evacuate a failure domain.
	Evacuation  follow.DecodeEvacuation
	HeaderCodec flow.HeaderCodec
	// Workers returns the client for workers that connects by the dialer.
	Workers func(d *links.Dialer) batch.WorkerClient
	// Starts returns the client that asks upstreams when they started, and connects by the dialer.
	Starts func(d *links.Dialer) starts.Client
}

// HostTable is the table in which hosts register themselves.
type HostTable interface {
	follow.Source
	// Put writes a row.
	Put(ctx context.Context, key string, value []byte) error
	// Remove deletes a row.
	Remove(ctx context.Context, key string) error
}

// Relay holds the components of the daemon.
type Relay struct {
	common.Deps
	settings setup.Relay
	adapter  Adapter
	plans    *plan.Active
	moves    *plan.Moves
	planSink *follow.PlanSink
	// orders holds the orders to evacuate failure domains, if the settings ask for them.
	orders     *follow.Evacuations
	places     *places
	upstreams  *follow.Upstreams
	lease      *grant.Lease
	recency    *grant.Recency
	table      *route.Table
	dispatcher *batch.Dispatcher
	roster     *hosts.Roster
	peers      *hosts.Peers
	crashes    *hosts.Crashes
	refuter    *hosts.Refuter
	limits     *hosts.Limits
	warmUps    *hosts.WarmUps
	origins    *hosts.Origins
	history    *origin.History
	news       *news
	rounds     *startRounds
	backup     *backup.Backup
	writers    *hosts.Writers
	settlement *settlement
	dialer     *links.Dialer
	witness    *vital.Witness
	starts     *starts.Checker
	tunnels    *hosts.Tunnels
	tables     *hosts.Tables
	flow       *flow.Service
	callers    *serve.Graceful
	machine    guard.Machine
	memory     *guard.Memory
	conns      *guard.Conns
	meter      *meter.Meter
	// configurationTable, upstreamTable and hostTable are read from the store or from the hosts that follow it.
	configurationTable *hosts.Table
	upstreamTable      *hosts.Table
	hostTable          *hosts.Table
	// rowsRewritten counts how often this host wrote its row again after the store was restored.
	rowsRewritten atomic.Int64
	// caughtUp is set once this host has asked the others what a restored store may have lost.
	caughtUp atomic.Bool
	// syncMu serializes updates of the routing table and the queues.
	syncMu sync.Mutex
	// synced is set once the routing table and the queues have been updated with a configuration and the upstreams.
	synced atomic.Bool
}

// New returns a daemon for the platform that the adapter describes.
func New(deps common.Deps, s setup.Relay, a Adapter) *Relay {
	dialer := links.NewDialer(deps)
	r := &Relay{
		Deps:       deps,
		settings:   s,
		adapter:    a,
		plans:      &plan.Active{},
		moves:      &plan.Moves{},
		lease:      grant.New(grant.SinceBoot, s.Keys.Revoke.D()-keyLeaseMargin),
		table:      route.New(s.Host.Domain),
		dialer:     dialer,
		witness:    vital.New(deps, dialer.DialProbe),
		starts:     starts.New(deps, a.Starts(dialer)),
		dispatcher: batch.NewDispatcher(deps, a.Workers(dialer)),
		meter:      meter.New(),
		history:    origin.NewHistory(),
		settlement: &settlement{},
		machine:    guard.MachineOf(s.Host.MemoryMB, s.Host.Descriptors),
	}
	r.recency = grant.NewRecency(r.lease, s.Configurations.Within.D(), grant.WithAsk(r.askForConfirmation))
	r.memory = guard.NewMemory(r.machine.Memory, deps.Now)
	r.conns = guard.NewConns(r.machine.CallerConns())
	a.Eras.OnEnter(func() {
		r.lease.Pause()
		r.orders.EnterEra()
		r.settlement.enter(r.plans.Current() != nil)
	})
	r.planSink = follow.NewPlanSink(deps, a.ConfigKey, a.Plan, r.plans, r.sync, follow.WithPlanAges(r.planAges))
	r.upstreams = follow.NewUpstreams(deps, a.Upstream, s.Upstreams.Forget.D(), r.sync)
	r.upstreams.OnPassed(func() { r.history.Interrupt(deps.Now()) })
	r.rounds = &startRounds{
		Deps:      deps.WithPart("starts"),
		view:      r.upstreams,
		check:     r.starts.Check,
		hostCount: func() int { return r.roster.Count() },
		rounds:    map[string]startRound{},
	}
	r.news = newNews(deps, a, r.upstreams, func() int { return r.roster.Count() })
	r.orders = follow.NewEvacuations(deps, a.Evacuation, r.sync)
	r.places = newPlaces(deps, domainsOf(s), r.orders)
	r.roster = hosts.NewRoster(deps, r.localHost())
	r.peers = hosts.NewPeers(deps, s.Listen.Peers, r.roster, r.dispatcher)
	r.peers.UseDomains(r.places.domains)
	r.peers.ShareKnowledge(knowledge{
		PlanSink:    r.planSink,
		Upstreams:   r.upstreams,
		Evacuations: r.orders,
		settlement:  r.settlement,
	})
	r.peers.ShareLoads(r.table)
	r.dispatcher.OnLeaving(r.upstreams.MarkLeaving)
	r.dispatcher.OnReleased(r.peers.Release)
	r.backup = backup.New(deps, a.Backups, r.history, grant.SinceBoot, func() bool { return r.roster.IsWriter(backupRank) })
	r.backup.UseRoutes(r.moves)
	r.writers = hosts.NewWriters(deps, r.peers, backupRank, r.backup.CanWrite)
	r.tunnels = hosts.NewTunnels(deps, r.peers, dialer)
	r.tables = hosts.NewTables(deps, r.peers, a.Eras, grant.SinceBoot, hosts.WithSharedReads(s.Store.SharedReads))
	r.configurationTable = r.tables.Add(configurationsTable, a.Configurations, fanout.Limits{
		Within: r.configWithin(),
		Wait:   r.configPollTimeout(),
	})
	r.upstreamTable = r.tables.Add(upstreamsTable, a.Upstreams, fanout.Limits{
		Within: s.Upstreams.Forget.D(),
		Wait:   upstreamPollTimeout,
	})
	r.hostTable = r.tables.Add(hosts.HostsTable, a.Hosts, fanout.Limits{
		Within: hostsWithin,
		Wait:   hostPollTimeout,
	})
	r.crashes = hosts.NewCrashes(deps, r.peers, dialer.Reaches)
	r.refuter = hosts.NewRefuter(deps, r.crashes, r.upstreamRanAt)
	r.crashes.SaveWith(r.backup.SaveCrashes)
	r.crashes.SaveSuspectsWith(r.backup.SaveSuspects)
	r.backup.KeepSuspects(r.crashes.Suspects)
	r.backup.OnCrashes(r.crashes.Restore)
	r.backup.OnSettled(r.settlement.noteWritten)
	r.warmUps = r.newWarmUps()
	r.limits = hosts.NewLimits(deps, r.peers, r.warmUps, r.applyLimit)
	r.dispatcher.OnLimit(r.limits.Note)
	r.dispatcher.UsePermits(r.warmUps)
	r.origins = hosts.NewOrigins(deps, r.peers, r.history, r.backup, hosts.WithStopGrace(s.Stop.Grace.D()), hosts.WithNews(r.readNews, r.news.ofHosts))
	r.flow = &flow.Service{
		Deps:          deps.WithPart("flow"),
		Plans:         r.plans,
		Moves:         r.moves,
		Table:         r.table,
		Upstreams:     r.upstreams,
		Limits:        r.limits,
		WarmUps:       r.warmUps,
		PermitClock:   grant.SinceBoot,
		Origins:       r.origins,
		Starts:        r.starts,
		Sender:        send.New(dialer.DialContext, send.WithEndWatch(r.watchEnd)),
		Workers:       r.peers,
		CrashDetector: r.crashes,
		Lease:         r.lease,
		Recency:       r.recency,
		Evacuations:   r.orders,
		HeaderCodec:   a.HeaderCodec,
		Budget: flow.Budget{
			Ratio:        s.Retry.Ratio * retryBudgetShare,
			ExtraRetries: s.Retry.ExtraRetries * retryBudgetShare,
		},
		Meter:     r.meter,
		HostCount: r.roster.Count,
	}
	grace := s.Stop.Grace.D()
	drain := time.Duration(drainWaitShare * float64(grace))
	r.callers = serve.New(deps.WithPart("callers"), s.Listen.Callers, r.flow, serve.Limits{
		HeaderTimeout: headerTimeout,
		IdleTimeout:   idleTimeout,
		HeaderBytes:   maxHeaderBytes,
		DrainWait:     drain,
		DrainTimeout:  time.Duration(drainEndShare*float64(grace)) - drain,
		AnswerTime:    time.Duration(answerShare * float64(grace)),
	}, serve.WithLeaveHook(r.deregister), serve.WithBounds(r.conns, r.memory))
	return r
}

// watchEnd begins to watch an upstream that sends a response without a length or chunks.
func (r *Relay) watchEnd(addr string, isOpen func() bool, checkSender send.SenderCheck) send.EndWatch {
	return r.witness.Watch(addr, isOpen, vital.WithSenderCheck(checkSender))
}

// applyLimit makes the routing table and the queues keep to the limit of an upstream.
func (r *Relay) applyLimit(i route.Incarnation, perSecond float64) {
	r.table.SetLimit(i, perSecond)
	r.dispatcher.SetLimit(i, perSecond)
}

func (r *Relay) localHost() hosts.Host {
	return hosts.Host{
		Name:   r.settings.Host.Name,
		Addr:   r.settings.Listen.Peers,
		Domain: r.settings.Host.Domain,
		Power:  r.settings.Host.Power,
	}
}

// Run runs the daemon until ctx is done.
func (r *Relay) Run(ctx context.Context) error {
	eras := r.adapter.Eras
	restorePause := follow.WithRestorePause(r.restorePause)
	bounds := guard.NewReport(r.memory, r.conns)
	tree := super.New(r.WithPart("root"), super.WithParts(
		follow.NewFeed(r.Deps, eras, configurationsTable, r.news.configurations.Fed(r.configurationTable), r.configurationSinks(), r.configPollTimeout(), follow.WithConfirmation(r.confirmConfiguration), follow.WithBatchPause(r.batchPauseOf(r.configurationTable)), restorePause),
		follow.NewFeed(r.Deps, eras, upstreamsTable, r.news.upstreams.Fed(r.upstreamTable), r.upstreams, upstreamPollTimeout, follow.WithConfirmation(r.confirmUpstreams),
			follow.WithOutage(r.upstreams.OutageStarted, r.upstreams.OutageEnded), follow.WithBatchPause(r.batchPauseOf(r.upstreamTable)), restorePause),
		follow.NewFeed(r.Deps, eras, hosts.HostsTable, r.news.hosts.Fed(r.hostTable), r.roster, hostPollTimeout, follow.WithConfirmation(func() func() { return r.news.hosts.Applied }), follow.WithBatchPause(r.batchPauseOf(r.hostTable)), restorePause),
		r.peers,
		r.backup,
		r.writers,
		r.refuter,
		super.Every("bounds", func() time.Duration { return guard.ReportInterval }, func(context.Context) { bounds.Log(r.Log) }),
		super.Func{
			Label: "presence",
			Body:  r.register,
		},
		super.Func{
			Label: "eras",
			Body:  r.followEras,
		},
		super.Func{
			Label: "ready",
			Body:  r.plainServer("ready", r.settings.Listen.Ready, r.readyHandler()).Run,
		},
		super.Func{
			Label: "metrics",
			Body:  r.plainServer("metrics", r.settings.Listen.Metrics, r.metricsHandler()).Run,
		},
		super.Func{
			Label: "callers",
			Body:  r.callers.Run,
		},
	))
	if err := tree.Run(ctx, func() { r.Log.Info("All components started.") }); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// configWithin returns the time within which every host must know a new configuration or an order to evacuate.
func (r *Relay) configWithin() time.Duration {
	within := r.settings.Configurations.Within.D()
	if evacuate := r.settings.Upstreams.Evacuate.D(); evacuate > 0 {
		within = min(within, evacuate)
	}
	return within
}

func (r *Relay) configPollTimeout() time.Duration {
	shortest := r.settings.Keys.Revoke.D()
	if evacuate := r.settings.Upstreams.Evacuate.D(); evacuate > 0 {
		shortest = min(shortest, evacuate)
	}
	return time.Duration(configPollShare * float64(shortest))
}

// batchPause returns the pause after a call that returned table changes. The pause grows with the number of hosts, as the store sends every change to each of them.
func (r *Relay) batchPause() time.Duration {
	maxPause := time.Duration(batchPauseShare * float64(r.settings.Upstreams.Forget.D()))
	return min(maxPause, time.Duration(r.roster.Count())*time.Second/tableReadRate)
}

// batchPauseOf returns the function that returns the pause after changes of the table: none if another host tells them, which has paused before.
func (r *Relay) batchPauseOf(t *hosts.Table) func() time.Duration {
	return func() time.Duration {
		if t.Heard() {
			return 0
		}
		return r.batchPause()
	}
}

// plainServer returns a server that does not drain its requests when it stops.
func (r *Relay) plainServer(part, addr string, h http.Handler) *serve.Graceful {
	return serve.New(r.WithPart(part), addr, h, serve.Limits{
		HeaderTimeout: headerTimeout,
		IdleTimeout:   probeIdleTimeout,
		HeaderBytes:   maxProbeHeaderBytes,
	}, serve.WithBounds(guard.NewConns(r.machine.ProbeConns()), r.memory))
}

// confirmConfiguration returns a function that extends the key lease from when the store was asked for the configuration, by this host or by the one that told it. It does not if the newest configuration can't be read: it may have taken keys away.
func (r *Relay) confirmConfiguration() func() {
	return func() {
		r.news.configurations.Applied()
		if r.planSink.IsNewest() {
			r.lease.Confirm(r.configurationTable.ConfirmedAt())
		}
	}
}

// askForConfirmation asks the store whether the configuration in force is the newest one, beside the call that waits for changes, and extends the key lease if it is. A change is left to that call.
func (r *Relay) askForConfirmation(ctx context.Context) {
	askedAt := r.lease.RequestTime()
	rows, err := r.news.configurations.Rows(ctx)
	switch {
	case err != nil:
		r.Log.WithError(err).Info("The store did not confirm the configuration for requests that wait.")
	case len(rows) == 0 && r.planSink.IsNewest():
		r.lease.Confirm(askedAt)
	}
}

// planAges returns the ages of what this host knows of the configuration as a row of it comes, before the row's own confirmation counts.
func (r *Relay) planAges() follow.PlanAges {
	before, ok := r.lease.Age()
	if !ok {
		before = -time.Millisecond
	}
	return follow.PlanAges{
		Read:      r.configurationTable.ReadAge(),
		Confirmed: r.configurationTable.ConfirmedAge(),
		Before:    before,
	}
}

// confirmUpstreams returns a function that records when the upstreams were up to date.
func (r *Relay) confirmUpstreams() func() {
	return func() {
		// The clock is read before the age, so that a pause in between makes the time earlier.
		now := r.Now()
		at := now.Add(-r.upstreamTable.ConfirmedAge())
		r.history.Confirm(at)
		r.upstreams.Confirm(at)
		r.news.upstreams.Applied()
	}
}

// readNews returns what has changed in the store of upstreams and configurations, once the upstreams of the pools were asked for their starts.
func (r *Relay) readNews(ctx context.Context, pools []string) (origin.News, error) {
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		r.rounds.ask(ctx, pools)
	}()
	n, err := r.news.read(ctx)
	<-asked
	return n, err
}

// upstreamRanAt returns a time at which the start of an upstream was running according to its row.
func (r *Relay) upstreamRanAt(name string, startedAtMS int64) (time.Time, bool) {
	silence := missedHeartbeats*r.settings.Upstreams.Heartbeat.D() + heartbeatMargin
	return r.upstreams.RanAt(name, startedAtMS, silence)
}

// sync updates the routing table and the queues from the plan and the upstreams.
func (r *Relay) sync() {
	// The lock covers both the reads and the updates. Otherwise a concurrent call could overwrite newer upstreams with those it read earlier.
	r.syncMu.Lock()
	defer r.syncMu.Unlock()
	p := r.plans.Current()
	if p == nil || !r.ordersLoaded() {
		return
	}
	loaded := r.upstreams.Loaded()
	ups := r.places.mark(r.upstreams.List())
	specs := make([]route.PoolSpec, 0, len(p.Pools))
	for _, pool := range p.Pools {
		slots := 1
		if pool.Engine != nil {
			slots = pool.Engine.Slots
		}
		specs = append(specs, route.PoolSpec{
			Name:     pool.Name,
			Slots:    slots,
			Expected: defaultServiceTime,
		})
	}
	r.syncVersions(p, ups)
	r.dialer.Sync(ups)
	// The cold times go first, so that no request is sent to a new upstream without its permit.
	r.warmUps.Sync()
	r.table.Sync(specs, ups, r.roster.Count())
	r.dispatcher.Sync(p, ups)
	if loaded {
		r.synced.Store(true)
	}
}

// syncVersions records the software versions of the upstreams and where the plan sends streams. Where several versions serve a pool or a route now, it has the origins of the streams in progress written to the store.
func (r *Relay) syncVersions(p *plan.Plan, ups []route.Upstream) {
	now := r.Now()
	inDoubt := r.history.Sync(now, ups)
	for _, move := range r.moves.Update(now, p) {
		scope := origin.Scope{
			Pools: append(move.Route.PoolNames(), move.Before...),
		}
		if !r.history.Settled(now, scope) {
			inDoubt = append(inDoubt, move.Before...)
		}
	}
	slices.Sort(inDoubt)
	for _, pool := range slices.Compact(inDoubt) {
		r.origins.SaveOwn(pool)
	}
	r.backup.Wake()
}
