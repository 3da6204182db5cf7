package reach

import (
	"context"
	"sync"
	"time"
)

// Watchdog aborts an attempt that makes no progress within Attempt.Silence, unless Attempt.OnSilence lets it continue.
type Watchdog struct {
	ctx     context.Context
	attempt Attempt
	abort   func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// NewWatchdog starts a watchdog for an attempt. It calls abort when the attempt has made no progress for the time Attempt.Silence. Attempt.OnSilence receives ctx.
func NewWatchdog(ctx context.Context, a Attempt, abort func()) *Watchdog {
	w := &Watchdog{
		ctx:     ctx,
		attempt: a,
		abort:   abort,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(a.Silence, w.onTimeout)
	return w
}

// Progress restarts the timer, since the attempt has made progress.
func (w *Watchdog) Progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.attempt.Silence)
	}
}

// Stop stops the timer. Later calls of Progress do not restart it.
func (w *Watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *Watchdog) onTimeout() {
	if w.attempt.OnSilence != nil && w.attempt.OnSilence(w.ctx) {
		w.Progress()
		return
	}
	w.abort()
}
