package vital

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

const (
	// confirmTimeout bounds the time for confirming an end, and sentinelTimeout the part of it for a question over the connection of a sentinel.
	confirmTimeout  = 2 * time.Second
	sentinelTimeout = time.Second
	// arrivalError is more than the unit in which the kernel counts the time since data arrived.
	arrivalError = 10 * time.Millisecond
	// unstatedTime is how long after the last data a connection may have been opened to a process that does not say which one it is. Such a process can't be told from one that takes another's place faster.
	unstatedTime = 200 * time.Millisecond
)

// errUndecided reports that neither life nor death of a process was shown.
var errUndecided = errors.New("the process that sent the data has stated nothing since the end")

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
	// checkSender asks a process whether it is the one that sends the data, or is nil.
	checkSender send.SenderCheck
	stop        sync.Once
}

// WatchOption configures a Watch.
type WatchOption func(*Watch)

// WithSenderCheck sets what asks a process whether it is the one that sends the data on the watched connection. Without it no end is confirmed.
func WithSenderCheck(check send.SenderCheck) WatchOption {
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
	err := x.ask(limited, arrived)
	x.witness.record(x.sentinel.addr, err, ctx.Err() != nil)
	if err != nil {
		return fmt.Errorf("process at %s may not have outlived the connection: %w", x.sentinel.addr, err)
	}
	return nil
}

// ask returns nil if the process that sent the data has answered a question. It has then outlived the end, as it was asked after that. An answer is that of the process if the connection leads to it, or if it states the start of the process.
func (x *Watch) ask(ctx context.Context, arrived time.Time) error {
	if x.checkSender == nil {
		return errUndecided
	}
	x.witness.countQuestion()
	rel, err := x.askSentinel(ctx, arrived)
	if rel == sameProcess && isAnswer(err) {
		return nil
	}
	if !isAnswer(err) {
		err = x.checkSender(ctx, nil)
		rel = x.sentinel.relationNow(x, arrived)
	}
	switch {
	case err == nil, errors.Is(err, send.ErrUpstreamGone):
		return err
	case errors.Is(err, send.ErrSenderUnstated) && rel != unrelated:
		return nil
	case errors.Is(err, syscall.ECONNREFUSED), x.sentinel.wasLost(arrived):
		return fmt.Errorf("%w: %v", send.ErrUpstreamGone, err)
	default:
		return fmt.Errorf("%w: %v", errUndecided, err)
	}
}

func (x *Watch) askSentinel(ctx context.Context, arrived time.Time) (relation, error) {
	ctx, cancel := context.WithTimeout(ctx, sentinelTimeout)
	defer cancel()
	return x.sentinel.ask(ctx, x, arrived)
}

// isAnswer reports whether the error of a question says that a process has answered.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, send.ErrUpstreamGone) || errors.Is(err, send.ErrSenderUnstated)
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
