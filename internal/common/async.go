package common

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// asyncQueueSize is the maximum number of log lines that wait for a slow output. Further lines are dropped.
const asyncQueueSize = 1024

// AsyncWriter writes log lines in the background. Write never blocks: if the output is too slow and the queue is full, lines are dropped and counted.
type AsyncWriter struct {
	out       io.Writer
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Int64
}

// NewAsyncWriter returns a writer that forwards each line to out from its own goroutine. Close stops the goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		out:   out,
		lines: make(chan []byte, asyncQueueSize),
		done:  make(chan struct{}),
	}
	go a.run()
	return a
}

// Write queues a copy of the line. If the queue is full, the line is dropped. It always reports success.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	b := append([]byte(nil), line...)
	select {
	case a.lines <- b:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for b := range a.lines {
		if b == nil {
			return
		}
		// The error is ignored: there is no other output to report it to.
		_, _ = a.out.Write(b)
		if n := a.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(a.out, "time=%q level=warning msg=\"log: Lines were dropped.\" lines=%d\n", time.Now().UTC().Format(time.RFC3339), n)
		}
	}
}

// Close waits until the queued lines are written, at most for timeout. Write must not be called after Close.
func (a *AsyncWriter) Close(timeout time.Duration) {
	a.closeOnce.Do(func() {
		timer := time.NewTimer(timeout)
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
