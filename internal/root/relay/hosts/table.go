package hosts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/jhttp"
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

// errHostFailed reports that another host could not tell what is asked, and errStoreFails that no host can at present.
var (
	errHostFailed = errors.New("host cannot tell the rows")
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
	// updated is closed and replaced at each change of what other hosts are told.
	updated chan struct{}
	counts  TableStats
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
	// began is when the read began, since boot, and asked how many hosts and stores have been asked.
	began time.Duration
	asked int
}

// read reads from where the chooser says, until the store has answered or failed, another host has answered, or ctx is done.
func (t *Table) read(ctx context.Context, r reading) ([]follow.Row, follow.Position, error) {
	r.began = t.tables.sinceBoot()
	for ctx.Err() == nil {
		r.asked++
		view, hosts := t.view()
		switch a := t.next(view).(type) {
		case fanout.AskHost:
			r.heard = a.Heard
			if a.Brief {
				r.wait = min(r.wait, briefWait)
			}
			rows, position, err := t.readHost(ctx, hosts[a.Name], r)
			if !errors.Is(err, errHostFailed) {
				return rows, position, err
			}
			// The time for a wait has passed with the host that failed: what is known is to be confirmed at once.
			r.wait = 0
		case fanout.AskStore:
			switch {
			case a.Probe:
				r.wait = 0
			case view.HasHearers():
				r.wait = min(r.wait, t.limits.StoreWait())
			}
			common.Sleep(ctx, a.After)
			return t.readStore(ctx, r)
		case fanout.GiveUp:
			return nil, follow.Position{}, fmt.Errorf("read table %s: %w", t.name, errStoreFails)
		}
	}
	return nil, follow.Position{}, fmt.Errorf("read table %s: %w", t.name, ctx.Err())
}

// view returns what the chooser needs to know of the other hosts, and the candidates by name.
func (t *Table) view() (fanout.View, map[string]Host) {
	if !t.tables.shared {
		return fanout.View{
			Follower: true,
		}, nil
	}
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.tables.peers.roster.followers(t.name, func(name string) bool { return !t.chooser.PassesOver(now, name) })
	view := fanout.View{
		Follower: f.self,
		Hosts:    t.tables.peers.roster.Count(),
	}
	byName := make(map[string]Host, len(f.up))
	for _, h := range f.others {
		view.Candidates = append(view.Candidates, h.Name)
	}
	for _, h := range f.up {
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
	switch a := a.(type) {
	case fanout.AskStore:
		if !v.Follower && a.After > 0 {
			t.Log.WithField("table", t.name).WithField("candidates", len(v.Candidates)).WithField("pause_ms", a.After.Milliseconds()).WithField("probe", a.Probe).Info("No other host tells the rows of the table. Reading the store.")
		}
		return a
	case fanout.GiveUp:
		t.noteGiveUp(now, v, a)
	}
	t.setFollows(false)
	return a
}

// noteGiveUp counts that this host can't read the table for now, and logs it once for each time until which it does not try the store. The caller holds the lock.
func (t *Table) noteGiveUp(now time.Duration, v fanout.View, g fanout.GiveUp) {
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

// readStore reads from the store.
func (t *Table) readStore(ctx context.Context, r reading) ([]follow.Row, follow.Position, error) {
	askedAt := t.tables.sinceBoot()
	watched := follow.WithProgress(ctx, t.noteTransfer)
	var rows []follow.Row
	var position follow.Position
	var err error
	if r.whole {
		rows, position, err = t.store.ReadAll(watched)
	} else {
		rows, position, err = t.store.WaitForChanges(watched, r.after, t.storeWait(r.wait))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transfer = t.transfer.next()
	if err != nil && (ctx.Err() != nil || errors.Is(err, follow.ErrHistoryTruncated)) {
		return nil, follow.Position{}, fmt.Errorf("read table %s from the store: %w", t.name, err)
	}
	if err != nil {
		t.chooser.StoreFailed()
		t.failing = true
		t.notify()
		return nil, follow.Position{}, fmt.Errorf("read table %s from the store: %w", t.name, err)
	}
	t.counts.StoreCalls++
	t.chooser.StoreAnswered(t.tables.sinceBoot())
	t.failing = false
	t.setFollows(true)
	t.noteAge("store", r, position)
	t.add(r, rows, position, askedAt)
	return rows, position, nil
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
	if r.whole {
		t.record.Replace(rows, position, confirmedAt)
	} else {
		t.record.Apply(rows, position, confirmedAt)
	}
	t.notify()
}

// readHost reads from another host. The error is errHostFailed if another one is to be asked.
func (t *Table) readHost(ctx context.Context, h Host, r reading) ([]follow.Row, follow.Position, error) {
	askedAt := t.tables.sinceBoot()
	a, transfer, err := t.ask(ctx, h, r)
	if ctx.Err() != nil {
		return nil, follow.Position{}, fmt.Errorf("ask host for table %s: %w", t.name, ctx.Err())
	}
	if err != nil {
		return nil, follow.Position{}, t.noteFailure(h, failureOf(err), err)
	}
	confirmedAt, err := t.check(h, r, a, askedAt, t.tables.sinceBoot()-transfer)
	if err != nil {
		return nil, follow.Position{}, err
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

// noteFailure records that a host could not tell the rows, and returns errHostFailed. A host that cannot be reached is down.
func (t *Table) noteFailure(h Host, f fanout.Failure, cause error) error {
	t.Log.WithError(cause).WithField("host", h.Name).WithField("table", t.name).WithField("failure", f).Info("A host could not tell the rows of a table.")
	if f == fanout.Silent && !errors.Is(cause, context.DeadlineExceeded) {
		t.tables.peers.roster.MarkDown(h, cause)
	}
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.Failed(now, h.Name, f)
	return errHostFailed
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
