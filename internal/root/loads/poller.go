package loads

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/super"
)

const (
	// pollEvery is the time between two reads of an upstream's load.
	pollEvery = time.Second
	// atOnce bounds the reads that are under way together.
	atOnce = 64
)

// Reader reads an upstream's load report.
type Reader interface {
	Load(ctx context.Context, addr string) (stage.Load, error)
}

// Poller reads the load reports of the upstreams that fall to this host.
type Poller struct {
	common.Deps
	Cache    *Cache
	registry *view.Registry
	reader   Reader
	onNew    func(Report)
}

// NewPoller returns a poller; onNew is given each report that is news.
func NewPoller(deps common.Deps, cache *Cache, registry *view.Registry, reader Reader, onNew func(Report)) *Poller {
	return &Poller{
		Deps:     deps.WithPart("loads"),
		Cache:    cache,
		registry: registry,
		reader:   reader,
		onNew:    onNew,
	}
}

// Part returns the poller as a supervised part.
func (p *Poller) Part() super.Part {
	return super.Every("loads", func() time.Duration { return pollEvery }, p.tick)
}

// tick reads the loads of this host's upstreams once.
func (p *Poller) tick(ctx context.Context) {
	now := p.Now()
	live := p.registry.Live(now)
	var g errgroup.Group
	g.SetLimit(atOnce)
	for _, u := range p.registry.Upstreams(now) {
		if !Owns(p.Host, u.Name, near(live, u.Domain)) {
			continue
		}
		if !p.reaches(live, u.Domain) {
			continue
		}
		g.Go(func() error {
			p.read(ctx, u)
			return nil
		})
	}
	// The reads report nothing but to the cache.
	_ = g.Wait()
}

// reaches reports whether the upstream's failure domain is this host's, or has no live host of its own.
func (p *Poller) reaches(live []view.Peer, domain string) bool {
	return domain == p.Domain || len(inDomain(live, domain)) == 0
}

// near returns the hosts among which an upstream's owners are chosen.
func near(live []view.Peer, domain string) []string {
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

func (p *Poller) read(ctx context.Context, u route.Upstream) {
	load, err := p.reader.Load(ctx, u.Addr)
	if err != nil {
		p.Log.WithError(err).Debugf("Load of %s cannot be read.", u.Name)
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
		p.onNew(r)
	}
}
