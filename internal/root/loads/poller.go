package loads

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/super"
)

const (
	// pollInterval is the time between two reads of an upstream's load.
	pollInterval = time.Second
	// maxConcurrentReads is the maximum number of load reads in progress at one time.
	maxConcurrentReads = 64
)

// Reader reads the current load of the upstream at an address.
type Reader interface {
	Load(ctx context.Context, addr string) (stage.Load, error)
}

// Poller reads the loads of the upstreams that are assigned to this host.
type Poller struct {
	common.Deps
	Cache    *Cache
	registry *view.Registry
	reader   Reader
	onReport func(Report)
}

// NewPoller returns a poller. It calls onReport, possibly concurrently, with each report that is newer than the cached one.
func NewPoller(deps common.Deps, cache *Cache, registry *view.Registry, reader Reader, onReport func(Report)) *Poller {
	return &Poller{
		Deps:     deps.WithPart("loads"),
		Cache:    cache,
		registry: registry,
		reader:   reader,
		onReport: onReport,
	}
}

// Part returns the polling of the upstreams as a part for the supervision tree.
func (p *Poller) Part() super.Part {
	return super.Every("loads", func() time.Duration { return pollInterval }, p.tick)
}

// tick reads the load of each upstream that is assigned to this host once. It returns when all reads have ended.
func (p *Poller) tick(ctx context.Context) {
	now := p.Now()
	live := p.registry.Live(now)
	var g errgroup.Group
	g.SetLimit(maxConcurrentReads)
	for _, u := range p.registry.Upstreams(now) {
		if !IsPoller(p.Host, u.Name, candidates(live, u.Domain)) {
			continue
		}
		if !p.servesDomain(live, u.Domain) {
			continue
		}
		g.Go(func() error {
			p.poll(ctx, u)
			return nil
		})
	}
	// Wait returns nil: the reads return no error, and poll logs a failed read.
	_ = g.Wait()
}

// servesDomain reports whether domain is this host's failure domain or contains no live host.
func (p *Poller) servesDomain(live []view.Peer, domain string) bool {
	return domain == p.Domain || len(inDomain(live, domain)) == 0
}

// candidates returns the names of the hosts from which the pollers of an upstream in domain are selected:
// the live hosts in the domain, or all live hosts if there are none.
func candidates(live []view.Peer, domain string) []string {
	if in := inDomain(live, domain); len(in) > 0 {
		return in
	}
	names := make([]string, 0, len(live))
	for _, h := range live {
		names = append(names, h.Name)
	}
	return names
}

func inDomain(live []view.Peer, domain string) []string {
	var names []string
	for _, h := range live {
		if h.Domain == domain {
			names = append(names, h.Name)
		}
	}
	return names
}

func (p *Poller) poll(ctx context.Context, u route.Upstream) {
	load, err := p.reader.Load(ctx, u.Addr)
	if err != nil {
		p.Log.WithError(err).Debugf("Load of upstream %s cannot be read.", u.Name)
		return
	}
	now := p.Now()
	p.registry.ApplyLeaveNotice(now, view.LeaveNotice{
		Upstream:  u.Name,
		At:        now.UnixMilli(),
		IsLeaving: load.Leaving,
	})
	r := Report{
		Upstream: u.Name,
		Busy:     load.Busy,
		Queued:   load.Queued,
		Slots:    load.Slots,
		At:       now.UnixMilli() - load.AgeMS,
	}
	if p.Cache.Put(r) {
		p.onReport(r)
	}
}
