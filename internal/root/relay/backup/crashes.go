package backup

import (
	"context"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
)

// savedCrashes is what was known of crashes at a time.
type savedCrashes struct {
	evidence blame.Update
	at       time.Time
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
