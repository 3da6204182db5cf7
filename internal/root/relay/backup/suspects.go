package backup

import (
	"context"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
)

// suspectsInterval is the least time between two writes of what may crash upstreams, however many crash.
const suspectsInterval = time.Second

// KeepSuspects sets the function that returns what may crash upstreams and is not blocked yet. It must be called before Run.
func (b *Backup) KeepSuspects(f func() blame.Update) {
	b.suspects = f
}

// SaveSuspects writes soon what may crash upstreams, in place of what was written before.
func (b *Backup) SaveSuspects() {
	b.setSuspectsDue(true)
	b.Wake()
}

func (b *Backup) setSuspectsDue(due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectsDue = due
}

// isSuspectsDue reports whether what may crash upstreams is to be written. What has come to be blocked leaves that row only once it is in the other one.
func (b *Backup) isSuspectsDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspectsDue && b.crashes == nil
}

// writeSuspects writes what may crash upstreams, if that is due. What another host has written is read first, so that nothing of it is lost. If that or the write fails, it is tried again.
func (b *Backup) writeSuspects(ctx context.Context) {
	_, known := b.clock.now()
	if !known || !b.isSuspectsDue() || b.Now().Sub(b.suspectsWrittenAt) < suspectsInterval {
		return
	}
	b.suspectsWrittenAt = b.Now()
	b.setSuspectsDue(false)
	err := b.update(ctx, false)
	if err == nil {
		err = b.putSuspects(ctx)
	}
	b.recordWrite(err)
	if err != nil {
		b.setSuspectsDue(true)
	}
}

func (b *Backup) putSuspects(ctx context.Context) error {
	nowMS, _ := b.clock.now()
	row := crashesRow{
		AtMS:     nowMS,
		Evidence: b.suspects(),
	}
	return putJSON(ctx, b.table, suspectsKey, row.fitting())
}
