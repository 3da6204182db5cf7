package follow

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// retentionShare is how long an upstream is retained after its row disappeared during an outage or soon after it, as a share of the time within which a removed upstream must be forgotten. Live upstreams register again within that time.
const retentionShare = 0.7

// DecodeUpstream decodes a row of the upstream table.
type DecodeUpstream func(key string, value []byte) (route.Upstream, error)

// Upstreams is this host's view of the upstream table.
type Upstreams struct {
	common.Deps
	decode  DecodeUpstream
	changed func()
	// retention is how long an upstream is retained after its row disappeared during an outage or soon after it.
	retention time.Duration

	mu  sync.Mutex
	ups map[string]route.Upstream
	// retainedUntil holds the end of the retention of each upstream whose row disappeared in this way.
	retainedUntil map[string]time.Time
	// outage reports that the platform cannot be read. recoveredAt is the end of the last outage.
	outage      bool
	recoveredAt time.Time
	loaded      bool
}

// NewUpstreams returns an empty view that calls changed after each change. forget is the time after which nothing may be sent to a removed upstream.
func NewUpstreams(deps common.Deps, decode DecodeUpstream, forget time.Duration, changed func()) *Upstreams {
	return &Upstreams{
		Deps:          deps.WithPart("members"),
		decode:        decode,
		changed:       changed,
		retention:     time.Duration(retentionShare * float64(forget)),
		ups:           map[string]route.Upstream{},
		retainedUntil: map[string]time.Time{},
	}
}

// Reset applies the rows of the whole table, and removes the upstreams that have no row in it.
func (m *Upstreams) Reset(rows []Row) {
	m.mu.Lock()
	seen := map[string]bool{}
	for _, r := range rows {
		seen[r.Key] = true
		m.applyRow(r)
	}
	for name := range m.ups {
		if !seen[name] {
			m.remove(name)
		}
	}
	m.loaded = true
	m.mu.Unlock()
	m.changed()
}

// Apply applies changed rows.
func (m *Upstreams) Apply(rows []Row) {
	m.mu.Lock()
	for _, r := range rows {
		m.applyRow(r)
	}
	m.mu.Unlock()
	m.changed()
}

func (m *Upstreams) applyRow(r Row) {
	if r.Deleted {
		m.remove(r.Key)
		return
	}
	up, err := m.decode(r.Key, r.Value)
	if err != nil {
		m.Log.WithError(err).WithField("upstream", r.Key).Warn("Failed to decode the row of an upstream. The upstream is not used.")
		delete(m.ups, r.Key)
		return
	}
	if old, ok := m.ups[r.Key]; !ok || old != up {
		m.Log.WithField("upstream", up.Name).WithField("pool", up.Pool).WithField("leaving", up.Leaving).Info("Upstream added or changed.")
	}
	delete(m.retainedUntil, r.Key)
	m.ups[r.Key] = up
}

// remove removes an upstream: at once, or after the retention if an outage of the platform may have expired its row.
func (m *Upstreams) remove(name string) {
	up, ok := m.ups[name]
	if !ok {
		return
	}
	now := m.Now()
	if !up.Leaving && (m.outage || now.Sub(m.recoveredAt) < m.retention) {
		if _, known := m.retainedUntil[name]; !known {
			m.retainedUntil[name] = now.Add(m.retention)
			m.Log.WithField("upstream", name).Info("Row of an upstream disappeared during an outage of the platform or soon after it. The upstream is retained for now.")
			time.AfterFunc(m.retention+time.Millisecond, m.changed)
		}
		return
	}
	delete(m.ups, name)
	delete(m.retainedUntil, name)
	m.Log.WithField("upstream", name).Info("Upstream removed.")
}

// OutageStarted records that the platform cannot be read.
func (m *Upstreams) OutageStarted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage = true
}

// OutageEnded records that the platform can be read again.
func (m *Upstreams) OutageEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage = false
	m.recoveredAt = m.Now()
}

// Loaded reports whether the whole table has been read at least once.
func (m *Upstreams) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// List returns the upstreams sorted by name.
func (m *Upstreams) List() []route.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	for name, until := range m.retainedUntil {
		if !now.Before(until) {
			delete(m.retainedUntil, name)
			delete(m.ups, name)
			m.Log.WithField("upstream", name).Info("Upstream removed.")
		}
	}
	out := make([]route.Upstream, 0, len(m.ups))
	for _, u := range m.ups {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b route.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return out
}
