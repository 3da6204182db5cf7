package relay

import (
	"strings"
	"sync"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/setup"
)

// evacuated describes an evacuated failure domain in the metrics.
type evacuated struct {
	Domain string `json:"domain"`
	// SinceMS is how long this host has known the order, in milliseconds.
	SinceMS int64 `json:"since_ms"`
	// Unconfirmed is set if the store was restored from an older copy, which does not hold the order.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// places adds to the upstreams what follows from where they are.
type places struct {
	common.Deps
	domains     place.Domains
	evacuations *follow.Evacuations

	mu sync.Mutex
	// problem is the last problem that was logged, so that each is logged once.
	problem string
}

func newPlaces(deps common.Deps, domains place.Domains, evacuations *follow.Evacuations) *places {
	return &places{
		Deps:        deps.WithPart("places"),
		domains:     domains,
		evacuations: evacuations,
	}
}

// domainsOf returns the regions of the failure domains that the settings list, with that of this host.
func domainsOf(s setup.Relay) place.Domains {
	out := place.Domains{}
	if s.Host.Region != "" {
		out[s.Host.Domain] = s.Host.Region
	}
	for domain, region := range s.Domains {
		out[domain] = region
	}
	return out
}

// mark returns the upstreams with their regions, and with Evacuated set where an operator ordered it.
func (p *places) mark(ups []route.Upstream) []route.Upstream {
	orders := map[string]bool{}
	for _, o := range p.evacuations.List() {
		orders[o.Domain] = true
	}
	counts := map[string]int{}
	for i := range ups {
		u := &ups[i]
		u.Region = p.domains.Region(u.Domain)
		u.Evacuated = orders[u.Domain]
		counts[u.Domain]++
	}
	p.logProblem(counts)
	return ups
}

// logProblem logs orders that do not do what an operator can have wanted. counts holds the number of upstreams in each failure domain.
func (p *places) logProblem(counts map[string]int) {
	var names, empty []string
	open := len(counts)
	for _, o := range p.evacuations.List() {
		names = append(names, o.Domain)
		if counts[o.Domain] == 0 {
			empty = append(empty, o.Domain)
			continue
		}
		open--
	}
	problem := ""
	switch {
	case len(counts) == 0 || len(names) == 0:
	case open == 0:
		problem = "All failure domains with upstreams are evacuated. Requests are refused."
	case len(empty) > 0:
		problem = "An evacuated failure domain has no upstreams. Its name may be wrong."
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if key := problem + strings.Join(names, ","); key != p.problem && problem != "" {
		p.Log.WithField("evacuated", strings.Join(names, ",")).WithField("without_upstreams", strings.Join(empty, ",")).Error(problem)
		p.problem = key
	}
	if problem == "" {
		p.problem = ""
	}
}

// evacuated returns the evacuated failure domains for the metrics.
func (p *places) evacuated() []evacuated {
	var out []evacuated
	for _, o := range p.evacuations.List() {
		out = append(out, evacuated{
			Domain:      o.Domain,
			SinceMS:     p.Now().Sub(o.Since).Milliseconds(),
			Unconfirmed: o.Unconfirmed,
		})
	}
	return out
}

// configurationSinks returns the sinks for the table of the configuration. The orders to evacuate failure domains come first, so that no configuration is in force without them.
func (r *Relay) configurationSinks() follow.Sink {
	if !r.followsOrders() {
		return r.planSink
	}
	return follow.Sinks{r.orders, r.planSink}
}

// followsOrders reports whether the settings ask for orders to evacuate failure domains.
func (r *Relay) followsOrders() bool {
	return r.settings.Upstreams.Evacuate > 0
}

// ordersLoaded reports whether the orders in the store are known.
func (r *Relay) ordersLoaded() bool {
	return !r.followsOrders() || r.orders.Loaded()
}

// ordersComplete reports whether the orders are known that a restored store may lack.
func (r *Relay) ordersComplete() bool {
	era, _ := r.adapter.Eras.Current()
	return !r.followsOrders() || !era.Known() || r.caughtUp.Load()
}
