package root

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cornelwing/cornelwing/internal/certs"
	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/reach"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/orders"
	"github.com/cornelwing/cornelwing/internal/root/orders/lease"
	"github.com/cornelwing/cornelwing/internal/root/peers"
	"github.com/cornelwing/cornelwing/internal/root/report"
	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/internal/root/sweep"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/internal/super"
)

// Root holds the parts of one daemon.
type Root struct {
	common.Deps
	settings  setup.Settings
	platform  *store.Client
	holder    *watch.Holder
	revisions *watch.Revisions
	registry  *view.Registry
	loads     *loads.Cache
	table     *route.Table
	reach     *reach.Client
	tracker   *crash.Tracker
	keeper    *claim.Keeper
	writer    *writer
	runner    *chain.Runner
	admitter  *front.Admitter
	front     *front.Server
	admin     *admin.Server
	mesh      *peers.Mesh
	rounds    *peers.Gossip
	certs     peers.Certs
	lease     *lease.Keeper
	orders    *orders.Orderer
	report    *report.Keeper
	restarts  restarts
	// synced is the revision that the routing table was last made from, once it holds upstreams.
	synced atomic.Int64
}

// Option changes a Root under construction.
type Option func(*Root)

// WithCerts sets the certificates for peers in place of the files that the settings name.
func WithCerts(c peers.Certs) Option {
	return func(r *Root) {
		r.certs = c
	}
}

// New returns a daemon with the settings.
func New(deps common.Deps, s setup.Settings, opts ...Option) (*Root, error) {
	r := &Root{
		Deps:     deps,
		settings: s,
		holder:   watch.NewHolder(),
		loads:    loads.NewCache(),
		table:    route.New(s.Host.Domain),
		reach:    reach.New(),
		tracker:  crash.NewTracker(),
	}
	for _, o := range opts {
		o(r)
	}
	if r.certs == nil && s.Peers.Secure() {
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
	r.writer = newWriter(r.Deps, r.registry)
	r.keeper = claim.New(r.Deps, r.platform, r.hosts, claim.WithForwarder(r.writer))
	r.admitter = front.NewAdmitter(r.Deps, r.table, r.hosts, r.members, s.Limits.QueueLimit)
	r.buildPeers()
	r.runner = chain.New(r.Deps, r.table, r.reach,
		chain.WithSuspects(crash.NewGuard(r.Deps, r.tracker, r.alive, r.mine, func(ctx context.Context, _ crash.Mark) { r.push(ctx) })),
		chain.WithLeaving(r.leaving))
	r.front = front.New(r.Deps, s.Listen.Callers, s.Limits, r.holder, r.admitter, r.keeper, r.runner, front.WithLeave(r.leave), front.WithReady(r.unready))
	r.lease = lease.NewKeeper(r.Deps, r.platform, "orders", lease.New(s.Host.Name, lease.DefaultTerms(), nonce))
	members := func() []route.Upstream { return r.registry.Upstreams(r.Now()) }
	r.orders = orders.New(r.Deps, r.lease, r.reach, r.holder, members, r.burning)
	r.report = report.New(r.Deps, r.platform, r.front.Tally().Take, r.liveNames)
	r.admin = admin.New(&admin.Service{
		Deps:      r.Deps,
		Revisions: r.revisions,
		Holder:    r.holder,
		Registry:  r.registry,
		Tally:     r.front.Tally(),
		Out:       r.platform.Out,
		Orders:    r.orders,
		Store:     r.platform,
	}, s.Listen.Operators, s.Operators)
}

func (r *Root) buildPeers() {
	if r.certs == nil {
		return
	}
	state := &peers.State{
		Deps:         r.WithPart("peers"),
		Registry:     r.registry,
		Holder:       r.holder,
		Loads:        r.loads,
		Marks:        r.tracker,
		OnLoad:       r.onLoad,
		CommitWrites: r.keeper.Serve,
	}
	r.mesh = peers.NewMesh(r.Deps, state, r.certs, r.settings.Listen.Peers)
	r.writer.mesh = r.mesh
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.rounds = peers.NewGossip(r.Deps, r.registry, r.mesh, r.settings.Peers.Seeds, r.settings.Peers.Every.D(), rng)
}

// Run runs the daemon until ctx ends, and calls ready once every part is up.
func (r *Root) Run(ctx context.Context, ready func()) error {
	parts := []super.Part{
		r.keeper,
		r.report,
	}
	if r.mesh == nil {
		r.Log.Warn("Peers have no certificates in the settings. This host works alone.")
	} else {
		parts = append(parts, r.mesh, r.rounds.Part())
	}
	parts = append(parts,
		super.Every("list", r.listPause, r.readList),
		watch.NewWatcher(r.revisions, r.holder, r.hosts).Part(),
		super.Every("table", func() time.Duration { return syncEvery }, r.syncTable),
		loads.NewPoller(r.Deps, r.loads, r.registry, r.reach, r.onLoad).Part(),
		r.lease,
		r.orders.Part(),
		sweep.New(r.Deps, r.platform, r.leads).Part(),
		r.admin,
		r.front,
	)
	tree := super.New(r.WithPart("root"), super.WithParts(parts...), super.WithRestartHook(r.restarts.add))
	if err := tree.Run(ctx, ready); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// Callers returns the address for callers.
func (r *Root) Callers() string {
	return r.front.Addr()
}

// Operators returns the address for operators.
func (r *Root) Operators() string {
	return r.admin.Addr()
}

// Ready reports whether the host can serve callers.
func (r *Root) Ready() bool {
	return r.unready() == ""
}

// Peers returns the address for peers, or "" where the host works alone.
func (r *Root) Peers() string {
	if r.mesh == nil {
		return ""
	}
	return r.mesh.Addr()
}
