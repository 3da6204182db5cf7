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
	// settleTime is how long a new connection must stay open to show that the process lives. A process that dies closes its listener, and with it the connections that wait there, within this time of its other connections.
	settleTime = 50 * time.Millisecond
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = 300 * time.Millisecond
	// maxTurnedAway is after how many connections in a row that were closed at once a process counts as living: one at its limit of connections does so, while the address of a dead one refuses further connections.
	maxTurnedAway = 3
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Stats counts the ends of connections that were asked about.
type Stats struct {
	// Outlived counts those that the process outlived, and Unconfirmed those of which that is not known.
	Outlived    int64 `json:"outlived"`
	Unconfirmed int64 `json:"unconfirmed"`
}

// Witness finds out whether processes have outlived connections. It is safe for concurrent use.
type Witness struct {
	common.Deps
	dial Dial

	mu sync.Mutex
	// waiting holds the check that begins next for each address at which one is in progress.
	waiting map[string]*check
	stats   Stats
}

// check is one look at the process of an address. done is closed once err is set.
type check struct {
	done chan struct{}
	err  error
}

// New returns a witness that opens connections with dial.
func New(deps common.Deps, dial Dial) *Witness {
	return &Witness{
		Deps:    deps.WithPart("vital"),
		dial:    dial,
		waiting: map[string]*check{},
	}
}

// Stats returns the counts so far.
func (w *Witness) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Outlived returns nil if the process at the address has outlived a connection that ended before the call, or an error if it has not or that can't be found out.
func (w *Witness) Outlived(ctx context.Context, addr string) error {
	c := w.nextCheck(addr)
	var err error
	select {
	case <-c.done:
		err = c.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	w.count(err)
	if err != nil {
		return fmt.Errorf("process at %s may not have outlived the connection: %w", addr, err)
	}
	return nil
}

func (w *Witness) count(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.stats.Unconfirmed++
		return
	}
	w.stats.Outlived++
}

// nextCheck returns the next check that begins. Connections that ended during a check share the one after it, as the process may have ended since the check began.
func (w *Witness) nextCheck(addr string) *check {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, active := w.waiting[addr]
	if c == nil {
		c = &check{
			done: make(chan struct{}),
		}
		w.waiting[addr] = c
	}
	if !active {
		go w.runChecks(addr)
	}
	return c
}

// runChecks runs checks of the address until none is waiting.
func (w *Witness) runChecks(addr string) {
	for {
		w.mu.Lock()
		c := w.waiting[addr]
		if c == nil {
			delete(w.waiting, addr)
			w.mu.Unlock()
			return
		}
		w.waiting[addr] = nil
		w.mu.Unlock()
		c.err = w.look(addr)
		if c.err != nil {
			w.Log.WithError(c.err).WithField("addr", addr).Info("Upstream may not have outlived its response.")
		}
		close(c.done)
	}
}

// errTurnedAway reports that the process closed a new connection at once.
var errTurnedAway = errors.New("new connection was closed")

// look opens connections to the address until one shows whether its process lives. There is no pause between them, in which a process could start again.
func (w *Witness) look(addr string) error {
	for turnedAway := 1; ; turnedAway++ {
		err := w.lookOnce(addr)
		if !errors.Is(err, errTurnedAway) {
			return err
		}
		if turnedAway == maxTurnedAway {
			return nil
		}
	}
}

func (w *Witness) lookOnce(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := w.dial(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("connect again: %w", err)
	}
	// Nothing was sent over the connection, so an error of Close doesn't matter.
	defer func() { _ = conn.Close() }()
	if !staysOpen(conn) {
		return errTurnedAway
	}
	return nil
}

// staysOpen reports whether the other side keeps the connection open for settleTime, or sends something.
func staysOpen(conn net.Conn) bool {
	spoke := make(chan bool, 1)
	go func() {
		var b [1]byte
		n, _ := conn.Read(b[:])
		spoke <- n > 0
	}()
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case ok := <-spoke:
		return ok
	case <-timer.C:
		return true
	}
}
