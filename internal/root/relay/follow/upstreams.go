package follow

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// retentionShare is how long an upstream is retained after its row disappeared during an outage or soon after it, as a share of the time within which a removed upstream must be forgotten. Live upstreams register again within that time.
const retentionShare = 0.7

// registrationTime is how long after its start an upstream may be known by the row of an earlier start.
const registrationTime = 3 * time.Second

// DecodeUpstream decodes a row of the upstream table.
type DecodeUpstream func(key string, value []byte) (route.Upstream, error)

// Upstreams is this host's view of the upstream table.
type Upstreams struct {
	common.Deps
	decode  DecodeUpstream
	changed func()
	// onRow is called with each row that was read, and whether it is of a restored table.
	onRow func(up route.Upstream, value []byte, restored bool)
	// onPassed is called when an upstream has come and gone of which no row was read.
	onPassed func()
	// retention is how long an upstream is retained after its row disappeared during an outage or soon after it.
	retention time.Duration

	mu  sync.Mutex
	ups map[string]route.Upstream
	// starts holds the starts and software versions that rows have shown.
	starts seenStarts
	// unreadable holds the names of the rows that can't be decoded.
	unreadable map[string]bool
	// retainedUntil holds the end of the retention of each upstream whose row disappeared in this way.
	retainedUntil map[string]time.Time
	// replaced holds the upstreams at whose address another process answers than the one that the row describes.
	replaced map[string]replacement
	// leavers are the incarnations that are leaving or have left, whatever an outdated row says.
	leavers leavers
	// outage reports that the platform cannot be read. recoveredAt is the end of the last outage.
	outage      bool
	recoveredAt time.Time
	loaded      bool
	// confirmedAt is the start of the last successful call for changes, and loadedAt when the table was first read.
	confirmedAt time.Time
	loadedAt    time.Time
}

// NewUpstreams returns an empty view that calls changed after each change. forget is the time after which nothing may be sent to a removed upstream.
func NewUpstreams(deps common.Deps, decode DecodeUpstream, forget time.Duration, changed func()) *Upstreams {
	return &Upstreams{
		Deps:          deps.WithPart("members"),
		decode:        decode,
		changed:       changed,
		onRow:         func(route.Upstream, []byte, bool) {},
		onPassed:      func() {},
		retention:     time.Duration(retentionShare * float64(forget)),
		ups:           map[string]route.Upstream{},
		starts:        seenStarts{},
		unreadable:    map[string]bool{},
		retainedUntil: map[string]time.Time{},
		replaced:      map[string]replacement{},
		leavers:       leavers{},
	}
}

// OnRow sets the function that is called with each row of an upstream before the change of the table takes effect, and whether the row is of a restored table. It must be called before the view is used.
func (m *Upstreams) OnRow(f func(up route.Upstream, value []byte, restored bool)) {
	m.onRow = f
}

// OnPassed sets the function that is called when an upstream has come and gone of which no row was read, so that nothing is known of its pool and version. It must be called before the view is used.
func (m *Upstreams) OnPassed(f func()) {
	m.onPassed = f
}

// HasSeen reports whether an upstream of the name has a row, also one that can't be read, or had one not long ago.
func (m *Upstreams) HasSeen(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasSeen(name)
}

// MayLackStarts reports whether rows were read so long ago that an upstream may have started and gone since, also under the name of another one.
func (m *Upstreams) MayLackStarts() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.confirmedAt.IsZero() && m.Now().Sub(m.confirmedAt) > registrationTime
}

// hasSeen is HasSeen. The caller holds the lock.
func (m *Upstreams) hasSeen(name string) bool {
	_, known := m.ups[name]
	return known || m.unreadable[name] || len(m.starts[name]) > 0
}

// Reset applies the rows of the whole table, and removes the upstreams that have no row in it.
func (m *Upstreams) Reset(rows []Row) {
	m.mu.Lock()
	for _, r := range rows {
		m.applyRow(r)
	}
	m.removeAbsent(rows)
	m.setLoaded()
	m.mu.Unlock()
	m.changed()
}

