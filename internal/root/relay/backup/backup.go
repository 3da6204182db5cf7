package backup

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
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
	// maxPending bounds the streams that wait to be written. The oldest are dropped first.
	maxPending = 4096
	// maxRemoved is how many rows are removed by one call.
	maxRemoved = 100
)

// Table is the table of the platform's store with the rows of this package.
type Table interface {
	// Read returns every row, and the time of the store's clock in milliseconds.
	Read(ctx context.Context) (rows []follow.Row, nowMS int64, err error)
	// Put writes a row.
	Put(ctx context.Context, key string, value []byte) error
	// RemoveAll removes rows.
	RemoveAll(ctx context.Context, keys []string) error
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
	wake   chan struct{}
	reader reader
	// written holds the versions that were written last, at writtenAt. Both belong to Run, like cleanedAt.
	written   map[string]string
	writtenAt time.Time
	cleanedAt time.Time
	// failing reports that the last write failed.
	failing bool
	// rowsWritten counts the rows with streams since this process started.
	rowsWritten int

	// onCrashes is called with what the store holds of crashes, each time that it is read.
	onCrashes func(u blame.Update)

	mu      sync.Mutex
	pending []pendingStream
	// crashes is what is to be written of crashes, or nil.
	crashes *savedCrashes
}

// savedCrashes is what was known of crashes at a time.
type savedCrashes struct {
	evidence blame.Update
	at       time.Time
}

// pendingStream is a stream that is to be written.
type pendingStream struct {
	key    origin.Key
	origin origin.Origin
	until  time.Time
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
		onCrashes: func(blame.Update) {},
	}
}

// OnCrashes sets the function that is called with what the store holds of crashes, each time that it is read. It must be called before Run.
func (b *Backup) OnCrashes(f func(u blame.Update)) {
	b.onCrashes = f
}

// SaveCrashes writes soon what crashes upstreams, in place of what was written before.
func (b *Backup) SaveCrashes(u blame.Update) {
	b.mu.Lock()
	b.crashes = &savedCrashes{
		evidence: u,
		at:       b.Now(),
	}
	b.mu.Unlock()
	b.Wake()
}

// Name returns the part's name in the supervision tree.
func (b *Backup) Name() string {
	return "backup"
}

// Save writes soon where a stream began, which its caller may resume for the given time.
func (b *Backup) Save(k origin.Key, o origin.Origin, keep time.Duration) {
	b.mu.Lock()
	b.pending = append(b.pending, pendingStream{
		key:    k,
		origin: o,
		until:  b.Now().Add(keep),
	})
	if excess := len(b.pending) - maxPending; excess > 0 {
		b.pending = b.pending[excess:]
	}
	b.mu.Unlock()
	b.Wake()
}

// Wake makes Run check at once what is to be written.
func (b *Backup) Wake() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run reads the table, and then writes what is to be kept, until ctx is done.
func (b *Backup) Run(ctx context.Context, up func()) error {
	up()
	b.cleanedAt = b.Now()
	for ctx.Err() == nil {
		b.readFirst(ctx)
		b.writeVersions(ctx)
		b.writeCrashes(ctx)
		if b.hasPending() {
			common.Sleep(ctx, b.delay())
			b.writeStreams(ctx)
		}
		b.clean(ctx)
		b.wait(ctx)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer cancel()
	b.writeStreams(ctx)
	return nil
}

// readFirst reads the table unless that has succeeded before.
func (b *Backup) readFirst(ctx context.Context) {
	if _, known := b.clock.now(); known {
		return
	}
	if err := b.Refresh(ctx); err != nil && ctx.Err() == nil {
		b.Log.WithError(err).Info("Failed to read what earlier hosts knew of streams and versions.")
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

func (b *Backup) hasPending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) > 0
}

// delay returns how long streams wait to be written together.
func (b *Backup) delay() time.Duration {
	if b.failing || !b.history.Mixed() {
		return writeDelay
	}
	return mixedWriteDelay
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
}

// writeVersions writes the versions of all pools, if that is up to this host and they have changed or were written long ago.
func (b *Backup) writeVersions(ctx context.Context) {
	nowMS, known := b.clock.now()
	if !known || !b.writesForAll() {
		b.written = nil
		return
	}
	now := b.Now()
	soles, age, ok := b.history.All(now)
	if !ok || len(soles) == 0 {
		return
	}
	versions := map[string]string{}
	row := versionsRow{
		AtMS:  nowMS - age.Milliseconds(),
		Pools: map[string]poolVersion{},
	}
	for pool, s := range soles {
		versions[pool] = s.Version
		row.Pools[pool] = poolVersion{
			Version: s.Version,
			SinceMS: min(row.AtMS, nowMS-s.ForMS),
		}
	}
	if b.written != nil && maps.Equal(versions, b.written) && now.Sub(b.writtenAt) < confirmInterval {
		return
	}
	err := putJSON(ctx, b.table, versionsKey, row)
	b.recordWrite(err)
	if err != nil {
		return
	}
	b.written = versions
	b.writtenAt = now
}

// writeCrashes writes what is to be written of crashes. If that fails, it is tried again.
func (b *Backup) writeCrashes(ctx context.Context) {
	b.mu.Lock()
	saved := b.crashes
	b.mu.Unlock()
	nowMS, known := b.clock.now()
	if saved == nil || !known {
		return
	}
	row := crashesRow{
		AtMS:     nowMS - b.Now().Sub(saved.at).Milliseconds(),
		Evidence: saved.evidence,
	}
	err := putJSON(ctx, b.table, crashesKey, row.fitting())
	b.recordWrite(err)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashes == saved {
		b.crashes = nil
	}
}

// writeStreams writes the streams that wait for it. Those that cannot be written wait on.
func (b *Backup) writeStreams(ctx context.Context) {
	nowMS, known := b.clock.now()
	if !known {
		return
	}
	for b.hasPending() {
		part := b.takePending(maxStreamsPerRow)
		b.rowsWritten++
		key := fmt.Sprintf("%s%s/%d-%d", streamsPrefix, b.Host, nowMS, b.rowsWritten)
		err := putJSON(ctx, b.table, key, b.rowOf(part, nowMS))
		b.recordWrite(err)
		if err != nil {
			b.putBack(part)
			return
		}
	}
}

// rowOf returns the row with the streams, at a time of the store's clock.
func (b *Backup) rowOf(streams []pendingStream, nowMS int64) streamsRow {
	now := b.Now()
	var row streamsRow
	for _, s := range streams {
		sentMS := nowMS - now.Sub(s.origin.SentAt).Milliseconds()
		row.Streams = append(row.Streams, streamRecord{
			Key:     s.key,
			Origin:  s.origin,
			SentMS:  sentMS,
			UntilMS: max(sentMS, nowMS+s.until.Sub(now).Milliseconds()),
		})
	}
	return row
}

func (b *Backup) takePending(n int) []pendingStream {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, len(b.pending))
	part := b.pending[:n:n]
	b.pending = b.pending[n:]
	return part
}

func (b *Backup) putBack(streams []pendingStream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(streams, b.pending...)
	if excess := len(b.pending) - maxPending; excess > 0 {
		b.pending = b.pending[excess:]
	}
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
