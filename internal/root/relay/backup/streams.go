package backup

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

// pendingStream is a stream that is to be written.
type pendingStream struct {
	key    origin.Key
	origin origin.Origin
	until  time.Time
}

// Save writes soon where a stream began, which its caller may resume for the given time.
func (b *Backup) Save(k origin.Key, o origin.Origin, keep time.Duration) {
	b.mu.Lock()
	b.pending = append(b.pending, pendingStream{
		key:    k,
		origin: o,
		until:  b.Now().Add(keep),
	})
	b.dropOldest()
	b.mu.Unlock()
	b.Wake()
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
	b.dropOldest()
}

// dropOldest drops the oldest streams of more than maxPending. The caller holds the lock.
func (b *Backup) dropOldest() {
	b.pending = b.pending[max(0, len(b.pending)-maxPending):]
}