// Restore merges the rows of a restored table. An upstream that has no row there is retained until it had time to register again. A row cannot revoke that an upstream is leaving or has left, nor replace a later start of it.
func (m *Upstreams) Restore(rows []Row) {
	m.mu.Lock()
	m.recoveredAt = m.Now()
	outdated := 0
	for _, r := range rows {
		up, ok := m.decodeRow(r)
		if !ok {
			continue
		}
		if up.StartedAtMS < m.ups[up.Name].StartedAtMS {
			outdated++
			continue
		}
		m.onRow(up, r.Value, true)
		m.put(up)
	}
	m.removeAbsent(rows)
	m.setLoaded()
	m.Log.WithField("rows", len(rows)).WithField("outdated", outdated).WithField("retained", len(m.retainedUntil)).Info("Merged the upstreams of a restored table.")
	m.mu.Unlock()
	m.changed()
}

func (m *Upstreams) setLoaded() {
	if !m.loaded {
		m.loadedAt = m.Now()
	}
	m.loaded = true
}

// Confirm records that the rows were up to date at the given time.
func (m *Upstreams) Confirm(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = at
}

// RanAt returns a time at which the start of an upstream was running according to its row, which an upstream that ends loses within silence. ok is false if the upstream has no row of this start, or if the table was not readable for so long before that the row may be outdated.
func (m *Upstreams) RanAt(name string, startedAtMS int64, silence time.Duration) (at time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	up, known := m.ups[name]
	if !known || startedAtMS == 0 || up.StartedAtMS != startedAtMS || m.outage {
		return time.Time{}, false
	}
	if _, retained := m.retainedUntil[name]; retained {
		return time.Time{}, false
	}
	at = m.confirmedAt.Add(-silence)
	return at, at.After(m.recoveredAt) && at.After(m.loadedAt)
}

// removeAbsent removes the upstreams that have none of the rows.
func (m *Upstreams) removeAbsent(rows []Row) {
	seen := make(map[string]bool, len(rows))
	for _, r := range rows {
		seen[r.Key] = true
	}
	for name := range m.ups {
		if !seen[name] {
			m.remove(name)
		}
	}
	maps.DeleteFunc(m.unreadable, func(name string, _ bool) bool { return !seen[name] })
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

// applyRow applies the current row of an upstream.
func (m *Upstreams) applyRow(r Row) {
	if r.Deleted {
		m.remove(r.Key)
		return
	}
	up, ok := m.decodeRow(r)
	if !ok {
		return
	}
	if !up.Leaving {
		m.leavers.revoke(up.Incarnation())
	}
	m.onRow(up, r.Value, false)
	m.put(up)
}

// decodeRow decodes a row. If that fails, it removes the upstream and returns false.
func (m *Upstreams) decodeRow(r Row) (route.Upstream, bool) {
	up, err := m.decode(r.Key, r.Value)
	if err != nil {
		m.Log.WithError(err).WithField("upstream", r.Key).Warn("Failed to decode the row of an upstream. The upstream is not used.")
		m.forget(r.Key)
		m.unreadable[r.Key] = true
		return route.Upstream{}, false
	}
	delete(m.unreadable, r.Key)
	return up, true
}

// put adds or replaces an upstream.
func (m *Upstreams) put(up route.Upstream) {
	if old, ok := m.ups[up.Name]; !ok || old != up {
		m.Log.WithField("upstream", up.Name).WithField("pool", up.Pool).WithField("software", up.Version).WithField("leaving", up.Leaving).Info("Upstream added or changed.")
	}
	if up.Leaving {
		m.addLeaver(up.Incarnation(), false)
	}
	delete(m.retainedUntil, up.Name)
	if old := m.ups[up.Name]; old.Incarnation() != up.Incarnation() || old.Version != up.Version {
		m.starts.add(m.Now(), up, func(name string) bool { return m.ups[name].Name != "" })
		delete(m.replaced, up.Name)
	}
	m.ups[up.Name] = up
}

// Serves reports whether the start of the upstream has a row and is not leaving.
func (m *Upstreams) Serves(i route.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	up, ok := m.ups[i.Name]
	return ok && up.Incarnation() == i && !up.Leaving && !m.leavers.has(m.Now(), i)
}

// MayHaveRestarted reports whether the upstream may have been a later start of it, with another software version, at the given time. Its row was then outdated.
func (m *Upstreams) MayHaveRestarted(i route.Incarnation, version string, at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts.mayHaveRun(i, version, at)
}

// MarkLeaving records that an upstream announced in a response that it is leaving. The mark belongs to the incarnation, and goes with it.
func (m *Upstreams) MarkLeaving(i route.Incarnation) {
	m.markLeaving(i, true)
}

// MarkLeft records that the incarnation is leaving or has left according to another host. A row that the upstream writes later revokes it.
func (m *Upstreams) MarkLeft(i route.Incarnation) {
	m.markLeaving(i, false)
}

func (m *Upstreams) markLeaving(i route.Incarnation, announced bool) {
	m.mu.Lock()
	added := m.addLeaver(i, announced)
	up, used := m.ups[i.Name]
	used = used && up.Incarnation() == i
	m.mu.Unlock()
	if added && used {
		m.Log.WithField("upstream", i.Name).WithField("announced", announced).Info("Upstream is leaving. No further requests are sent to it.")
		m.changed()
		if i.StartedAtMS == 0 {
			time.AfterFunc(leaverRetention+time.Millisecond, m.changed)
		}
	}
}

// addLeaver remembers an incarnation as leaving, and reports whether it is new. The caller holds the lock.
func (m *Upstreams) addLeaver(i route.Incarnation, announced bool) bool {
	now := m.Now()
	added := m.leavers.add(now, i, announced)
	if added {
		m.leavers.prune(now, func(i route.Incarnation) bool {
			up, ok := m.ups[i.Name]
			return ok && up.Incarnation() == i
		})
	}
	return added
}

// Leavers returns the incarnations that are leaving or have recently left.
func (m *Upstreams) Leavers() []route.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leavers.list()
}

