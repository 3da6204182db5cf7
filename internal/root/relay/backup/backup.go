package backup

import (
	"context"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

const (
	// checkInterval is the time between two checks of what is to be written.
	checkInterval = time.Second
	// mixedWriteDelay is how long streams wait to be written together while a pool has several versions, and writeDelay the same once the others have left.
	mixedWriteDelay = 100 * time.Millisecond
	writeDelay      = time.Second
	// confirmInterval is the time between two writes of unchanged versions.
	confirmInterval = 5 * time.Second
	// cleanInterval is the time between two removals of rows whose streams nobody may resume.
	cleanInterval = 30 * time.Second
	// finalWriteTimeout bounds the last write of a host that stops.
	finalWriteTimeout = 300 * time.Millisecond
	// failureMemory is how long a host takes nothing to write for others after a write of its own failed.
	failureMemory = 3 * time.Second
	// maxPending bounds the streams that wait to be written. The oldest are dropped first.
	maxPending = 4096
	// maxRemoved is how many rows are removed by one call.
	maxRemoved = 100
)

// Table is the table of the platform's store with the rows of this package.
type Table interface {
	// Read returns every row.
	Read(ctx context.Context) (Contents, error)
	// ReadChanges returns the rows that were written after the position. The error is follow.ErrHistoryTruncated if the store does not have these changes any more.
	ReadChanges(ctx context.Context, after follow.Position) (Contents, error)
	// Put writes a row.
	Put(ctx context.Context, key string, value []byte) error
	// RemoveAll removes rows.
	RemoveAll(ctx context.Context, keys []string) error
}

// Contents is what a read of the table returned.
type Contents struct {
	Rows []follow.Row
	// Position is the point in the history of the table from which later changes are read.
	Position follow.Position
	// NowMS is the time of the store's clock in milliseconds.
	NowMS int64
}

// Backup writes and reads the rows of this host. It is safe for concurrent use.
type Backup struct {
	common.Deps
	table   Table
	history *origin.History
	clock   clock
	// writesForAll reports whether this host writes the versions, and removes expired rows, for all hosts.
	writesForAll func() bool
	// wake ends the wait for the next check.
	wake chan struct{}
	// stopped is closed once Run ends.
	stopped chan struct{}
	reader  *reader
	// written holds the versions that were written last, with writtenRoutes, at writtenAt. All belong to Run, like cleanedAt.
	written       map[string]string
	writtenRoutes [plan.DigestCount]plan.RouteDigest
	writtenAt     time.Time
	cleanedAt     time.Time
	// failing reports that the last write failed. It belongs to Run.
	failing bool
	// rowsWritten counts the rows with streams since this process started.
	rowsWritten int

	// routes is what the rows of versions also tell of routes.
	routes Routes
	// suspects returns what may crash upstreams, and suspectsWrittenAt is when that was last written. Both belong to Run.
	suspects          func() blame.Update
	suspectsWrittenAt time.Time
	// onCrashes is called with what the store holds of crashes, each time that it is read.
	onCrashes func(u blame.Update)
	// onSettled is called with the settled era that the store states, each time that it is read.
	onSettled func(era string)

	mu      sync.Mutex
	pending []pendingStream
	// failedAt is when a write last failed, or zero if the last one succeeded.
	failedAt time.Time
	// settled is the era that this host knows to be settled, or "".
	settled string
	// crashes is what is to be written of crashes, or nil.
	crashes *savedCrashes
	// suspectsDue reports that what may crash upstreams is to be written.
	suspectsDue bool
}

// New returns a backup in the table. What it reads about versions goes into history, and what it writes about them comes from there. sinceBoot returns the time since boot, including suspension; writesForAll reports whether this host makes the writes of which one for all hosts is enough.
func New(deps common.Deps, table Table, history *origin.History, sinceBoot func() time.Duration, writesForAll func() bool) *Backup {
	return &Backup{
		Deps:         deps.WithPart("backup"),
		table:        table,
		history:      history,
		writesForAll: writesForAll,
		clock: clock{
			sinceBoot: sinceBoot,
		},
		wake:      make(chan struct{}, 1),
		stopped:   make(chan struct{}),
		reader:    newReader(),
		routes:    &plan.Moves{},
		onCrashes: func(blame.Update) {},
		suspects:  func() blame.Update { return blame.Update{} },
		onSettled: func(string) {},
	}
}

// Name returns the part's name in the supervision tree.
func (b *Backup) Name() string {
	return "backup"
}

// Wake makes Run check at once what is to be written.
func (b *Backup) Wake() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// OnSettled sets the function that is called with the settled era that the store states, each time that it is read. It must be called before Run.
func (b *Backup) OnSettled(f func(era string)) {
	b.onSettled = f
}

// SetSettledEra has it written that the operator has had the time to write its configuration again in an era of the store.
func (b *Backup) SetSettledEra(era string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settled = era
}

func (b *Backup) settledEra() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settled
}

