package hosts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/fanout"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

// HostsTable is the name of the table of hosts, which tells of whom the other tables can be heard.
const HostsTable = "hosts"

const (
	// maxAskWait is how long a question to another host waits for changes.
	maxAskWait = time.Second
	// askSlack is how much longer than the wait an answer of another host may take. With a wait it is longer than a connection to a frozen host lives.
	askSlack = 500 * time.Millisecond
	// heardTimeout is how long an answer to a question for what a host has heard may take. It is short, as any other host can be asked as well.
	heardTimeout = 250 * time.Millisecond
	// briefWait is how long a question waits for changes while a host that was asked before reads many rows.
	briefWait = 250 * time.Millisecond
	// becomeFollowerWait is how long a question waits for a host to begin to follow the store.
	becomeFollowerWait = 200 * time.Millisecond
)

// errHostFailed reports that another host could not tell what is asked, errNoNews that it does not know more than this one, and errStoreFails that no host can tell at present.
var (
	errHostFailed = errors.New("host cannot tell the rows")
	errNoNews     = errors.New("host does not know more")
	errStoreFails = errors.New("the hosts that follow the store cannot read it")
)

// TableStats is what the metrics tell of a table.
type TableStats struct {
	// Follows reports that this host reads the table from the store, and AgeMS is how old its knowledge is in milliseconds, or negative if there is none.
	Follows bool  `json:"follows"`
	AgeMS   int64 `json:"age_ms"`
	// OldestMS is the highest age that knowledge had when it was renewed, in milliseconds, and Overdue counts how often that was more than the knowledge of another host may be old.
	OldestMS int64 `json:"oldest_ms"`
	// LongestMS is the longest time that a read took until some source answered, in milliseconds.
	LongestMS int64 `json:"longest_ms"`
	Overdue   int   `json:"overdue"`
	// StoreCalls and HostCalls count the answers of the store and of other hosts, Told the answers to other hosts, Fallbacks how often this host turned to the store because no other host could tell, and GaveUp how often it could not do that either.
	StoreCalls int `json:"store_calls"`
	HostCalls  int `json:"host_calls"`
	Told       int `json:"told"`
	// ToldBytes counts the bytes of values in answers to other hosts, and LargestBytes is the most of one answer.
	ToldBytes    int `json:"told_bytes"`
	LargestBytes int `json:"largest_bytes"`
	Fallbacks    int `json:"fallbacks"`
	GaveUp       int `json:"gave_up"`
}

// Table is a table of the platform's store that is read from the store or from another host. Only one goroutine may read it; others may be told about it at the same time.
type Table struct {
	common.Deps
	tables *Tables
	name   string
	store  follow.Source
	limits fanout.Limits
	packer packer

	mu      sync.Mutex
	chooser *fanout.Chooser
	record  fanout.Record
	// follows reports that this host reads the table from the store and has succeeded, and failing that its last call there failed.
	follows bool
	failing bool
	// transfer is the answer of the store that is arriving.
	transfer transfer
	// overhead is by how much longer the last call to the store took than it waited.
	overhead time.Duration
	// updated is closed and replaced at each change of what other hosts are told.
	updated chan struct{}
	counts  TableStats
	// readAt is when the last rows or confirmation were read, since boot.
	readAt time.Duration
	// gaveUpUntil is until when this host does not try the store according to the last log line on that, since boot.
	gaveUpUntil time.Duration
}

// Add adds a table that is read from the store within the limits. It must be called before Run of the peers.
func (t *Tables) Add(name string, store follow.Source, limits fanout.Limits) *Table {
	table := &Table{
		Deps:    t.Deps,
		tables:  t,
		name:    name,
		store:   store,
		limits:  limits,
		chooser: fanout.NewChooser(rand.New(rand.NewPCG(t.random.Uint64(), t.random.Uint64())), limits),
		updated: make(chan struct{}),
	}
	t.byName[name] = table
	return table
}

