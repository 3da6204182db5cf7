package root

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/internal/root/view"
)

const (
	// syncInterval is the time between two updates of the routing table from the registry and the configuration.
	syncInterval = 100 * time.Millisecond
	// minListInterval is the minimum time between two reads of the host list.
	minListInterval = time.Second
	// listBudget is the maximum rate at which all hosts together read the list, in reads per second.
	listBudget = 100
)

// liveCount returns the number of live hosts that are not leaving.
func (r *Root) liveCount() int {
	return r.registry.LiveCount(r.Now())
}

// members returns the number of hosts that share the rate limits of the client accounts.
func (r *Root) members() int {
	return r.registry.Members(r.Now())
}

// listInterval returns the time between two reads of the host list. It grows with the number of live hosts to keep within listBudget.
func (r *Root) listInterval() time.Duration {
	return max(minListInterval, time.Second*time.Duration(r.liveCount())/listBudget)
}

// refreshHostList reads the platform's host list and updates the registry and the routing table if the list changed.
func (r *Root) refreshHostList(ctx context.Context) {
	list, err := r.platform.Hosts(ctx, r.registry.List().Version)
	if errors.Is(err, store.ErrNotModified) {
		return
	}
	if err != nil {
		r.WithPart("list").Log.WithError(err).Debug("Host list cannot be read from the platform.")
		return
	}
	if r.registry.UpdateList(list) {
		r.syncTable(ctx)
	}
}

// syncTable updates the routing table from the upstreams of the registry and the pools of the configuration.
// It also closes the connections to upstreams that are no longer listed.
func (r *Root) syncTable(context.Context) {
	rev, ok := r.active.Current()
	if !ok {
		return
	}
	now := r.Now()
	pools := make([]route.PoolSpec, 0, len(rev.Document.Pools))
	for _, p := range rev.Document.Pools {
		pools = append(pools, route.PoolSpec{
			Name:     p.Name,
			Slots:    p.Slots,
			Expected: rev.Document.Expected(p.Name),
		})
	}
	upstreams := r.registry.Upstreams(now)
	for i := range upstreams {
		upstreams[i].Leaving = upstreams[i].Leaving || slices.Contains(rev.Document.Drained, upstreams[i].Name)
	}
	r.table.Sync(pools, upstreams, r.liveCount())
	addrs := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		addrs[u.Addr] = true
	}
	r.reach.RemoveNonMembers(func(addr string) bool { return addrs[addr] })
	if len(upstreams) > 0 {
		r.syncedRevision.Store(rev.Number)
	}
}

// notReadyReason returns the reason why the load balancer should send no requests to this host, or "" if it is ready.
func (r *Root) notReadyReason() string {
	if r.active.Number() == 0 {
		return "no configuration: neither the platform nor a peer could be asked yet"
	}
	if r.syncedRevision.Load() == 0 {
		return "no upstreams are known: neither the platform nor a peer could be asked yet"
	}
	return ""
}

func (r *Root) onLoad(report loads.Report) {
	r.table.Report(report.Upstream, report.Load(), report.Time())
}

// onUpstreamLeaving records a notice from an upstream that it is leaving. Gossip spreads the notice to the other hosts.
func (r *Root) onUpstreamLeaving(upstream string) {
	now := r.Now()
	r.registry.ApplyLeaveNotice(now, view.LeaveNotice{
		Upstream:  upstream,
		At:        now.UnixMilli(),
		IsLeaving: true,
	})
	r.syncTable(context.Background())
}

// announceLeaving marks this host as leaving and notifies the peers at once.
func (r *Root) announceLeaving() {
	r.registry.SetLeaving()
	r.push(context.Background())
}

// push sends this host's state to peers immediately, without waiting for the next gossip round.
func (r *Root) push(ctx context.Context) {
	if r.gossip != nil {
		r.gossip.Push(ctx)
	}
}

// isAlive reports whether the upstream answers a probe, which uses a new connection.
func (r *Root) isAlive(ctx context.Context, addr string) bool {
	_, err := r.reach.Probe(ctx, addr)
	return err == nil
}

// maySendSuspectedRequest reports whether this is the only host that may send the given upstream a request that is suspected of crashing upstreams.
// The upstreams of a pool are assigned round-robin to the live hosts.
func (r *Root) maySendSuspectedRequest(upstream string) bool {
	return loads.RoundRobinHost(upstream, r.registry.Upstreams(r.Now()), r.liveNames()) == r.Host
}

// liveNames returns the names of the live hosts.
func (r *Root) liveNames() []string {
	var names []string
	for _, p := range r.registry.Live(r.Now()) {
		names = append(names, p.Name)
	}
	return names
}

// newNonce returns a random value that identifies one write of the lease for orders.
func newNonce() string {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// missesObjective reports whether this host currently misses the objective of the configuration.
func (r *Root) missesObjective() bool {
	rev, ok := r.active.Current()
	return ok && r.front.Tally().MustHaltRollout(r.Now(), rev.Document.Objective.Attainment)
}

// isLeader reports whether this host holds the lease for orders.
func (r *Root) isLeader() bool {
	_, ok := r.lease.MayOrder()
	return ok
}
