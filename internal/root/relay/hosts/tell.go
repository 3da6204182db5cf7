package hosts

import (
	"context"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

// confirmationSlack is how much later than the confirmation that the other host knows another one must be to count as new, as the time of its question on the way is not known.
const confirmationSlack = 50 * time.Millisecond

// tell answers the question of another host, once there is something new to tell or its wait is over.
func (t *Table) tell(ctx context.Context, q tableQuestion) tableAnswer {
	l := listener{
		Table:     t,
		question:  q,
		arrivedAt: t.tables.sinceBoot(),
	}
	if q.Heard {
		return l.heard()
	}
	following := t.followed()
	wait := q.wait()
	if !following {
		wait = becomeFollowerWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, ready, updated := l.answer()
		if ready || wait <= 0 || (following && a.State == tableNotFollowed && !t.followed()) {
			return a
		}
		select {
		case <-updated:
		case <-timer.C:
			a, _, _ = l.answer()
			return a
		case <-ctx.Done():
			return a
		}
	}
}

// followed reports whether this host follows the store.
func (t *Table) followed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.follows
}

// listener is another host that waits for an answer.
type listener struct {
	*Table
	question  tableQuestion
	arrivedAt time.Duration
}

// answer returns the answer as of now. ready reports that there is something new to tell; otherwise updated is closed when there may be.
func (l listener) answer() (a tableAnswer, ready bool, updated <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	confirmedAt, confirmed := l.record.ConfirmedAt()
	switch {
	case !l.follows || !confirmed:
		return tableAnswer{
			State: tableNotFollowed,
		}, false, l.updated
	case l.failing:
		return tableAnswer{
			State: tableFailing,
		}, true, l.updated
	case l.isAhead():
		return tableAnswer{
			State: tableNotFollowed,
		}, false, l.updated
	}
	a = l.told(tableFollowed, confirmedAt)
	a.Reading = l.transfer.active()
	ready = l.question.Whole || a.Truncated || len(a.Rows) > 0 || l.isNews(confirmedAt) || l.readsSinceAsked()
	if ready {
		l.counts.Told++
	}
	return a, ready, l.updated
}

// readsSinceAsked reports whether this host has begun to read many rows since the question arrived, and the other host may want to ask others meanwhile. What a host knows that asks late may have been old when that began.
func (l listener) readsSinceAsked() bool {
	return l.question.Parcels && l.transfer.long && (l.question.Late || l.transfer.longSince >= l.arrivedAt)
}

// heard returns what this host knows, from whomever, if the store has confirmed it more recently than what the other host knows.
func (l listener) heard() tableAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	confirmedAt, confirmed := l.record.ConfirmedAt()
	if !confirmed || l.isAhead() || !l.isNews(confirmedAt) {
		return tableAnswer{
			State: tableNotFollowed,
		}
	}
	l.counts.Told++
	return l.told(tableHeard, confirmedAt)
}

// told returns the answer that tells the rows. The caller holds the lock.
func (l listener) told(state tableState, confirmedAt time.Duration) tableAnswer {
	now := l.tables.sinceBoot()
	rows, known := l.rows()
	l.countBytes(rows)
	return tableAnswer{
		State:     state,
		Era:       eraNumber(l.record.Position().Era),
		Version:   l.record.Position().Version,
		Truncated: !known,
		Rows:      tableRows(rows),
		HeldMS:    (now - l.arrivedAt).Milliseconds(),
		AgeMS:     (now - confirmedAt).Milliseconds() + 1,
	}
}

// countBytes counts the values of an answer. The caller holds the lock.
func (t *Table) countBytes(rows []follow.Row) {
	bytes := 0
	for _, r := range rows {
		bytes += len(r.Value)
	}
	t.counts.ToldBytes += bytes
	t.counts.LargestBytes = max(t.counts.LargestBytes, bytes)
}

// isNews reports whether the store has confirmed the rows since it did so for the other host.
func (l listener) isNews(confirmedAt time.Duration) bool {
	if l.question.AgeMS == nil {
		return true
	}
	known := l.arrivedAt - time.Duration(*l.question.AgeMS)*time.Millisecond
	return confirmedAt > known+confirmationSlack
}

// isAhead reports whether the other host knows a later era of the store.
func (l listener) isAhead() bool {
	asked, own := l.question.after(), l.record.Position()
	return asked.Era != own.Era && asked.Era.Known() && own.Before(asked)
}

// rows returns the rows that the other host asks for, or false if this host cannot tell what changed.
func (l listener) rows() ([]follow.Row, bool) {
	if l.question.Whole {
		return l.record.All(), true
	}
	return l.record.Since(l.question.after())
}
