package follow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

// operatorGrace is how long after the operator's first write in the new history of a restored store its other writes may still follow.
const operatorGrace = 2 * time.Second

// DecodeEvacuation decodes the key and the value of a row. The domain is "" if the row is no order to evacuate a failure domain. An error with a domain means that the order is damaged.
type DecodeEvacuation func(key string, value []byte) (domain string, err error)

// Evacuation is an operator's order that nothing new is sent to the upstreams of a failure domain.
type Evacuation struct {
	Domain string
	// Since is when this host learned of the order.
	Since time.Time
	// Unconfirmed reports that the store was restored from an older copy, which does not hold the order.
	Unconfirmed bool
}

// evacuationOrder is what a host knows of an order.
type evacuationOrder struct {
	Evacuation
	// endsAt is when an unconfirmed order ends, or zero before the operator has written to the new history.
	endsAt time.Time
}

// Evacuations holds the operators' orders to evacuate failure domains.
//
// An order ends when its row is removed. One that is missing in a restored store stays in force until the operator has written to the new history and operatorGrace has passed, as the operator then has had the time to write it again.
type Evacuations struct {
	common.Deps
	decode  DecodeEvacuation
	changed func()

	mu     sync.Mutex
	orders map[string]evacuationOrder
	// changes counts the orders that began or ended.
	changes int
	loaded  bool
}

// NewEvacuations returns a sink without orders, which calls changed after each change of the orders.
func NewEvacuations(deps common.Deps, decode DecodeEvacuation, changed func()) *Evacuations {
	return &Evacuations{
		Deps:    deps.WithPart("evacuations"),
		decode:  decode,
		changed: changed,
		orders:  map[string]evacuationOrder{},
	}
}

// Reset applies the rows of the whole table, and ends the orders that have no row in it.
func (e *Evacuations) Reset(rows []Row) {
	e.mu.Lock()
	before := e.changes
	seen := map[string]bool{}
	for _, r := range rows {
		seen[e.confirm(r)] = true
	}
	for domain, o := range e.orders {
		if !seen[domain] && !o.Unconfirmed {
			e.end(domain, "its row is missing")
		}
	}
	changed := !e.loaded || e.changes != before
	e.loaded = true
	e.mu.Unlock()
	if changed {
		e.changed()
	}
}

// Restore merges the rows of a restored table. An order that has no row there stays in force.
func (e *Evacuations) Restore(rows []Row) {
	e.EnterEra()
	e.Reset(rows)
}

// EnterEra records that the store was restored, so that its rows no longer show which orders were taken back.
func (e *Evacuations) EnterEra() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for domain, o := range e.orders {
		o.Unconfirmed = true
		o.endsAt = time.Time{}
		e.orders[domain] = o
	}
}

// Apply applies changed rows.
func (e *Evacuations) Apply(rows []Row) {
	e.mu.Lock()
	before := e.changes
	for _, r := range rows {
		if !r.Deleted {
			e.confirm(r)
			continue
		}
		// The error tells of the value, which a removed row does not have.
		if domain, _ := e.decode(r.Key, nil); domain != "" {
			e.end(domain, "its row was removed")
		}
	}
	e.startGrace()
	changed := e.changes != before
	e.mu.Unlock()
	if changed {
		e.changed()
	}
}

// confirm puts the order of a row into force, and returns its domain, or "" if the row is no order. The caller holds the lock.
func (e *Evacuations) confirm(r Row) (domain string) {
	domain, err := e.decode(r.Key, r.Value)
	if err != nil {
		e.Log.WithError(err).WithField("row", r.Key).WithField("domain", domain).WithField("in_force", domain != "").Warn("Order to evacuate a failure domain is damaged.")
	}
	if domain == "" {
		return ""
	}
	o, known := e.orders[domain]
	if !known {
		e.Log.WithField("domain", domain).Warn("Failure domain is evacuated. Nothing new is sent to its upstreams.")
		o.Since = e.Now()
		e.changes++
	}
	o.Domain = domain
	o.Unconfirmed = false
	o.endsAt = time.Time{}
	e.orders[domain] = o
	return domain
}

// end ends an order. The caller holds the lock.
func (e *Evacuations) end(domain, reason string) {
	o, ok := e.orders[domain]
	if !ok {
		return
	}
	delete(e.orders, domain)
	e.changes++
	e.Log.WithField("domain", domain).WithField("lasted_ms", e.Now().Sub(o.Since).Milliseconds()).WithField("reason", reason).Warn("Evacuation of a failure domain has ended.")
}

// startGrace starts the time after which the unconfirmed orders end, as the operator has written. The caller holds the lock.
func (e *Evacuations) startGrace() {
	started := false
	for domain, o := range e.orders {
		if o.Unconfirmed && o.endsAt.IsZero() {
			o.endsAt = e.Now().Add(operatorGrace)
			e.orders[domain] = o
			started = true
		}
	}
	if started {
		time.AfterFunc(operatorGrace+time.Millisecond, e.changed)
	}
}

// Loaded reports whether the whole table has been read at least once.
func (e *Evacuations) Loaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// List returns the orders in force, sorted by domain.
func (e *Evacuations) List() []Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endOverdue()
	out := make([]Evacuation, 0, len(e.orders))
	for _, o := range e.orders {
		out = append(out, o.Evacuation)
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// Age returns how long this host has known that the failure domain is evacuated, or false if it is not.
func (e *Evacuations) Age(domain string) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.orders[domain]
	return e.Now().Sub(o.Since), ok
}

// endOverdue ends the unconfirmed orders that the operator has not written again. The caller holds the lock.
func (e *Evacuations) endOverdue() {
	now := e.Now()
	for domain, o := range e.orders {
		if o.Unconfirmed && !o.endsAt.IsZero() && !now.Before(o.endsAt) {
			e.end(domain, "the operator has not written it again since the store was restored")
		}
	}
}
