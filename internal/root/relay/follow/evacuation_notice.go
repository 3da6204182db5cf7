package follow

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidNotice is returned for a notice of an evacuation without a domain, or with a negative time.
var ErrInvalidNotice = errors.New("notice of an evacuation is not valid")

// EvacuationNotice tells another host of an order that a restored store may lack.
type EvacuationNotice struct {
	Domain string `json:"domain"`
	// AgeMS is how long the sender has known the order, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// EndsInMS is the time until the order ends, in milliseconds, or 0 before the operator has written since the store was restored.
	EndsInMS int64 `json:"ends_in_ms,omitempty"`
}

// UnmarshalJSON decodes a notice and checks its domain and its times.
func (n *EvacuationNotice) UnmarshalJSON(b []byte) error {
	type plain EvacuationNotice
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode notice: %w", err)
	}
	if p.Domain == "" || p.AgeMS < 0 || p.EndsInMS < 0 {
		return fmt.Errorf("check notice: %w", ErrInvalidNotice)
	}
	*n = EvacuationNotice(p)
	return nil
}

// UnconfirmedEvacuations returns the orders that the store lacks since it was restored, sorted by domain.
func (e *Evacuations) UnconfirmedEvacuations() []EvacuationNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endOverdue()
	var out []EvacuationNotice
	for domain, o := range e.orders {
		if !o.Unconfirmed {
			continue
		}
		n := EvacuationNotice{
			Domain: domain,
			AgeMS:  max(0, e.Now().Sub(o.Since).Milliseconds()),
		}
		if !o.endsAt.IsZero() {
			n.EndsInMS = max(1, o.endsAt.Sub(e.Now()).Milliseconds())
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b EvacuationNotice) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}

// LearnEvacuation puts an order of another host into force that the store lacks. It ignores one that this host knows.
func (e *Evacuations) LearnEvacuation(n EvacuationNotice) {
	e.mu.Lock()
	if _, known := e.orders[n.Domain]; known {
		e.mu.Unlock()
		return
	}
	now := e.Now()
	o := evacuationOrder{
		Evacuation: Evacuation{
			Domain:      n.Domain,
			Since:       now.Add(-time.Duration(n.AgeMS) * time.Millisecond),
			Unconfirmed: true,
		},
	}
	if n.EndsInMS > 0 {
		left := time.Duration(n.EndsInMS) * time.Millisecond
		o.endsAt = now.Add(left)
		time.AfterFunc(left+time.Millisecond, e.changed)
	}
	e.orders[n.Domain] = o
	e.Log.WithField("domain", n.Domain).WithField("age_ms", n.AgeMS).WithField("ends_in_ms", n.EndsInMS).Warn("Another host knows that a failure domain is evacuated. Nothing new is sent to its upstreams.")
	e.mu.Unlock()
	e.changed()
}
