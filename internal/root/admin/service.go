package admin

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/tally"
	"github.com/cornelwing/cornelwing/internal/root/orders"
	"github.com/cornelwing/cornelwing/internal/root/report"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// maxHistory is the largest number of revisions in one listing.
const maxHistory = 50

// Service implements the operations of the operators' interface.
type Service struct {
	common.Deps
	Revisions *watch.Revisions
	Holder    *watch.Holder
	Registry  *view.Registry
	Tally     *tally.Counter
	// Out reports whether the platform counts as unreachable, and for how long no calls are sent to it.
	Out    func() (time.Duration, bool)
	Orders *orders.Orderer
	Store  report.Store
}

// Apply checks the document and puts it in force; a dry run only checks it.
func (d *Service) Apply(ctx context.Context, author string, c Change) (ChangeResult, error) {
	doc, err := config.Parse("document", []byte(c.Document))
	if err != nil {
		return ChangeResult{}, fmt.Errorf("check document: %w", err)
	}
	if c.DryRun {
		return ChangeResult{
			Revision: config.Revision{
				Number:   c.Base,
				ChangeID: c.ChangeID,
				Author:   author,
				Document: doc,
			},
			DryRun: true,
		}, nil
	}
	rev, err := d.Revisions.Apply(ctx, watch.Change{
		ID:       c.ChangeID,
		Author:   author,
		Base:     c.Base,
		Document: doc,
	})
	if err != nil {
		return ChangeResult{}, fmt.Errorf("apply document: %w", err)
	}
	if d.Holder.Offer(rev) {
		d.Log.Infof("Revision %d by %s is accepted.", rev.Number, author)
	}
	return ChangeResult{Revision: rev}, nil
}

// Status returns the state of the hosts as this host knows it.
func (d *Service) Status() Status {
	now := d.Now()
	rev, _ := d.Holder.Current()
	_, storeOut := d.Out()
	s := Status{
		Host:     d.Host,
		Domain:   d.Domain,
		Revision: rev.Number,
		Author:   rev.Author,
		At:       rev.At,
		StoreOut: storeOut,
		InForce:  true,
		Live:     d.Registry.Live(now),
		Lost:     d.Registry.Lost(now),
	}
	for _, p := range s.Live {
		if p.Revision < rev.Number && p.Name != d.Host {
			s.InForce = false
		}
	}
	return s
}

// Upstreams returns the upstreams that this host knows, and for each whether the document drains it.
func (d *Service) Upstreams() Upstreams {
	rev, _ := d.Holder.Current()
	var list Upstreams
	for _, u := range d.Registry.Upstreams(d.Now()) {
		list.Upstreams = append(list.Upstreams, Upstream{
			Name:    u.Name,
			Addr:    u.Addr,
			Domain:  u.Domain,
			Pool:    u.Pool,
			Leaving: u.Leaving,
			Drained: slices.Contains(rev.Document.Drained, u.Name),
		})
	}
	return list
}

// Report returns the outcomes and costs that this host has counted since it started, and the burn rate of its objective.
func (d *Service) Report() Report {
	rev, _ := d.Holder.Current()
	return Report{
		Host:   d.Host,
		Burn:   d.Tally.Burn(d.Now(), rev.Document.Objective.Attainment),
		Counts: d.Tally.Counts(),
	}
}

// Summary adds up the reports of all hosts over the period that ends now; account "" selects all client accounts.
func (d *Service) Summary(ctx context.Context, period time.Duration, account string) (report.Summary, error) {
	now := d.Now()
	sum, err := report.Sum(ctx, d.Store, now.Add(-period), now, account)
	if err != nil {
		return report.Summary{}, fmt.Errorf("sum up reports: %w", err)
	}
	return sum, nil
}