// ReadAll returns every row and the position of the table.
func (t *Table) ReadAll(ctx context.Context) ([]follow.Row, follow.Position, error) {
	if t.tables.shared && t.name != HostsTable {
		t.tables.awaitRoster(ctx)
	}
	return t.read(ctx, reading{
		whole: true,
	})
}

// WaitForChanges waits up to wait for changes after the position, and returns them with the position to continue from.
func (t *Table) WaitForChanges(ctx context.Context, after follow.Position, wait time.Duration) ([]follow.Row, follow.Position, error) {
	return t.read(ctx, reading{
		after: after,
		wait:  wait,
	})
}

// ConfirmedAt returns when the call began by which the store confirmed the rows that were read, since boot.
func (t *Table) ConfirmedAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, _ := t.record.ConfirmedAt()
	return at
}

// ConfirmedAge returns the time since ConfirmedAt.
func (t *Table) ConfirmedAge() time.Duration {
	at := t.ConfirmedAt()
	return t.tables.sinceBoot() - at
}

// ReadAge returns the time since the last rows or confirmation were read.
func (t *Table) ReadAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tables.sinceBoot() - t.readAt
}

// Heard reports whether the table is read from another host.
func (t *Table) Heard() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.follows
}

// reading is one read of a table: the whole table, or the changes after a position.
type reading struct {
	whole bool
	after follow.Position
	wait  time.Duration
	// heard reports that a host is asked for what it has heard from others.
	heard bool
	// late reports that a host is asked since the answer of another one is late.
	late bool
	// began is when the read began, since boot, and asked how many hosts and stores have been asked.
	began time.Duration
	asked int
}

// read reads from where the chooser says, until the store has answered or failed, another host has answered, or ctx is done. Once what this host knows is late others are asked as well, and the store in time.
func (t *Table) read(ctx context.Context, r reading) ([]follow.Row, follow.Position, error) {
	r.began = t.tables.sinceBoot()
	f := newFlights(ctx, t)
	defer f.end(ctx)
	choose := t.next
	for ctx.Err() == nil {
		view, hosts := t.view(f)
		r.asked = f.sent + 1
		switch a := choose(view).(type) {
		case fanout.AskHost:
			if !f.asks(a.Name) {
				f.askHost(hosts[a.Name], r.ofHost(a, f.running > 0))
			}
		case fanout.AskStore:
			if !f.calling {
				f.callStore(a.After, t.ofStore(r, a, view))
			}
		case fanout.GiveUp:
			if f.running == 0 {
				t.noteGiveUp(view, a)
				return nil, follow.Position{}, fmt.Errorf("read table %s: %w", t.name, errStoreFails)
			}
		case nil:
		}
		l, ok := f.await(ctx, view)
		if !ok {
			choose = f.meanwhile
			continue
		}
		rows, position, err := t.land(ctx, f, l)
		switch {
		case errors.Is(err, errNoNews) && f.running > 0:
			choose = f.nobody
		case errors.Is(err, errNoNews), errors.Is(err, errHostFailed):
			// The time for a wait has passed with the host that failed: what is known is to be confirmed at once.
			r.wait = 0
			choose = t.next
		default:
			return rows, position, err
		}
	}
	return nil, follow.Position{}, fmt.Errorf("read table %s: %w", t.name, ctx.Err())
}

// ofHost returns the question to another host.
func (r reading) ofHost(a fanout.AskHost, hedged bool) reading {
	r.heard = a.Heard
	switch {
	case hedged && a.Brief:
		r.wait = briefWait
		r.late = true
	case a.Brief:
		r.wait = min(r.wait, briefWait)
	}
	return r
}

// ofStore returns the question to the store.
func (t *Table) ofStore(r reading, a fanout.AskStore, v fanout.View) reading {
	switch {
	case a.Probe:
		r.wait = 0
	case v.HasHearers():
		r.wait = min(r.wait, t.callWait())
	}
	return r
}

