package reach

import (
	"context"
	"sync"
	"time"
)

// Watch ends an attempt that makes no progress, unless it is told to go on waiting.
type Watch struct {
	ctx     context.Context
	attempt Attempt
	end     func()

	mu    sync.Mutex
	timer *time.Timer
	over  bool
}

// NewWatch returns a running watch over an attempt, which calls end once the attempt is to be given up.
func NewWatch(ctx context.Context, a Attempt, end func()) *Watch {
	w := &Watch{
		ctx:     ctx,
		attempt: a,
		end:     end,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(a.Silence, w.silent)
	return w
}

// Progress starts the limit anew.
func (w *Watch) Progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.timer.Reset(w.attempt.Silence)
	}
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
}

func (w *Watch) silent() {
	if w.attempt.OnSilence != nil && w.attempt.OnSilence(w.ctx) {
		w.Progress()
		return
	}
	w.end()
}
