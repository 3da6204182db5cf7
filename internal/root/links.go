package root

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/store"
	"github.com/cornelwing/cornelwing/internal/root/view"
)

const (
	// syncEvery is how often members and configuration are brought into the routing table.
	syncEvery = 100 * time.Millisecond
	// listEvery is the least time between two reads of the host list.
	listEvery = time.Second
	// listBudget is what all hosts together spend on reading the list, in reads a second.
	listBudget = 100
)

// hosts returns the number of live hosts.
func (r *Root) hosts() int {
	return r.registry.LiveCount(r.Now())
}

// members returns the number of hosts that share the limits of accounts.
func (r *Root) members() int {
	return r.registry.Members(r.Now())
}

func (r *Root) listPause() time.Duration {
	return max(listEvery, time.Second*time.Duration(r.hosts())/listBudget)
}

// readList takes the platform's list of hosts.
func (r *Root) readList(ctx context.Context) {
	list, err := r.platform.Hosts(ctx, r.registry.List().Version)
	if errors.Is(err, store.ErrNotModified) {
		return
	}
	if err != nil {
		r.WithPart("list").Log.WithError(err).Debug("Host list cannot be read.")
		return
	}
	if r.registry.UpdateList(list) {
		r.syncTable(ctx)
	}
}

// syncTable brings the members and the pools of the configuration into the routing table.
func (r *Root) syncTable(context.Context) {
	rev, ok := r.holder.Current()
	if !ok {
		return
	}
	now := r.Now()
	specs := make([]route.PoolSpec, 0, len(rev.Document.Pools))
	for _, p := range rev.Document.Pools {
		specs = append(specs, route.PoolSpec{
			Name:     p.Name,
			Slots:    p.Slots,
			Expected: rev.Document.Expected(p.Name),
		})
	}
	ups := r.registry.Upstreams(now)
	for i := range ups {
		ups[i].Leaving = ups[i].Leaving || slices.Contains(rev.Document.Drained, ups[i].Name)
	}
	r.table.Sync(specs, ups, r.hosts())
	members := make(map[string]bool, len(ups))
	for _, u := range ups {
		members[u.Addr] = true
	}
	r.reach.Forget(func(addr string) bool { return members[addr] })
	if len(ups) > 0 {
		r.synced.Store(rev.Number)
	}
}

// unready says why the balancer should send nothing here, or "".
func (r *Root) unready() string {
	if r.holder.Number() == 0 {
		return "no configuration: neither the platform nor a peer could be asked yet"
	}
	if r.synced.Load() == 0 {
		return "no upstreams are known: neither the platform nor a peer could be asked yet"
	}
	return ""
}

func (r *Root) onLoad(rep loads.Report) {
	r.table.Report(rep.Upstream, rep.Load(), rep.Time())
}

// leaving spreads an upstream's own word that it is leaving.
func (r *Root) leaving(upstream string) {
	now := r.Now()
	r.registry.ApplyLeaveNotice(now, view.LeaveNotice{
		Upstream:  upstream,
		At:        now.UnixMilli(),
		IsLeaving: true,
	})
	r.syncTable(context.Background())
}

// leave tells the peers that this host is leaving.
func (r *Root) leave() {
	r.registry.SetLeaving()
	r.push(context.Background())
}

// push tells urgent news to the peers.
func (r *Root) push(ctx context.Context) {
	if r.rounds != nil {
		r.rounds.Push(ctx)
	}
}

// alive probes an upstream over a connection of its own.
func (r *Root) alive(ctx context.Context, addr string) bool {
	_, err := r.reach.Probe(ctx, addr)
	return err == nil
}

// mine reports whether suspects are tried on the upstream by this host alone: those of a pool go round the live hosts.
func (r *Root) mine(upstream string) bool {
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

// nonce returns a new mark for a write of the lease.
func nonce() string {
	var b [8]byte
	// The source of the standard library never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// burning reports whether this host misses the objective now.
func (r *Root) burning() bool {
	rev, ok := r.holder.Current()
	return ok && r.front.Tally().Burning(r.Now(), rev.Document.Objective.Attainment)
}

// leads reports whether this host holds the lease.
func (r *Root) leads() bool {
	_, ok := r.lease.MayOrder()
	return ok
}
