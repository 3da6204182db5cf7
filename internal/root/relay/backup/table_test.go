package backup

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// callTime is how long a call to memoryTable takes.
	callTime = 5 * time.Millisecond
	// historyTime is how long a memoryTable keeps the history of its changes.
	historyTime = 20 * time.Second
)

var errTable = errors.New("refused")

// memoryTable is a table of a store whose clock began at the start of the test.
type memoryTable struct {
	began time.Time

	mu   sync.Mutex
	rows map[string][]byte
	// history holds the changes in order. The version of a change is its index plus one.
	history []change
	// failing makes all calls fail.
	failing                             bool
	reads, changeReads, writes, removes int
	mostRemoved                         int
}

// change is a row that was written or removed.
type change struct {
	row follow.Row
	at  time.Time
}

func newMemoryTable() *memoryTable {
	return &memoryTable{
		began: time.Now(),
		rows:  map[string][]byte{},
	}
}

// begin counts a call, and returns an error while calls fail.
func (t *memoryTable) begin(count *int) error {
	time.Sleep(callTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	*count++
	if t.failing {
		return errTable
	}
	return nil
}

func (t *memoryTable) Read(context.Context) (Contents, error) {
	if err := t.begin(&t.reads); err != nil {
		return Contents{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []follow.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		out = append(out, follow.Row{
			Key:   key,
			Value: t.rows[key],
		})
	}
	return t.contents(out), nil
}

// contents returns rows as of now. The caller holds the lock.
func (t *memoryTable) contents(list []follow.Row) Contents {
	return Contents{
		Rows: list,
		Position: follow.Position{
			Era:     follow.EraOf(1),
			Version: int64(len(t.history)),
		},
		NowMS: time.Since(t.began).Milliseconds(),
	}
}

func (t *memoryTable) ReadChanges(_ context.Context, after follow.Position) (Contents, error) {
	if err := t.begin(&t.changeReads); err != nil {
		return Contents{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.history[after.Version:]
	if len(changes) > 0 && time.Since(changes[0].at) > historyTime {
		return Contents{}, follow.ErrHistoryTruncated
	}
	var out []follow.Row
	for _, c := range changes {
		out = append(out, c.row)
	}
	return t.contents(out), nil
}

func (t *memoryTable) Put(_ context.Context, key string, value []byte) error {
	if err := t.begin(&t.writes); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[key] = value
	t.record(follow.Row{
		Key:   key,
		Value: value,
	})
	return nil
}

// record adds a change to the history. The caller holds the lock.
func (t *memoryTable) record(row follow.Row) {
	t.history = append(t.history, change{
		row: row,
		at:  time.Now(),
	})
}

func (t *memoryTable) RemoveAll(_ context.Context, keys []string) error {
	if err := t.begin(&t.removes); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mostRemoved = max(t.mostRemoved, len(keys))
	for _, key := range keys {
		delete(t.rows, key)
		t.record(follow.Row{
			Key:     key,
			Deleted: true,
		})
	}
	return nil
}

// tableCounts counts the calls to a memoryTable and the rows in it.
type tableCounts struct {
	reads, changeReads, writes, mostRemoved, rows int
}

func (t *memoryTable) counts() tableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return tableCounts{
		reads:       t.reads,
		changeReads: t.changeReads,
		writes:      t.writes,
		mostRemoved: t.mostRemoved,
		rows:        len(t.rows),
	}
}

func (t *memoryTable) isFailing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failing
}

func (t *memoryTable) setFailing(failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = failing
}

// processTable is the table as one process reaches it, until it is killed.
type processTable struct {
	Table
	killed atomic.Bool
}

func (t *processTable) Put(ctx context.Context, key string, value []byte) error {
	if t.killed.Load() {
		return errTable
	}
	return t.Table.Put(ctx, key, value)
}

// process is one process of a host with its backup.
type process struct {
	*Backup
	history *origin.History
	kill    func()
	// stoppedUntil is until when the process does not follow the versions, in nanoseconds since 1970.
	stoppedUntil atomic.Int64
	// known holds the versions that the process knows.
	known atomic.Pointer[[]string]
	// own holds the streams that the process began, which it saves when a second version comes.
	own *origin.Ledger
}

// saveOwn saves the streams that the process began.
func (p *process) saveOwn() {
	for _, e := range p.own.Own(time.Now(), "p") {
		p.Save(e.Key, e.Origin, e.Keep)
	}
}

// stopFollowing makes the process not follow the versions for a while, as when it cannot reach the store.
func (p *process) stopFollowing(d time.Duration) {
	p.stoppedUntil.Store(time.Now().Add(d).UnixNano())
}

// start starts a process of a host that follows the versions of the pool p as the function returns them.
func start(t *testing.T, table Table, name string, first bool, versions func() []string, prepare ...func(b *Backup)) *process {
	t.Helper()
	h := origin.NewHistory()
	sinceBoot := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	reached := &processTable{
		Table: table,
	}
	p := &process{
		Backup:  New(common.NewQuietDeps(name, "d"), reached, h, sinceBoot, func() bool { return first }),
		history: h,
		own:     origin.NewLedger(),
		kill: func() {
			reached.killed.Store(true)
			cancel()
			wg.Wait()
			// A read in progress, and one that follows it, go on for a moment.
			time.Sleep(2 * callTime)
		},
	}
	for _, f := range prepare {
		f(p.Backup)
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			if time.Now().UnixNano() >= p.stoppedUntil.Load() {
				seen := versions()
				if len(h.Sync(time.Now(), upstreams(seen))) > 0 {
					p.saveOwn()
				}
				h.Confirm(time.Now())
				p.known.Store(&seen)
			}
			common.Sleep(ctx, 100*time.Millisecond)
		}
	})
	wg.Go(func() { _ = p.Run(ctx, func() {}) })
	return p
}

func upstreams(versions []string) []route.Upstream {
	var out []route.Upstream
	for _, v := range versions {
		out = append(out, route.Upstream{
			Pool:    "p",
			Version: v,
		})
	}
	return out
}

func originAt(version string) origin.Origin {
	return origin.Origin{
		Pool:     "p",
		Version:  version,
		Upstream: route.Incarnation{Name: "u", Addr: "10.0.0.1:1"},
		SentAt:   time.Now(),
	}
}