// callWait returns how long a call to the store waits for changes if others hear from this host.
func (t *Table) callWait() time.Duration {
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.record.ConfirmedAt()
	if !ok {
		at = now
	}
	return t.limits.CallWait(now-at, t.overhead)
}

// meanwhile returns whom to ask as well while answers are awaited.
func (f *flights) meanwhile(v fanout.View) fanout.Action {
	if v.Arriving {
		f.dropQuiet()
		return nil
	}
	if f.running >= maxFlights {
		return nil
	}
	t := f.table
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.chooser.Meanwhile(now, v)
	t.noteTurn(now, v, a)
	return a
}

// nobody returns that nobody else is asked for now.
func (*flights) nobody(fanout.View) fanout.Action {
	return nil
}

// land takes over an answer. The error is errHostFailed if another source is to be asked, and errNoNews if the answer only shows that others are to be awaited.
func (t *Table) land(ctx context.Context, f *flights, l landing) ([]follow.Row, follow.Position, error) {
	if !l.store {
		return t.landHost(ctx, f, l)
	}
	rows, position, err := t.landStore(ctx, l)
	if err != nil && f.running > 0 && ctx.Err() == nil && !errors.Is(err, follow.ErrHistoryTruncated) {
		return nil, follow.Position{}, errHostFailed
	}
	return rows, position, err
}

// view returns what the chooser needs to know of the other hosts and of this one, and the candidates by name.
func (t *Table) view(f *flights) (fanout.View, map[string]Host) {
	if !t.tables.shared {
		return fanout.View{
			Follower: true,
		}, nil
	}
	now := t.tables.sinceBoot()
	arriving := f.arrives()
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.tables.peers.roster.followers(t.name, func(name string) bool { return !t.chooser.PassesOver(now, name) })
	view := fanout.View{
		Follower: known.self,
		Hosts:    t.tables.peers.roster.Count(),
		Calling:  f.calling,
		Arriving: arriving,
	}
	view.ConfirmedAt, view.Confirmed = t.record.ConfirmedAt()
	byName := make(map[string]Host, len(known.up))
	for _, h := range known.others {
		view.Candidates = append(view.Candidates, h.Name)
	}
	for _, h := range known.up {
		view.Others = append(view.Others, h.Name)
		byName[h.Name] = h
	}
	return view, byName
}

// next returns from where to read, and tells waiting hosts if this one no longer follows the store.
func (t *Table) next(v fanout.View) fanout.Action {
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.chooser.Next(now, v)
	if _, ok := a.(fanout.AskStore); ok {
		t.noteTurn(now, v, a)
		return a
	}
	if !v.Calling {
		t.setFollows(false)
	}
	return a
}

// noteTurn logs that this host turns to the store. The caller holds the lock.
func (t *Table) noteTurn(now time.Duration, v fanout.View, a fanout.Action) {
	call, ok := a.(fanout.AskStore)
	if !ok || v.Follower || (call.After == 0 && !call.Due) {
		return
	}
	t.Log.WithField("table", t.name).WithField("candidates", len(v.Candidates)).WithField("pause_ms", call.After.Milliseconds()).WithField("probe", call.Probe).WithField("due", call.Due).
		WithField("age_ms", (now - v.ConfirmedAt).Milliseconds()).Info("No other host tells the rows of the table. Reading the store.")
}

// noteGiveUp counts that this host can't read the table for now, and logs it once for each time until which it does not try the store.
func (t *Table) noteGiveUp(v fanout.View, g fanout.GiveUp) {
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.GaveUp++
	if g.Until == t.gaveUpUntil {
		return
	}
	t.gaveUpUntil = g.Until
	confirmedAt, _ := t.record.ConfirmedAt()
	t.Log.WithField("table", t.name).WithField("age_ms", (now-confirmedAt).Milliseconds()).WithField("candidates", len(v.Candidates)).WithField("unasked", g.Unasked).
		WithField("store_after_ms", (g.Until - now).Milliseconds()).Info("Neither another host nor the store tells the rows of the table.")
}