// remove removes an upstream: at once, or after the retention if an outage of the platform may have expired its row.
func (m *Upstreams) remove(name string) {
	up, ok := m.ups[name]
	if !ok {
		if !m.hasSeen(name) {
			m.Log.WithField("upstream", name).Info("An upstream has come and gone unseen.")
			m.onPassed()
		}
		delete(m.unreadable, name)
		return
	}
	now := m.Now()
	leaving := up.Leaving || m.leavers.has(now, up.Incarnation())
	if !leaving && (m.outage || now.Sub(m.recoveredAt) < m.retention) {
		if _, known := m.retainedUntil[name]; !known {
			m.retainedUntil[name] = now.Add(m.retention)
			m.Log.WithField("upstream", name).Info("Row of an upstream disappeared during an outage of the platform or soon after it. The upstream is retained for now.")
			time.AfterFunc(m.retention+time.Millisecond, m.changed)
		}
		return
	}
	m.drop(up)
}

// drop removes an upstream and remembers that its incarnation has left.
func (m *Upstreams) drop(up route.Upstream) {
	m.forget(up.Name)
	m.addLeaver(up.Incarnation(), false)
	m.Log.WithField("upstream", up.Name).Info("Upstream removed.")
}

func (m *Upstreams) forget(name string) {
	delete(m.ups, name)
	delete(m.retainedUntil, name)
	delete(m.replaced, name)
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

// List returns the upstreams sorted by name, without the software version of those whose process has been replaced.
func (m *Upstreams) List() []route.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	for name, until := range m.retainedUntil {
		if !now.Before(until) {
			m.drop(m.ups[name])
		}
	}
	out := make([]route.Upstream, 0, len(m.ups))
	for _, u := range m.ups {
		u.Leaving = u.Leaving || m.leavers.has(now, u.Incarnation())
		if m.isReplaced(u) {
			u.Version = ""
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b route.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return out
}
