package backup

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

const (
	// readInterval is the shortest time between the beginnings of two reads.
	readInterval = 50 * time.Millisecond
	// minReadPause is the pause after a failed read of the whole table. It doubles with each further failure, up to maxReadPause. A lookup, whose caller waits, pauses for lookupReadPause.
	minReadPause    = time.Second
	maxReadPause    = 30 * time.Second
	lookupReadPause = 250 * time.Millisecond
)

// errReadPaused reports that the whole table would have to be read, which has failed just now.
var errReadPaused = errors.New("read of the whole table is paused after a failure")

// reader holds what reads of the table returned. Concurrent callers share reads.
type reader struct {
	mu sync.Mutex
	// streams are those that the table held when they were read, and expired holds the keys of the rows whose streams nobody may resume.
	streams *origin.Ledger
	expired []string
	// position is from where later changes are read, or unknown if the whole table must be read.
	position follow.Position
	// failedAt is when a read of the whole table last failed, or zero, and readPause the pause after it.
	failedAt  time.Time
	readPause time.Duration
	// next is the read that has not begun yet, and active reports that reads are in progress.
	next    *read
	active  bool
	beganAt time.Time
}

// read is a read that callers wait for.
type read struct {
	// whole demands every row, not only changed ones.
	whole bool
	done  chan struct{}
	err   error
}

func newReader() *reader {
	return &reader{
		streams: origin.NewLedger(),
	}
}

func (r *reader) expiredKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expired
}

// pausesAfterFailure reports whether the whole table is not to be read yet, as that has failed just now.
func (r *reader) pausesAfterFailure(now time.Time) bool {
	return r.failedWithin(now, maxReadPause)
}

// failedWithin reports whether a read of the whole table has failed within the shorter one of the given time and the pause after it.
func (r *reader) failedWithin(now time.Time, atMost time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failedAt.IsZero() && now.Sub(r.failedAt) < min(atMost, r.readPause)
}

// recordWholeRead records the result of a read of the whole table.
func (r *reader) recordWholeRead(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.failedAt = time.Time{}
		r.readPause = 0
		return
	}
	r.failedAt = now
	r.readPause = min(max(minReadPause, 2*r.readPause), maxReadPause)
}

func (r *reader) currentPosition() follow.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

func (r *reader) setPosition(p follow.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position = p
}

// join returns the read that begins next. mine reports that the caller has to start the reads.
func (r *reader) join(whole bool) (next *read, mine bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &read{
			done: make(chan struct{}),
		}
	}
	r.next.whole = r.next.whole || whole
	mine = !r.active
	r.active = true
	return r.next, mine
}

// begin returns the read that is to begin.
func (r *reader) begin(now time.Time) *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.next
	r.next = nil
	r.beganAt = now
	return current
}

// end returns whether nobody waits for another read.
func (r *reader) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active = r.next != nil
	return !r.active
}

// pause returns how long the next read must wait.
func (r *reader) pause(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return readInterval - now.Sub(r.beganAt)
}

// Find returns where a stream began according to the store. found is false if the store holds no such stream. It returns an error if the store could not be read since the call, so that it may hold the stream all the same.
func (b *Backup) Find(ctx context.Context, k origin.Key) (o origin.Origin, found bool, err error) {
	if o, found := b.reader.streams.Find(b.Now(), k); found {
		return o, true, nil
	}
	if err := b.update(ctx, false); err != nil {
		return origin.Origin{}, false, fmt.Errorf("read where a stream began: %w", err)
	}
	o, found = b.reader.streams.Find(b.Now(), k)
	return o, found, nil
}

// BeganAtOther reports whether the store held a stream, when it was last read, that was sent to the pool between the times at another version than the given one.
func (b *Backup) BeganAtOther(pool, version string, from, to time.Time) bool {
	return b.reader.streams.BeganAtOther(pool, version, from, to)
}

// Refresh reads the whole table, or waits for such a read that begins after the call.
func (b *Backup) Refresh(ctx context.Context) error {
	return b.update(ctx, true)
}

// update reads what changed in the table, or the whole table, in a read that begins after the call.
func (b *Backup) update(ctx context.Context, whole bool) error {
	next, mine := b.reader.join(whole)
	if mine {
		// The reads go on for others if ctx ends. The table bounds their time.
		go b.runReads(context.WithoutCancel(ctx))
	}
	select {
	case <-next.done:
		return next.err
	case <-ctx.Done():
		return fmt.Errorf("wait for the table: %w", ctx.Err())
	}
}

// runReads reads the table as long as callers wait for it.
func (b *Backup) runReads(ctx context.Context) {
	for ended := false; !ended; ended = b.reader.end() {
		b.pauseReads(b.reader.pause(b.Now()))
		current := b.reader.begin(b.Now())
		current.err = b.read(ctx, current.whole)
		close(current.done)
	}
}