// setFollows records whether this host reads the table from the store. The caller holds the lock.
func (t *Table) setFollows(follows bool) {
	if t.follows == follows {
		return
	}
	t.follows = follows
	t.Log.WithField("table", t.name).WithField("follows", follows).Info("Whether this host reads the table from the store has changed.")
	t.notify()
}

// notify wakes the questions of other hosts. The caller holds the lock.
func (t *Table) notify() {
	close(t.updated)
	t.updated = make(chan struct{})
}

// callStore calls the store.
func (t *Table) callStore(ctx context.Context, r reading) ([]follow.Row, follow.Position, error) {
	if r.whole {
		return t.store.ReadAll(ctx)
	}
	wait := t.storeWait(r.wait)
	began := t.tables.sinceBoot()
	rows, position, err := t.store.WaitForChanges(ctx, r.after, wait)
	if err == nil && len(rows) == 0 {
		t.mu.Lock()
		t.overhead = max(0, t.tables.sinceBoot()-began-wait)
		t.mu.Unlock()
	}
	return rows, position, err
}

// landStore takes over the answer of the store.
func (t *Table) landStore(ctx context.Context, l landing) ([]follow.Row, follow.Position, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transfer = t.transfer.next()
	if l.err != nil && (ctx.Err() != nil || errors.Is(l.err, follow.ErrHistoryTruncated)) {
		return nil, follow.Position{}, fmt.Errorf("read table %s from the store: %w", t.name, l.err)
	}
	if l.err != nil {
		t.chooser.StoreFailed()
		t.failing = true
		t.notify()
		return nil, follow.Position{}, fmt.Errorf("read table %s from the store: %w", t.name, l.err)
	}
	t.counts.StoreCalls++
	t.chooser.StoreAnswered(t.tables.sinceBoot())
	t.failing = false
	t.setFollows(true)
	t.noteAge("store", l.reading, l.position)
	t.add(l.reading, l.rows, l.position, l.askedAt)
	return l.rows, l.position, nil
}

// noteAge records how old the knowledge of the table is that a source is about to renew. The caller holds the lock.
func (t *Table) noteAge(source string, r reading, position follow.Position) {
	confirmedAt, ok := t.record.ConfirmedAt()
	if !ok {
		return
	}
	now := t.tables.sinceBoot()
	age := now - confirmedAt
	t.counts.LongestMS = max(t.counts.LongestMS, (now - r.began).Milliseconds())
	t.counts.OldestMS = max(t.counts.OldestMS, age.Milliseconds())
	if age <= t.limits.MaxAge() {
		return
	}
	t.counts.Overdue++
	t.Log.WithField("table", t.name).WithField("age_ms", age.Milliseconds()).WithField("read_ms", (now-r.began).Milliseconds()).WithField("asked", r.asked).
		WithField("from", source).WithField("version", position.Version).Info("What this host knows of the table was overdue.")
}

// add adds rows that were read to the record, confirmed at a time since boot. The caller holds the lock.
func (t *Table) add(r reading, rows []follow.Row, position follow.Position, confirmedAt time.Duration) {
	t.readAt = t.tables.sinceBoot()
	if r.whole {
		t.record.Replace(rows, position, confirmedAt)
	} else {
		t.record.Apply(rows, position, confirmedAt)
	}
	t.notify()
}

// stats returns what the metrics tell of the table.
func (t *Table) stats() TableStats {
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.counts
	s.Follows = t.follows
	s.Fallbacks = t.chooser.Fallbacks()
	s.AgeMS = -1
	if at, ok := t.record.ConfirmedAt(); ok {
		s.AgeMS = (now - at).Milliseconds()
	}
	return s
}
