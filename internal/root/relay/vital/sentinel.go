package vital

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = 200 * time.Millisecond
	// tickTime is the interval at which a sentinel notices that this host runs, and maxAbsence the longest one in which no process can have ended and started again.
	tickTime   = 25 * time.Millisecond
	maxAbsence = 100 * time.Millisecond
)

// errAbsent reports that this host did not run for a while, in which the process may have started again.
var errAbsent = errors.New("this host was not running")

// sentinel keeps a connection to a process open, on which nothing is sent. As long as it stays open, or is opened again as soon as it is closed, the process is the same.
type sentinel struct {
	addr string
	dial Dial
	now  func() time.Time
	end  context.CancelFunc
	// lost is closed once the process is gone or may be another one. err is set before.
	lost chan struct{}
	err  error
	// watches is the number of watches, which the witness guards.
	watches int

	mu sync.Mutex
	// openSince is when the current connection was opened, or zero if there is none.
	openSince time.Time
	// resets counts the new connections that were reset at once, and stayedOpen reports that another one was not.
	resets     int
	stayedOpen bool
}

func newSentinel(dial Dial, addr string, now func() time.Time) *sentinel {
	ctx, end := context.WithCancel(context.Background())
	s := &sentinel{
		addr: addr,
		dial: dial,
		now:  now,
		end:  end,
		lost: make(chan struct{}),
	}
	go s.run(ctx)
	return s
}

// close closes the connection.
func (s *sentinel) close() {
	s.end()
}

// hasLost reports whether the process is gone or may be another one.
func (s *sentinel) hasLost() bool {
	select {
	case <-s.lost:
		return true
	default:
		return false
	}
}

// run keeps a connection open until the context ends or the process is lost.
func (s *sentinel) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.keepOne(ctx)
		if err != nil && ctx.Err() == nil {
			s.err = err
			close(s.lost)
			return
		}
	}
}

// keepOne opens a connection and returns once it is closed. The error says why the process may be lost.
func (s *sentinel) keepOne(ctx context.Context) error {
	began := s.now()
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.dial(dialing, "tcp", s.addr)
	if err != nil {
		return fmt.Errorf("connect again: %w", err)
	}
	// Nothing was sent over the connection, so an error of Close doesn't matter.
	defer func() { _ = conn.Close() }()
	opened := s.now()
	if opened.Sub(began) > dialTimeout+maxAbsence {
		return errAbsent
	}
	s.setOpenSince(opened)
	err = s.hold(ctx, conn)
	s.setOpenSince(time.Time{})
	if errors.Is(err, errAbsent) {
		return err
	}
	s.recordClosed(err, s.now().Sub(opened))
	// A process at its limit would otherwise be asked without a pause. None starts again in this time.
	common.Sleep(ctx, retryTime)
	return nil
}

// hold returns once the connection is closed or the context ends. It returns errAbsent if this host did not run just before the connection was closed.
func (s *sentinel) hold(ctx context.Context, conn net.Conn) error {
	closed := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, conn)
		closed <- err
	}()
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	last := s.now()
	var back time.Time
	for {
		select {
		case err := <-closed:
			now := s.now()
			if now.Sub(last) > maxAbsence || (!back.IsZero() && now.Sub(back) < settleTime) {
				return errAbsent
			}
			return err
		case <-ticker.C:
			now := s.now()
			if now.Sub(last) > maxAbsence {
				back = now
			}
			last = now
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *sentinel) setOpenSince(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openSince = at
}

// recordClosed records how a connection was closed after the time. Only a reset of a new one may show a process at its limit of connections: an end in order may be that of a dead one.
func (s *sentinel) recordClosed(err error, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case after >= settleTime:
		s.stayedOpen = true
	case errors.Is(err, syscall.ECONNRESET):
		s.resets++
	}
}

// waitForProof returns nil once it is certain that the process was there after the time, or an error if it may not have been.
func (s *sentinel) waitForProof(ctx context.Context, ended time.Time) error {
	before, _ := s.resetCount()
	for {
		wait, ok := s.untilProof(ended)
		if ok && wait <= 0 {
			return nil
		}
		// If none was reset before the end, a proxy may reset them since its process is gone.
		if n, full := s.resetCount(); full && before > 0 && n-before >= minTurnedAway {
			return nil
		}
		began := s.now()
		timer := time.NewTimer(wait)
		select {
		case <-s.lost:
			timer.Stop()
			return s.err
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%w: %w", errUndecided, ctx.Err())
		case <-timer.C:
			if now := s.now(); now.Sub(began) > wait+maxAbsence {
				// This host did not run, so what happened to the connection may not have been noticed yet.
				ended = now
			}
		}
	}
}

// untilProof returns how long the current connection has still to stay open to show that the process was there after the time. It returns false if there is none.
func (s *sentinel) untilProof(ended time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openSince.IsZero() {
		return retryTime, false
	}
	if s.openSince.After(ended) {
		ended = s.openSince
	}
	return settleTime - s.now().Sub(ended), true
}

// resetCount returns how many new connections were reset, and whether none has stayed open.
func (s *sentinel) resetCount() (n int, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resets, !s.stayedOpen
}
