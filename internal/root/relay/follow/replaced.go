package follow

import "github.com/cornelwing/cornelwing/internal/root/route"

// replacement is a process that answers at the address of an upstream in place of the one that the row describes.
type replacement struct {
	row route.Incarnation
	// startedAtMS is when the process started, in milliseconds since the Unix epoch by its own clock.
	startedAtMS int64
}

// MarkReplaced records that a process which started at the given time, in milliseconds since the Unix epoch, answers in place of the one that the row of the upstream describes. Its software version is unknown until it writes its row.
func (m *Upstreams) MarkReplaced(i route.Incarnation, startedAtMS int64) {
	m.mu.Lock()
	isNew := m.ups[i.Name].Incarnation() == i && m.replaced[i.Name].startedAtMS != startedAtMS
	if isNew {
		m.replaced[i.Name] = replacement{
			row:         i,
			startedAtMS: startedAtMS,
		}
	}
	m.mu.Unlock()
	if isNew {
		m.Log.WithField("upstream", i.Name).WithField("started_ms", startedAtMS).Info("Another process has replaced that of an upstream's row. Its software version is unknown until its row changes.")
		m.changed()
	}
}

// isReplaced reports whether another process than that of the row answers at the address of the upstream. The caller holds the lock.
func (m *Upstreams) isReplaced(up route.Upstream) bool {
	r, ok := m.replaced[up.Name]
	return ok && r.row == up.Incarnation()
}
