package jhttp

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Timeouts bound a call by its progress, so that the size of a message does not matter. 0 means no limit but that of the context.
type Timeouts struct {
	// Head is how long the head of the response may take after the last byte of the request was sent, and Stall for how long no byte of its body may arrive.
	Head, Stall time.Duration
}

// errStalled is the cause that ends a call without progress.
var errStalled = fmt.Errorf("nothing arrives any more: %w", context.DeadlineExceeded)

// Watchdog ends a call that makes no progress.
type Watchdog struct {
	timer *time.Timer
}

// NewWatchdog returns a watchdog with the context that it ends, and the function to call once the call is over. It expects nothing yet.
func NewWatchdog(ctx context.Context) (w *Watchdog, watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	w = &Watchdog{
		timer: time.AfterFunc(time.Hour, func() { cancel(errStalled) }),
	}
	w.timer.Stop()
	return w, watched, func() {
		w.timer.Stop()
		cancel(nil)
	}
}

// Expect makes the call end unless there is progress within d, or never if d is 0.
func (w *Watchdog) Expect(d time.Duration) {
	if d <= 0 {
		w.timer.Stop()
		return
	}
	w.timer.Reset(d)
}

// Watch returns the body, each part of which is progress that is expected to go on within d.
func (w *Watchdog) Watch(body io.Reader, d time.Duration) io.Reader {
	return watchedReader{
		Reader:   body,
		watchdog: w,
		timeout:  d,
	}
}

// watchedReader is a body that tells a watchdog of each part that was read.
type watchedReader struct {
	io.Reader
	watchdog   *Watchdog
	timeout    time.Duration
	onProgress func()
}

// Read reads from the body.
func (r watchedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.watchdog.Expect(r.timeout)
	}
	if n > 0 && r.onProgress != nil {
		r.onProgress()
	}
	// The error of a body is passed on as it is, since io.EOF has a meaning of its own.
	return n, err
}

// causeOf returns the error of a call, or why the watchdog has ended it.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause == errStalled {
		return cause
	}
	return err
}
