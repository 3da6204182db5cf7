package common

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// asyncLines is how many log lines wait for a slow output before more of them are dropped.
const asyncLines = 1024

// Async writes whole lines in the background and never makes its caller wait: what a slow output can't take is dropped and counted.
type Async struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	closed  sync.Once
	dropped atomic.Int64
}

// NewAsync returns a writer in front of out.
func NewAsync(out io.Writer) *Async {
	a := &Async{
		out:   out,
		lines: make(chan []byte, asyncLines),
		done:  make(chan struct{}),
	}
	go a.run()
	return a
}

// Write queues a line, or drops it where too many wait.
func (a *Async) Write(line []byte) (int, error) {
	b := append([]byte(nil), line...)
	select {
	case a.lines <- b:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *Async) run() {
	defer close(a.done)
	for b := range a.lines {
		if b == nil {
			return
		}
		// A log that can't be written can't be told of either.
		_, _ = a.out.Write(b)
		if n := a.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(a.out, "time=%q level=warning msg=\"log: Lines were dropped.\" lines=%d\n", time.Now().UTC().Format(time.RFC3339), n)
		}
	}
}

// Close writes what waits, for no longer than the time given. Nothing may be written after it.
func (a *Async) Close(wait time.Duration) {
	a.closed.Do(func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case a.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-a.done:
		case <-timer.C:
		}
	})
}
