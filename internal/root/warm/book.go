package warm

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// maxEntries is the maximum number of upstreams that are remembered as cold or in doubt.
	maxEntries = 4096
	// maxRemaining bounds how much longer an upstream can state that it stays cold.
	maxRemaining = 10 * time.Minute
	// doubtTTL is how long an upstream that could not be connected to counts as cold if it is not reached again.
	doubtTTL = 20 * time.Second
	// clockShare is how much longer than stated an upstream counts as cold, as a share of that time, since clocks run at different speeds.
	clockShare = 0.05
)

// entry is what this host knows of one start of an upstream.
type entry struct {
	pool string
	// since is when the upstream was first known to be cold, without a break since.
	since time.Time
	// statedUntil is the end of the cold time by the upstream's row, and statedAt when the row arrived.
	statedUntil time.Time
	statedAt    time.Time
	// failedAt is when a connection to the upstream last failed, and answeredAt when it first answered after that. Both are zero without a doubt.
	failedAt   time.Time
	answeredAt time.Time
}

// until returns the end of the cold time. An upstream that has restarted did so before its first answer, so it is cold for no longer than warmUp after that.
func (e *entry) until(warmUp time.Duration) time.Time {
	end := e.statedUntil
	if doubt := e.doubtUntil(warmUp); doubt.After(end) {
		end = doubt
	}
	return end
}

func (e *entry) doubtUntil(warmUp time.Duration) time.Time {
	switch {
	case e.failedAt.IsZero():
		return time.Time{}
	case e.answeredAt.IsZero():
		return e.failedAt.Add(doubtTTL)
	default:
		return e.answeredAt.Add(withClockShare(warmUp))
	}
}

// withClockShare returns the time by this host's clock after which the duration is over by any other.
func withClockShare(d time.Duration) time.Duration {
	return d + time.Duration(clockShare*float64(d))
}

// State is what is known of an upstream that is or was cold.
type State struct {
	Incarnation route.Incarnation
	Pool        string
	// Since and Until are the begin and the end of its cold time.
	Since time.Time
	Until time.Time
	// InDoubt reports that the upstream may have restarted, as a connection to it has failed.
	InDoubt bool
	// Age is how long ago this host learned what it knows.
	Age time.Duration
}

// Book holds which upstreams are cold. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	entries map[route.Incarnation]*entry
	// doubts counts the entries that wait for an answer.
	doubts atomic.Int64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		entries: map[route.Incarnation]*entry{},
	}
}

// Row records what the row of an upstream states when it arrives: how much longer the upstream stays cold. The row has been under way for an unknown time, so that the end is not later than that. outdated is set for a row of a restored table, which may be older than what is known and can't end anything. Row reports whether anything changed.
func (b *Book) Row(now time.Time, up route.Upstream, remaining time.Duration, outdated bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := up.Incarnation()
	e, ok := b.entries[i]
	if !ok && remaining <= 0 {
		return false
	}
	if !ok {
		e = b.add(now, i, up.Pool)
	}
	until := now.Add(withClockShare(min(max(0, remaining), maxRemaining)))
	if outdated && until.Before(e.statedUntil) {
		return false
	}
	changed := until.After(now) || e.statedUntil.After(now)
	e.begin(now, until)
	e.statedUntil = until
	e.statedAt = now
	return changed
}

// Failed records that no connection to the upstream could be opened: it may have restarted, and its row may be of the time before.
func (b *Book) Failed(now time.Time, up route.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := up.Incarnation()
	e, ok := b.entries[i]
	if !ok {
		e = b.add(now, i, up.Pool)
	}
	if !e.awaitsAnswer() {
		b.doubts.Add(1)
	}
	e.begin(now, now.Add(doubtTTL))
	e.failedAt = now
	e.answeredAt = time.Time{}
}

// Answered records a response of the upstream to a request, and reports whether it was the first one after a failed connection.
func (b *Book) Answered(now time.Time, i route.Incarnation) bool {
	if b.doubts.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[i]
	if !ok || !e.awaitsAnswer() {
		return false
	}
	b.doubts.Add(-1)
	e.answeredAt = now
	return true
}

func (e *entry) awaitsAnswer() bool {
	return !e.failedAt.IsZero() && e.answeredAt.IsZero()
}

// begin notes when the cold time began, if the upstream was warm before.
func (e *entry) begin(now, until time.Time) {
	if until.After(now) && !e.statedUntil.After(now) && !e.awaitsAnswer() {
		e.since = now
	}
}

// State returns what is known of the upstream, or false if it never was cold. warmUp is how long the upstreams of its pool stay cold after their start.
func (b *Book) State(now time.Time, i route.Incarnation, warmUp time.Duration) (State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[i]
	if !ok {
		return State{}, false
	}
	return e.state(now, i, warmUp), true
}

func (e *entry) state(now time.Time, i route.Incarnation, warmUp time.Duration) State {
	learnedAt := e.statedAt
	if e.failedAt.After(learnedAt) {
		learnedAt = e.failedAt
	}
	return State{
		Incarnation: i,
		Pool:        e.pool,
		Since:       e.since,
		Until:       e.until(warmUp),
		InDoubt:     e.doubtUntil(warmUp).After(now),
		Age:         now.Sub(learnedAt),
	}
}

// List returns the states of the upstreams that are cold, and forgets the others. warmUp returns how long the upstreams of a pool stay cold.
func (b *Book) List(now time.Time, warmUp func(pool string) time.Duration) []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]State, 0, len(b.entries))
	for i, e := range b.entries {
		s := e.state(now, i, warmUp(e.pool))
		if !now.Before(s.Until) {
			b.remove(i, e)
			continue
		}
		out = append(out, s)
	}
	return out
}

// remove removes an entry. The caller holds the lock.
func (b *Book) remove(i route.Incarnation, e *entry) {
	if e.awaitsAnswer() {
		b.doubts.Add(-1)
	}
	delete(b.entries, i)
}

// add adds an entry, in place of the one that has gone longest without news if there are too many. The caller holds the lock.
func (b *Book) add(now time.Time, i route.Incarnation, pool string) *entry {
	if len(b.entries) >= maxEntries {
		b.forgetOldest()
	}
	e := &entry{
		pool:  pool,
		since: now,
	}
	b.entries[i] = e
	return e
}

// forgetOldest removes the entry that has gone longest without news. The caller holds the lock.
func (b *Book) forgetOldest() {
	var (
		oldest route.Incarnation
		at     time.Time
	)
	for i, e := range b.entries {
		news := e.statedAt
		if e.failedAt.After(news) {
			news = e.failedAt
		}
		if at.IsZero() || news.Before(at) {
			oldest = i
			at = news
		}
	}
	if e, ok := b.entries[oldest]; ok {
		b.remove(oldest, e)
	}
}
