package backup

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

// maxReadAge is how old a read may be for a stream that it does not hold. It is long because a read of the whole table fills the link of a small host for a while, and because a host that has just started has read all that hosts wrote before they were lost.
const maxReadAge = 30 * time.Second

// reader holds what the last read of the table returned. Concurrent callers share a read. Its zero value has read nothing.
type reader struct {
	mu      sync.Mutex
	streams *origin.Ledger
	// expired holds the keys of the rows whose streams nobody may resume.
	expired []string
	readAt  time.Time
	current *read
}

// read is a read in progress.
type read struct {
	done chan struct{}
	err  error
}

func (r *reader) expiredKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expired
}

func (r *reader) find(now time.Time, k origin.Key) (o origin.Origin, found, recent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams == nil {
		return origin.Origin{}, false, false
	}
	o, found = r.streams.Find(now, k)
	return o, found, now.Sub(r.readAt) < maxReadAge
}

// begin returns the read in progress, or a new one that the caller has to do.
func (r *reader) begin() (current *read, mine bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil {
		return r.current, false
	}
	r.current = &read{
		done: make(chan struct{}),
	}
	return r.current, true
}

// Find returns where a stream began according to the store. found is false if the store does not hold the stream, or could not be read.
func (b *Backup) Find(ctx context.Context, k origin.Key) (o origin.Origin, found bool) {
	o, found, recent := b.reader.find(b.Now(), k)
	if found || recent {
		return o, found
	}
	if err := b.Refresh(ctx); err != nil {
		b.Log.WithError(err).Info("Failed to read where a stream began.")
		return origin.Origin{}, false
	}
	o, found, _ = b.reader.find(b.Now(), k)
	return o, found
}

// Refresh reads the table, or waits for a read that is in progress.
func (b *Backup) Refresh(ctx context.Context) error {
	current, mine := b.reader.begin()
	if mine {
		// The read goes on for others if ctx ends. The table bounds its time.
		go b.read(context.WithoutCancel(ctx), current)
	}
	select {
	case <-current.done:
		return current.err
	case <-ctx.Done():
		return fmt.Errorf("wait for the table: %w", ctx.Err())
	}
}

// read reads the table and replaces what is known.
func (b *Backup) read(ctx context.Context, current *read) {
	began := b.Now()
	rows, nowMS, err := b.table.Read(ctx)
	if err == nil {
		b.clock.set(nowMS)
		streams, expired := b.decode(rows, nowMS)
		b.reader.mu.Lock()
		b.reader.streams = streams
		b.reader.expired = expired
		b.reader.readAt = began
		b.reader.mu.Unlock()
	}
	b.reader.mu.Lock()
	b.reader.current = nil
	b.reader.mu.Unlock()
	current.err = err
	close(current.done)
}

// decode returns the streams in the rows and the keys of the expired rows, and passes on what they hold of versions and crashes. Rows that are not valid are ignored.
func (b *Backup) decode(rows []follow.Row, nowMS int64) (streams *origin.Ledger, expired []string) {
	streams = origin.NewLedger()
	for _, row := range rows {
		var err error
		switch {
		case row.Key == versionsKey:
			err = b.decodeVersions(row.Value, nowMS)
		case row.Key == crashesKey:
			err = b.decodeCrashes(row.Value, nowMS)
		case holdsStreams(row.Key):
			var old bool
			old, err = b.decodeStreams(row.Value, nowMS, streams)
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
	return streams, expired
}

func (b *Backup) decodeVersions(value []byte, nowMS int64) error {
	var row versionsRow
	if err := json.Unmarshal(value, &row); err != nil {
		return fmt.Errorf("decode row: %w", err)
	}
	if row.AtMS > nowMS {
		return fmt.Errorf("check row: %w", ErrInvalidRow)
	}
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
func (b *Backup) decodeStreams(value []byte, nowMS int64, into *origin.Ledger) (expired bool, err error) {
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
		into.Add(now, s.Key, o, time.Duration(s.UntilMS-nowMS)*time.Millisecond)
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
