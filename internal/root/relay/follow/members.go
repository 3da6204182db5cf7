package follow

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// lapseShare is the part of the time in which a gone upstream has to be forgotten for which an entry that vanished around an outage still counts, as live upstreams register again.
const lapseShare = 0.7

// Decode reads an upstream's entry.
type Decode func(key string, value []byte) (route.Upstream, error)

// Members is this host's view of the upstreams.
type Members struct {
	common.Deps
	decode  Decode
	changed func()
	// lapse is how long an entry that vanished around an outage still counts.
	lapse time.Duration

	mu  sync.Mutex
	ups map[string]route.Upstream
	// missing holds when an entry that vanished around an outage stops to count.
	missing map[string]time.Time
	// out says that the platform cannot be read, and backAt when it could be again.
	out    bool
	backAt time.Time
	loaded bool
}

// NewMembers returns an empty view; changed is called after each change, and nothing may be sent to an upstream that has been gone for the time to forget it.
func NewMembers(deps common.Deps, decode Decode, forget time.Duration, changed func()) *Members {
	return &Members{
		Deps:    deps.WithPart("members"),
		decode:  decode,
		changed: changed,
		lapse:   time.Duration(lapseShare * float64(forget)),
		ups:     map[string]route.Upstream{},
		missing: map[string]time.Time{},
	}
}

// Reset takes the whole table.
func (m *Members) Reset(rows []Row) {
	m.mu.Lock()
	seen := map[string]bool{}
	for _, r := range rows {
		seen[r.Key] = true
		m.take(r)
	}
	for name := range m.ups {
		if !seen[name] {
			m.vanish(name)
		}
	}
	m.loaded = true
	m.mu.Unlock()
	m.changed()
}

// Apply takes changed rows.
func (m *Members) Apply(rows []Row) {
	m.mu.Lock()
	for _, r := range rows {
		m.take(r)
	}
	m.mu.Unlock()
	m.changed()
}

func (m *Members) take(r Row) {
	if r.Deleted {
		m.vanish(r.Key)
		return
	}
	up, err := m.decode(r.Key, r.Value)
	if err != nil {
		m.Log.WithError(err).WithField("upstream", r.Key).Warn("Entry names no upstream. It is not used.")
		delete(m.ups, r.Key)
		return
	}
	if old, ok := m.ups[r.Key]; !ok || old != up {
		m.Log.WithField("upstream", up.Name).WithField("pool", up.Pool).WithField("leaving", up.Leaving).Info("Upstream changed.")
	}
	delete(m.missing, r.Key)
	m.ups[r.Key] = up
}

// vanish drops an entry, at once unless an outage of the platform may have made it lapse.
func (m *Members) vanish(name string) {
	up, ok := m.ups[name]
	if !ok {
		return
	}
	now := m.Now()
	if !up.Leaving && (m.out || now.Sub(m.backAt) < m.lapse) {
		if _, known := m.missing[name]; !known {
			m.missing[name] = now.Add(m.lapse)
			m.Log.WithField("upstream", name).Info("Entry vanished around an outage. It counts a little longer.")
			time.AfterFunc(m.lapse+time.Millisecond, m.changed)
		}
		return
	}
	delete(m.ups, name)
	delete(m.missing, name)
	m.Log.WithField("upstream", name).Info("Upstream is gone.")
}

// Lost says that the platform cannot be read.
func (m *Members) Lost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.out = true
}

// Back says that the platform can be read again.
func (m *Members) Back() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.out = false
	m.backAt = m.Now()
}

// Loaded reports whether the table was read at all.
func (m *Members) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// List returns the upstreams in the order of their names.
func (m *Members) List() []route.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	for name, until := range m.missing {
		if !now.Before(until) {
			delete(m.missing, name)
			delete(m.ups, name)
			m.Log.WithField("upstream", name).Info("Upstream is gone.")
		}
	}
	out := make([]route.Upstream, 0, len(m.ups))
	for _, u := range m.ups {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b route.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return out
}
