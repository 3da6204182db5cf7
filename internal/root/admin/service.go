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
	Active    *watch.Active
	Registry  *view.Registry
	Tally     *tally.Counter
	// Outage reports whether this host treats the platform as unreachable, and how long this host waits before the next call to it.
	Outage func() (time.Duration, bool)
	Orders *orders.Controller
	Store  report.Store
}

// Apply checks the document and puts it in force; a dry run only checks it.
func (svc *Service) Apply(ctx context.Context, author string, c Change) (ChangeResult, error) {
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
	rev, err := svc.Revisions.Apply(ctx, watch.Change{
		ID:       c.ChangeID,
		Author:   author,
		Base:     c.Base,
		Document: doc,
	})
	if err != nil {
		return ChangeResult{}, fmt.Errorf("apply document: %w", err)
	}
	if svc.Active.PutIfNewer(rev) {
		svc.Log.Infof("Revision %d by %s is accepted.", rev.Number, author)
	}
	return ChangeResult{Revision: rev}, nil
}

// Status returns the state of the hosts as this host knows it.
func (svc *Service) Status() Status {
	now := svc.Now()
	rev, _ := svc.Active.Current()
	_, storeOut := svc.Outage()
	s := Status{
		Host:     svc.Host,
		Domain:   svc.Domain,
		Revision: rev.Number,
		Author:   rev.Author,
		At:       rev.At,
		StoreOut: storeOut,
		InForce:  true,
		Live:     svc.Registry.Live(now),
		Lost:     svc.Registry.Lost(now),
	}
	for _, p := range s.Live {
		if p.Revision < rev.Number && p.Name != svc.Host {
			s.InForce = false
		}
	}
	return s
}

// Upstreams returns the upstreams that this host knows, and whether the document in force on this host drains each of them.
func (svc *Service) Upstreams() Upstreams {
	rev, _ := svc.Active.Current()
	var list Upstreams
	for _, u := range svc.Registry.Upstreams(svc.Now()) {
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
func (svc *Service) Report() Report {
	rev, _ := svc.Active.Current()
	return Report{
		Host:   svc.Host,
		Burn:   svc.Tally.Burn(svc.Now(), rev.Document.Objective.Attainment),
		Counts: svc.Tally.Counts(),
	}
}

// Summary adds up the reports of all hosts over the period that ends now; account "" selects all client accounts.
func (svc *Service) Summary(ctx context.Context, period time.Duration, account string) (report.Summary, error) {
	now := svc.Now()
	sum, err := report.Summarize(ctx, svc.Store, now.Add(-period), now, account)
	if err != nil {
		return report.Summary{}, fmt.Errorf("sum up reports: %w", err)
	}
	return sum, nil
}
