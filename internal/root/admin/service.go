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

// maxHistory bounds one listing of revisions.
const maxHistory = 50

// Service holds what operators may do.
type Service struct {
	common.Deps
	Revisions *watch.Revisions
	Holder    *watch.Holder
	Registry  *view.Registry
	Tally     *tally.Counter
	Out       func() (time.Duration, bool)
	Orders    *orders.Orderer
	Store     report.Store
}

// Apply checks the document and puts it in force, unless it is a dry run.
func (d *Service) Apply(ctx context.Context, author string, c Change) (Accepted, error) {
	doc, err := config.Parse("document", []byte(c.Document))
	if err != nil {
		return Accepted{}, fmt.Errorf("check document: %w", err)
	}
	if c.DryRun {
		return Accepted{
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
		return Accepted{}, fmt.Errorf("apply document: %w", err)
	}
	if d.Holder.Offer(rev) {
		d.Log.Infof("Revision %d by %s is accepted.", rev.Number, author)
	}
	return Accepted{Revision: rev}, nil
}

// Status returns the state of the hosts.
func (d *Service) Status() Status {
	now := d.Now()
	rev, _ := d.Holder.Current()
	_, out := d.Out()
	s := Status{
		Host:     d.Host,
		Domain:   d.Domain,
		Revision: rev.Number,
		Author:   rev.Author,
		At:       rev.At,
		StoreOut: out,
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

// Upstreams returns the upstreams that this host knows.
func (d *Service) Upstreams() Upstreams {
	rev, _ := d.Holder.Current()
	var out Upstreams
	for _, u := range d.Registry.Upstreams(d.Now()) {
		out.Upstreams = append(out.Upstreams, Upstream{
			Name:    u.Name,
			Addr:    u.Addr,
			Domain:  u.Domain,
			Pool:    u.Pool,
			Leaving: u.Leaving,
			Drained: slices.Contains(rev.Document.Drained, u.Name),
		})
	}
	return out
}

// Report returns what this host has counted since it started.
func (d *Service) Report() Report {
	rev, _ := d.Holder.Current()
	return Report{
		Host:   d.Host,
		Burn:   d.Tally.Burn(d.Now(), rev.Document.Objective.Attainment),
		Counts: d.Tally.Counts(),
	}
}

// Summary sums up the reports of all hosts over the time that ends now; an account of "" means all.
func (d *Service) Summary(ctx context.Context, length time.Duration, account string) (report.Summary, error) {
	now := d.Now()
	sum, err := report.Sum(ctx, d.Store, now.Add(-length), now, account)
	if err != nil {
		return report.Summary{}, fmt.Errorf("sum up reports: %w", err)
	}
	return sum, nil
}
