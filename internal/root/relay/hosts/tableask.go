package hosts

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/root/relay/fanout"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

// landHost takes over the answer of another host. The error is errHostFailed if another one is to be asked.
func (t *Table) landHost(ctx context.Context, f *flights, l landing) ([]follow.Row, follow.Position, error) {
	h, r, a := l.host, l.reading, l.answer
	if errors.Is(l.err, context.Canceled) {
		t.notePassed(h, nil)
		return nil, follow.Position{}, errNoNews
	}
	if l.err != nil {
		return nil, follow.Position{}, t.noteFailure(h, failureOf(l.err), l.err)
	}
	confirmedAt, err := t.check(h, r, a, l.askedAt, l.answeredAt)
	if err != nil {
		return nil, follow.Position{}, err
	}
	if f.running > 0 && !t.renews(f, l, confirmedAt) {
		t.noteNoNews(h, a)
		return nil, follow.Position{}, errNoNews
	}
	a, err = t.unpack(ctx, h, a)
	switch {
	case ctx.Err() != nil:
		return nil, follow.Position{}, fmt.Errorf("read rows of table %s: %w", t.name, ctx.Err())
	case errors.Is(err, errBlockStalled):
		return nil, follow.Position{}, t.noteFailure(h, fanout.Silent, err)
	case err != nil:
		// Damaged rows don't show that the host is down.
		return nil, follow.Position{}, t.noteFailure(h, fanout.NotFollowing, err)
	}
	return t.accept(h, r, a, confirmedAt)
}

// renews reports whether an answer brings rows, or a confirmation that is not late itself. That a host is reading many rows is worth knowing too, but not if the store is asked already.
func (t *Table) renews(f *flights, l landing, confirmedAt time.Duration) bool {
	if l.reading.whole || l.answer.Truncated || l.answer.hasRows() || (l.answer.Reading && !f.calling) {
		return true
	}
	return t.tables.sinceBoot()-confirmedAt < t.limits.LateAge()
}

// noteNoNews records that a host answers, but does not know more than this one.
func (t *Table) noteNoNews(h Host, a tableAnswer) {
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Reading {
		t.chooser.Reads(now, h.Name)
		return
	}
	failure := fanout.NotFollowing
	t.chooser.Passed(now, h.Name, &failure)
}

// ask asks another host for the rows. It returns how long the answer took to arrive once it had begun.
func (t *Table) ask(ctx context.Context, h Host, r reading) (a tableAnswer, transfer time.Duration, err error) {
	wait := min(r.wait, maxAskWait)
	timeouts := jhttp.Timeouts{
		Head:  wait + askSlack,
		Stall: askSlack,
	}
	if r.heard {
		wait, timeouts.Head = 0, heardTimeout
	}
	question := tableQuestion{
		Table:   t.name,
		Whole:   r.whole,
		Era:     eraNumber(r.after.Era),
		After:   r.after.Version,
		WaitMS:  wait.Milliseconds(),
		AgeMS:   t.confirmedAgeMS(),
		Heard:   r.heard,
		Late:    r.late,
		Parcels: true,
		From:    t.Host,
	}
	if transfer, err = t.tables.post(ctx, h, pathTable, timeouts, question, &a); err != nil {
		return tableAnswer{}, 0, fmt.Errorf("ask for table %s: %w", t.name, err)
	}
	return a, transfer, nil
}

// confirmedAgeMS returns how old the knowledge of this host is, or nil if it has none.
func (t *Table) confirmedAgeMS() *int64 {
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.record.ConfirmedAt()
	if !ok {
		return nil
	}
	age := max(0, now-at).Milliseconds()
	return &age
}

// failureOf returns why a question failed.
func failureOf(err error) fanout.Failure {
	if errors.Is(err, errUnknownPath) {
		return fanout.OtherBuild
	}
	return fanout.Silent
}

// noteFailure records that a host could not tell the rows, and returns errHostFailed.
func (t *Table) noteFailure(h Host, f fanout.Failure, cause error) error {
	t.noteSilence(h, f, cause)
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.Failed(now, h.Name, f)
	return errHostFailed
}

// noteSilence logs that a host could not tell the rows. One that cannot be reached is down.
func (t *Table) noteSilence(h Host, f fanout.Failure, cause error) {
	t.Log.WithError(cause).WithField("host", h.Name).WithField("table", t.name).WithField("failure", f).Info("A host could not tell the rows of a table.")
	if f == fanout.Silent && !errors.Is(cause, context.DeadlineExceeded) {
		t.tables.peers.roster.MarkDown(h, cause)
	}
}

// check returns when the store had confirmed what another host tells, or errHostFailed if that cannot be used. The time that the rows take to arrive after answeredAt does not count, or many rows could never be used.
func (t *Table) check(h Host, r reading, a tableAnswer, askedAt, answeredAt time.Duration) (confirmedAt time.Duration, err error) {
	switch a.State {
	case tableFollowed, tableHeard:
	case tableFailing:
		return 0, t.noteFailure(h, fanout.Stale, errStoreFails)
	default:
		return 0, t.noteFailure(h, fanout.NotFollowing, errHostFailed)
	}
	confirmedAt, err = a.confirmation().At(askedAt, answeredAt)
	if err != nil {
		return 0, t.noteFailure(h, fanout.NotFollowing, err)
	}
	// Rows that took long to arrive from the store are as old as that, and are news all the same.
	brings := !r.whole && (a.Reading || a.hasRows())
	if answeredAt-confirmedAt > t.limits.MaxAge() && !brings {
		return 0, t.noteFailure(h, fanout.Stale, errStoreFails)
	}
	if err := t.tables.eras.ObserveHeard(a.position().Era); err != nil {
		return 0, t.noteFailure(h, fanout.NotFollowing, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.whole && !a.Truncated && a.position().Before(t.record.Position()) {
		t.chooser.Failed(answeredAt, h.Name, fanout.NotFollowing)
		return 0, errHostFailed
	}
	return confirmedAt, nil
}

// accept takes over the answer of another host.
func (t *Table) accept(h Host, r reading, a tableAnswer, confirmedAt time.Duration) ([]follow.Row, follow.Position, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.heard:
		t.chooser.Heard(h.Name)
	case a.Reading && !a.hasRows():
		t.chooser.Reads(t.tables.sinceBoot(), h.Name)
	default:
		t.chooser.Answered(h.Name)
	}
	t.counts.HostCalls++
	if a.hasRows() {
		t.chooser.News(t.tables.sinceBoot())
	}
	if a.Truncated {
		return nil, follow.Position{}, fmt.Errorf("hear table %s: %w", t.name, follow.ErrHistoryTruncated)
	}
	t.noteAge(h.Name, r, a.position())
	t.add(r, a.rows(), a.position(), confirmedAt)
	return a.rows(), a.position(), nil
}

// confirmation returns how old the knowledge in the answer is.
func (a tableAnswer) confirmation() fanout.Confirmation {
	return fanout.Confirmation{
		Held: time.Duration(a.HeldMS) * time.Millisecond,
		Age:  time.Duration(a.AgeMS) * time.Millisecond,
	}
}
