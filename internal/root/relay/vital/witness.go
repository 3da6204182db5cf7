package vital

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

const (
	// settleTime is how long a connection must stay open after another one has ended to show that the process lives. A process that dies closes its listener, and with it the connections that wait there, within this time of its other connections.
	settleTime = 50 * time.Millisecond
	// confirmTimeout bounds the time for confirming an end.
	confirmTimeout = 500 * time.Millisecond
	// arrivalError is more than the unit in which the kernel counts the time since data arrived.
	arrivalError = 10 * time.Millisecond
	// connectTime is how long after the end a sentinel is waited for that has not connected yet.
	connectTime = 200 * time.Millisecond
	// unstatedTime is how long after the last data a connection may have been opened to a process that does not say which one it is. Such a process can't be told from one that takes another's place faster.
	unstatedTime = 200 * time.Millisecond
	// pollTime is the time between two looks at a sentinel that connects.
	pollTime = 5 * time.Millisecond
)

var (
	// errUndecided reports that neither life nor death of a process was shown.
	errUndecided = errors.New("no connection has been open since the last data")
	// errUnidentified reports that a connection is open that may lead to another process than the one that sent the data.
	errUnidentified = errors.New("connection may lead to another process")
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Stats counts the ends of connections that were asked about.
type Stats struct {
	// Outlived counts those that the process outlived, Unconfirmed those of which that is not known, and Abandoned those whose request ended first.
	Outlived    int64 `json:"outlived"`
	Unconfirmed int64 `json:"unconfirmed"`
	Abandoned   int64 `json:"abandoned"`
	// Asked counts those for which a process was asked whether it is the one that sent the data.
	Asked int64 `json:"asked"`
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
	// checkSender asks the process that answers at the address whether it is the one that sends the data, or is nil.
	checkSender func(ctx context.Context) error
	stop        sync.Once
}

// WatchOption configures a Watch.
type WatchOption func(*Watch)

// WithSenderCheck sets what asks the process that answers at the address whether it is the one that sends the data on the watched connection. The error is send.ErrUpstreamGone if it is another one.
func WithSenderCheck(check func(ctx context.Context) error) WatchOption {
	return func(x *Watch) { x.checkSender = check }
}

// Watch begins to watch the process at the address, to which a connection leads that is open as long as isOpen returns true.
func (w *Witness) Watch(addr string, isOpen func() bool, opts ...WatchOption) *Watch {
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
	for _, opt := range opts {
		opt(x)
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
	err := x.sentinel.waitForProof(limited, x, arrived, false)
	if errors.Is(err, errUnidentified) && x.checkSender != nil {
		err = x.ask(limited, arrived)
	}
	x.witness.record(x.sentinel.addr, err, ctx.Err() != nil)
	if err != nil {
		return fmt.Errorf("process at %s may not have outlived the connection: %w", x.sentinel.addr, err)
	}
	return nil
}

// ask returns nil if the process that answers now is the one that sent the data. It has then outlived the end, as it answers after that. Without a statement of the process its connection is judged by its age.
func (x *Watch) ask(ctx context.Context, arrived time.Time) error {
	x.witness.countQuestion()
	err := x.checkSender(ctx)
	switch {
	case err == nil, errors.Is(err, send.ErrUpstreamGone):
		return err
	case x.sentinel.wasLost(arrived):
		return fmt.Errorf("%w: %v", send.ErrUpstreamGone, err)
	default:
		return x.sentinel.waitForProof(ctx, x, arrived, true)
	}
}

// countQuestion counts a question to a process.
func (w *Witness) countQuestion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Asked++
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