// pauseReads waits for d, or until Run ends.
func (b *Backup) pauseReads(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.stopped:
	}
}

// read reads what changed in the table, or the whole table if the changes are not enough.
func (b *Backup) read(ctx context.Context, whole bool) error {
	position := b.reader.currentPosition()
	if position.Known() && !whole {
		err := b.readChanges(ctx, position)
		if !errors.Is(err, follow.ErrHistoryTruncated) {
			return err
		}
	}
	return b.readWhole(ctx)
}

func (b *Backup) readChanges(ctx context.Context, after follow.Position) error {
	changes, err := b.table.ReadChanges(ctx, after)
	if errors.Is(err, context.DeadlineExceeded) {
		// The changes may be too many for one call. The whole table is read in parts.
		b.reader.setPosition(follow.Position{})
	}
	if err != nil {
		return fmt.Errorf("read changes: %w", err)
	}
	b.clock.set(changes.NowMS)
	b.decode(changes.Rows, changes.NowMS)
	b.reader.setPosition(changes.Position)
	return nil
}

func (b *Backup) readWhole(ctx context.Context) error {
	if b.reader.failedWithin(b.Now(), lookupReadPause) {
		return errReadPaused
	}
	all, err := b.table.Read(ctx)
	b.reader.recordWholeRead(b.Now(), err)
	if err != nil {
		return fmt.Errorf("read table: %w", err)
	}
	b.clock.set(all.NowMS)
	expired := b.decode(all.Rows, all.NowMS)
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	b.reader.expired = expired
	b.reader.position = all.Position
	return nil
}

// decode adds the streams in the rows to those that are known, and passes on what the rows hold of versions and crashes. It returns the keys of the expired rows. Rows that are not valid are ignored.
func (b *Backup) decode(rows []follow.Row, nowMS int64) (expired []string) {
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		var err error
		switch {
		case row.Key == versionsKey:
			err = b.decodeVersions(row.Value, nowMS)
		case row.Key == crashesKey, row.Key == suspectsKey:
			err = b.decodeCrashes(row.Value, nowMS)
		case holdsStreams(row.Key):
			var old bool
			old, err = b.decodeStreams(row.Value, nowMS)
			if old {
				expired = append(expired, row.Key)
			}
		default:
			err = fmt.Errorf("check key: %w", ErrInvalidRow)
		}
		if err != nil {
			b.Log.WithError(err).WithField("row", row.Key).Warn("Row is not valid. It is ignored.")
		}
	}
	return expired
}

func (b *Backup) decodeVersions(value []byte, nowMS int64) error {
	var row versionsRow
	if err := json.Unmarshal(value, &row); err != nil {
		return fmt.Errorf("decode row: %w", err)
	}
	if row.AtMS > nowMS {
		return fmt.Errorf("check row: %w", ErrInvalidRow)
	}
	b.onSettled(row.SettledEra)
	b.addRoutes(row.Routes, nowMS)
	for pool, v := range row.Pools {
		b.history.AddEarlier(pool, origin.Period{
			Version: v.Version,
			From:    b.localTime(v.SinceMS, nowMS),
			To:      b.localTime(row.AtMS, nowMS),
		})
	}
	return nil
}

func (b *Backup) decodeCrashes(value []byte, nowMS int64) error {
	var row crashesRow
	if err := json.Unmarshal(value, &row); err != nil {
		return fmt.Errorf("decode row: %w", err)
	}
	if row.AtMS > nowMS {
		return fmt.Errorf("check row: %w", ErrInvalidRow)
	}
	b.onCrashes(row.Evidence.WithAge(time.Duration(nowMS-row.AtMS) * time.Millisecond))
	return nil
}

// decodeStreams adds the streams of a row, and reports whether all of them have expired.
func (b *Backup) decodeStreams(value []byte, nowMS int64) (expired bool, err error) {
	var row streamsRow
	if err := json.Unmarshal(value, &row); err != nil {
		return false, fmt.Errorf("decode row: %w", err)
	}
	now := b.Now()
	for _, s := range row.Streams {
		if s.UntilMS <= nowMS {
			continue
		}
		o := s.Origin
		o.SentAt = b.localTime(s.SentMS, nowMS)
		b.reader.streams.Add(now, s.Key, o, time.Duration(s.UntilMS-nowMS)*time.Millisecond)
	}
	return row.expired(nowMS), nil
}

// localTime returns the time of this host's clock for one of the store's clock, which shows nowMS now.
func (b *Backup) localTime(ms, nowMS int64) time.Time {
	return b.Now().Add(-time.Duration(nowMS-ms) * time.Millisecond)
}

// putJSON writes a row with the JSON encoding of the value.
func putJSON(ctx context.Context, t Table, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	if err := t.Put(ctx, key, encoded); err != nil {
		return fmt.Errorf("write row %s: %w", key, err)
	}
	return nil
}