// Run reads the table, and then writes what is to be kept, until ctx is done.
func (b *Backup) Run(ctx context.Context, up func()) error {
	up()
	b.cleanedAt = b.Now()
	for ctx.Err() == nil {
		b.readFirst(ctx)
		b.writeVersions(ctx)
		b.writeCrashes(ctx)
		b.writeSuspects(ctx)
		if b.hasPending() {
			b.gather(ctx)
			b.writeStreams(ctx)
		}
		b.clean(ctx)
		b.wait(ctx)
	}
	close(b.stopped)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer cancel()
	b.writeStreams(ctx)
	return nil
}

// readFirst reads the table unless that has succeeded before, or has failed just now.
func (b *Backup) readFirst(ctx context.Context) {
	if _, known := b.clock.now(); known || b.reader.pausesAfterFailure(b.Now()) {
		return
	}
	if err := b.Refresh(ctx); err != nil && ctx.Err() == nil {
		b.Log.WithError(err).Info("Failed to read what earlier hosts knew of streams and versions.")
	}
}

// gather waits for streams that can be written together with those that wait already. It ends the longer wait when a second version comes meanwhile: other hosts may have learned of that before this one.
func (b *Backup) gather(ctx context.Context) {
	began := b.Now()
	for ctx.Err() == nil {
		left := b.delay() - b.Now().Sub(began)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-b.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// wait waits until the next check is due, or Wake is called.
func (b *Backup) wait(ctx context.Context) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.wake:
	case <-ctx.Done():
	}
}

// recordWrite logs the first of several failed writes, and the first success after them.
func (b *Backup) recordWrite(err error) {
	switch {
	case err != nil && !b.failing:
		b.Log.WithError(err).Warn("Failed to write to the store. Streams may not go on if all hosts are lost.")
	case err == nil && b.failing:
		b.Log.Info("Writing to the store works again.")
	}
	b.failing = err != nil
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failedAt = time.Time{}
	if err != nil {
		b.failedAt = b.Now()
	}
}

// CanWrite reports whether this host follows the store and its writes have not just failed.
func (b *Backup) CanWrite() bool {
	now := b.Now()
	if _, known := b.clock.now(); !known {
		return false
	}
	if _, _, followed := b.history.All(now); !followed {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failedAt.IsZero() || now.Sub(b.failedAt) >= failureMemory
}

// clean removes the rows whose streams nobody may resume, if that is up to this host.
func (b *Backup) clean(ctx context.Context) {
	now := b.Now()
	if now.Sub(b.cleanedAt) < cleanInterval || !b.writesForAll() {
		return
	}
	b.cleanedAt = now
	if err := b.Refresh(ctx); err != nil {
		b.Log.WithError(err).Info("Failed to read which rows can be removed.")
		return
	}
	expired := b.reader.expiredKeys()
	for len(expired) > 0 {
		n := min(maxRemoved, len(expired))
		if err := b.table.RemoveAll(ctx, expired[:n]); err != nil {
			b.Log.WithError(err).Info("Failed to remove outdated rows.")
			return
		}
		expired = expired[n:]
	}
}
