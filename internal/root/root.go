package root

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cornelwing/cornelwing/internal/certs"
	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/orders"
	"github.com/cornelwing/cornelwing/internal/root/orders/lease"
	"github.com/cornelwing/cornelwing/internal/root/peers"
	"github.com/cornelwing/cornelwing/internal/root/report"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/internal/root/sweep"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/internal/super"
)

// Root contains the parts of one daemon.
type Root struct {
	common.Deps
	settings       setup.Settings
	platform       *store.Client
	active         *watch.Active
	revisions      *watch.Revisions
	registry       *view.Registry
	loads          *loads.Cache
	table          *route.Table
	reach          *reach.Client
	tracker        *crash.Tracker
	claims         *claim.Manager
	claimForwarder *claimForwarder
	runner         *chain.Runner
	admitter       *front.Admitter
	front          *front.Server
	admin          *admin.Server
	mesh           *peers.Mesh
	gossip         *peers.Gossip
	certs          peers.Certs
	lease          *lease.Manager
	orders         *orders.Controller
	report         *report.Manager
	memory         *guard.Memory
	conns          *guard.Conns
	restartCounts  restartCounts
	// syncedRevision is the number of the revision from which the routing table was last updated. It is 0 until the table has upstreams.
	syncedRevision atomic.Int64
}

// Option configures a Root in New.
type Option func(*Root)

// WithCerts sets the certificates for connections with peers. They replace the certificate files of the settings.
func WithCerts(c peers.Certs) Option {
	return func(r *Root) {
		r.certs = c
	}
}

// New returns a daemon with the settings. It fails if the certificates for peers cannot be loaded.
func New(deps common.Deps, s setup.Settings, opts ...Option) (*Root, error) {
	r := &Root{
		Deps:     deps,
		settings: s,
		active:   watch.NewActive(),
		loads:    loads.NewCache(),
		table:    route.New(s.Host.Domain),
		reach:    reach.New(),
		tracker:  crash.NewTracker(),
	}
	machine := guard.MachineOf(s.Host.MemoryMB, s.Host.Descriptors)
	r.memory = guard.NewMemory(machine.Memory, deps.Now)
	r.conns = guard.NewConns(machine.CallerConns())
	for _, o := range opts {
		o(r)
	}
	if r.certs == nil && s.Peers.HasCertificates() {
		source, err := certs.NewSource(certs.Files{
			CA:   s.Peers.CA,
			Cert: s.Peers.Cert,
			Key:  s.Peers.Key,
		}, peers.ALPN)
		if err != nil {
			return nil, fmt.Errorf("load peers' certificates: %w", err)
		}
		r.certs = source
	}
	r.build()
	r.publish()
	return r, nil
}

func (r *Root) build() {
	s := r.settings
	r.platform = store.New(r.Deps, s.Platform.URL, store.WithTimeout(s.Platform.Timeout.D()))
	r.revisions = watch.NewRevisions(r.Deps, r.platform)
	r.registry = view.NewRegistry(view.Peer{
		Name:   s.Host.Name,
		Addr:   s.Listen.Peers,
		Domain: s.Host.Domain,
	})
	r.claimForwarder = newClaimForwarder(r.Deps, r.registry)
	r.claims = claim.New(r.Deps, r.platform, r.liveCount, claim.WithForwarder(r.claimForwarder))
	r.admitter = front.NewAdmitter(r.Deps, r.table, r.liveCount, r.members, s.Limits.QueueLimit)
	r.buildPeers()
	r.runner = chain.New(r.Deps, r.table, r.reach,
		chain.WithCrashGuard(crash.NewGuard(r.Deps, r.tracker, r.isAlive, r.maySendSuspectedRequest, func(ctx context.Context, _ crash.Mark) { r.push(ctx) })),
		chain.WithOnLeaving(r.onUpstreamLeaving))
	r.front = front.New(r.Deps, s.Listen.Callers, s.Limits, r.active, r.admitter, r.claims, r.runner, front.WithLeaveHook(r.announceLeaving), front.WithReady(r.notReadyReason), front.WithBounds(r.conns, r.memory))
	r.lease = lease.NewManager(r.Deps, r.platform, "orders", lease.New(s.Host.Name, lease.DefaultTiming(), newNonce))
	members := func() []route.Upstream { return r.registry.Upstreams(r.Now()) }
	r.orders = orders.New(r.Deps, r.lease, r.reach, r.active, members, r.missesObjective)
	r.report = report.New(r.Deps, r.platform, r.front.Tally().TakeDelta, r.liveNames)
	r.admin = admin.New(&admin.Service{
		Deps:      r.Deps,
		Revisions: r.revisions,
		Active:    r.active,
		Registry:  r.registry,
		Tally:     r.front.Tally(),
		Outage:    r.platform.Outage,
		Orders:    r.orders,
		Store:     r.platform,
	}, s.Listen.Operators, s.Operators)
}

// buildPeers constructs the gossip with peers, if the settings contain certificates for it.
func (r *Root) buildPeers() {
	if r.certs == nil {
		return
	}
	state := &peers.State{
		Deps:            r.WithPart("peers"),
		Registry:        r.registry,
		Active:          r.active,
		Loads:           r.loads,
		Marks:           r.tracker,
		OnLoad:          r.onLoad,
		CommitForwarded: r.claims.CommitForwarded,
	}
	r.mesh = peers.NewMesh(r.Deps, state, r.certs, r.settings.Listen.Peers)
	r.claimForwarder.mesh = r.mesh
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.gossip = peers.NewGossip(r.Deps, r.registry, r.mesh, r.settings.Peers.Seeds, r.settings.Peers.Every.D(), rng)
}

// Run runs the daemon until ctx ends, and calls ready once all parts are running.
func (r *Root) Run(ctx context.Context, ready func()) error {
	parts := []super.Part{
		r.claims,
		r.report,
	}
	if r.mesh == nil {
		r.Log.Warn("The settings contain no certificates for peers. This host runs without peers.")
	} else {
		parts = append(parts, r.mesh, r.gossip.Part())
	}
	bounds := guard.NewReport(r.memory, r.conns)
	parts = append(parts,
		super.Every("bounds", func() time.Duration { return guard.ReportInterval }, func(context.Context) { bounds.Log(r.Log) }),
		super.Every("list", r.listInterval, r.refreshHostList),
		watch.NewWatcher(r.revisions, r.active, r.liveCount).Part(),
		super.Every("table", func() time.Duration { return syncInterval }, r.syncTable),
		loads.NewPoller(r.Deps, r.loads, r.registry, r.reach, r.onLoad).Part(),
		r.lease,
		r.orders.Part(),
		sweep.New(r.Deps, r.platform, r.isLeader).Part(),
		r.admin,
		r.front,
	)
	tree := super.New(r.WithPart("root"), super.WithParts(parts...), super.WithRestartHook(r.restartCounts.add))
	if err := tree.Run(ctx, ready); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// Callers returns the address on which the host listens to callers.
func (r *Root) Callers() string {
	return r.front.Addr()
}

// OperatorsAddr returns the address on which the host listens to operators.
func (r *Root) OperatorsAddr() string {
	return r.admin.Addr()
}

// Ready reports whether the host has a configuration and upstreams to serve callers.
func (r *Root) Ready() bool {
	return r.notReadyReason() == ""
}

// PeersAddr returns the address on which the host listens to peers, or "" if it runs without peers.
func (r *Root) PeersAddr() string {
	if r.mesh == nil {
		return ""
	}
	return r.mesh.Addr()
}
