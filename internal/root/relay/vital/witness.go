package vital

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	// settleTime is how long a connection must stay open after another one has ended to show that the process lives. A process that dies closes its listener, and with it the connections that wait there, within this time of its other connections.
	settleTime = 50 * time.Millisecond
	// confirmTimeout bounds the time for confirming an end.
	confirmTimeout = 500 * time.Millisecond
	// restartTime is less than the time in which a process ends and another one accepts connections at its address.
	restartTime = 200 * time.Millisecond
	// pollTime is the time between two looks at a sentinel that connects.
	pollTime = 5 * time.Millisecond
)

// errUndecided reports that neither life nor death of a process was shown.
var errUndecided = errors.New("no connection has been open since the last data")

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Stats counts the ends of connections that were asked about.
type Stats struct {
	// Outlived counts those that the process outlived, Unconfirmed those of which that is not known, and Abandoned those whose request ended first.
	Outlived    int64 `json:"outlived"`
	Unconfirmed int64 `json:"unconfirmed"`
	Abandoned   int64 `json:"abandoned"`
}

// Witness finds out whether processes outlive connections. It is safe for concurrent use.
type Witness struct {
	common.Deps
	dial Dial

	mu sync.Mutex
	// sentinels holds the connection that all watches of an address share.
	sentinels map[string]*sentinel
	stats     Stats
}

// New returns a witness that opens connections with dial.
func New(deps common.Deps, dial Dial) *Witness {
	return &Witness{
		Deps:      deps.WithPart("vital"),
		dial:      dial,
		sentinels: map[string]*sentinel{},
	}
}

// Stats returns the counts so far.
func (w *Witness) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Watch is what is seen of a process from before a connection to it ends. It must be stopped.
type Watch struct {
	witness  *Witness
	sentinel *sentinel
	// isOpen reports whether the peer has not ended the watched connection yet. It may be wrong only in saying that it has.
	isOpen func() bool
	stop   sync.Once
}

// Watch begins to watch the process at the address, to which a connection leads that is open as long as isOpen returns true.
func (w *Witness) Watch(addr string, isOpen func() bool) *Watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.sentinels[addr]
	if !ok {
		s = newSentinel(w.dial, addr, w.Now)
		w.sentinels[addr] = s
	}
	x := &Watch{
		witness:  w,
		sentinel: s,
		isOpen:   isOpen,
	}
	s.add(x)
	return x
}

// Stop ends the watch. It may be called more than once.
func (x *Watch) Stop() {
	x.stop.Do(func() { x.witness.release(x) })
}

// release ends the sentinel with its last watch.
func (w *Witness) release(x *Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := x.sentinel
	if s.remove(x) > 0 {
		return
	}
	s.close()
	delete(w.sentinels, s.addr)
}

// Confirm returns nil if the process has outlived a connection on which the last data arrived at the time and that ended before the call. The error is send.ErrUpstreamGone if it has probably not, or another one if that can't be found out.
func (x *Watch) Confirm(ctx context.Context, arrived time.Time) error {
	limited, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := x.sentinel.waitForProof(limited, x, arrived)
	x.witness.record(x.sentinel.addr, err, ctx.Err() != nil)
	if err != nil {
		return fmt.Errorf("process at %s may not have outlived the connection: %w", x.sentinel.addr, err)
	}
	return nil
}

// record counts and logs an answer. abandoned reports that the request ended before there was one.
func (w *Witness) record(addr string, err error, abandoned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.stats.Outlived++
		return
	case abandoned:
		w.stats.Abandoned++
		return
	}
	w.stats.Unconfirmed++
	w.Log.WithError(err).WithField("addr", addr).Info("Upstream may not have outlived its response.")
}
