package vital

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

const (
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = 200 * time.Millisecond
	// renewTime is the time after which a sentinel opens its next connection, as processes close one on which nothing is sent. retryTime is the same as long as none is open.
	renewTime = 250 * time.Millisecond
	retryTime = 50 * time.Millisecond
)

// sentinel keeps a connection to a process open, on which nothing is sent. It renews the connection while the one before is open, so all of them lead to the same process.
type sentinel struct {
	addr string
	dial Dial
	now  func() time.Time
	end  context.CancelFunc
	// wake ends the wait for the next connection.
	wake chan struct{}

	mu sync.Mutex
	// watches holds, for each watch, the process to which its connection leads, or 0 if that is not known.
	watches map[*Watch]int
	// conn is the open connection, or nil.
	conn *heldConn
	// process numbers the processes to which connections led, and sameSince is when the first connection to the last one was opened.
	process   int
	sameSince time.Time
	// lostAt is when it was last seen that the connection was closed, or that the process refused the first one.
	lostAt time.Time
}

func newSentinel(dial Dial, addr string, now func() time.Time) *sentinel {
	ctx, end := context.WithCancel(context.Background())
	s := &sentinel{
		addr:    addr,
		dial:    dial,
		now:     now,
		end:     end,
		wake:    make(chan struct{}, 1),
		watches: map[*Watch]int{},
	}
	go s.run(ctx)
	return s
}

// close closes the connection.
func (s *sentinel) close() {
	s.end()
}

// add adds a watch.
func (s *sentinel) add(x *Watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	s.watches[x] = 0
	if s.conn != nil {
		s.identify(x)
	}
}

// remove removes a watch and returns how many are left.
func (s *sentinel) remove(x *Watch) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, x)
	return len(s.watches)
}

// identify records that the connection of a watch leads to the same process as the sentinel's, if it is open as well. The caller holds the lock.
func (s *sentinel) identify(x *Watch) {
	if x.isOpen() {
		s.watches[x] = s.process
	}
}

// begin takes over the first connection to a process. The caller holds the lock.
func (s *sentinel) begin(conn *heldConn) {
	s.conn = conn
	s.process++
	s.sameSince = conn.openedAt
	for x := range s.watches {
		s.identify(x)
	}
}

// run keeps a connection open until the context ends.
func (s *sentinel) run(ctx context.Context) {
	defer s.closeConn()
	for ctx.Err() == nil {
		s.renew(ctx)
		s.pause(ctx)
	}
}

// renew opens a connection and replaces the one before, if there is one. That one must stay open for settleTime longer: until then the new one may lead to something that stands for a process that is gone.
func (s *sentinel) renew(ctx context.Context) {
	conn, err := s.connect(ctx)
	if err != nil {
		s.recordFailure(err)
		return
	}
	if s.use(conn) {
		return
	}
	common.Sleep(ctx, settleTime)
	s.replace(conn)
}

func (s *sentinel) connect(ctx context.Context) (*heldConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.dial(ctx, "tcp", s.addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return newHeldConn(conn, s.now()), nil
}

// pause waits until the next connection is to be opened.
func (s *sentinel) pause(ctx context.Context) {
	// A process at its limit would be asked without a pause if only wake counted.
	if !common.Sleep(ctx, retryTime) || !s.isConnected() {
		return
	}
	timer := time.NewTimer(renewTime - retryTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
	case <-ctx.Done():
	}
}

func (s *sentinel) isConnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	return s.conn != nil
}

// check drops the connection if the process has closed it. The caller holds the lock.
func (s *sentinel) check() {
	if s.conn == nil || s.conn.isOpen() {
		return
	}
	s.conn.close()
	s.conn = nil
	s.lostAt = s.now()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// recordFailure records that no connection could be opened.
func (s *sentinel) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	if s.conn == nil && isRefusal(err) {
		s.lostAt = s.now()
	}
}

// isRefusal reports whether the error shows that nothing accepts connections at the address.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// use takes over a connection as the first one to a process. It returns false if another one is open.
func (s *sentinel) use(conn *heldConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	if s.conn != nil {
		return false
	}
	s.begin(conn)
	return true
}

// replace takes over a connection in place of the one before, or as the first one if that was closed meanwhile.
func (s *sentinel) replace(conn *heldConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	switch {
	case !conn.isOpen():
		conn.close()
	case s.conn == nil:
		s.begin(conn)
	default:
		s.conn.close()
		s.conn = conn
	}
}

func (s *sentinel) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.close()
	}
	s.conn = nil
}

// waitForProof returns nil once it is certain that the process has outlived the end of the watched connection, on which the last data arrived at the time and which ended before the call. The error is send.ErrUpstreamGone if it has probably not, errUnidentified if a connection is open but may lead to another process, and errUndecided if nothing shows it. unstated reports that the process that answers has not said which one it is.
func (s *sentinel) waitForProof(ctx context.Context, x *Watch, arrived time.Time, unstated bool) error {
	ended := s.now()
	for {
		wait, err := s.untilProof(x, arrived, ended, unstated)
		if err != nil {
			return err
		}
		if wait <= 0 {
			return nil
		}
		if !common.Sleep(ctx, wait) {
			return fmt.Errorf("%w: %w", errUndecided, ctx.Err())
		}
	}
}

// wasLost reports whether the process is known to have closed a connection since the last data arrived, or to have refused the first one.
func (s *sentinel) wasLost(arrived time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	return s.isLostSince(arrived)
}

// isLostSince is wasLost without a look at the connection. The caller holds the lock.
func (s *sentinel) isLostSince(arrived time.Time) bool {
	return !s.lostAt.IsZero() && !s.lostAt.Before(arrived)
}

// untilProof returns how long the connection has still to stay open to show that the process has outlived the end.
func (s *sentinel) untilProof(x *Watch, arrived, ended time.Time, unstated bool) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	lost := s.isLostSince(arrived)
	identified := s.watches[x] == s.process || s.sameSince.Before(arrived.Add(-arrivalError))
	soon := !lost && !s.sameSince.After(arrived.Add(unstatedTime))
	switch {
	case s.conn != nil && (identified || unstated && soon):
		from := s.conn.openedAt
		if from.Before(ended) {
			from = ended
		}
		return settleTime - s.now().Sub(from), nil
	case lost:
		return 0, send.ErrUpstreamGone
	case s.conn != nil:
		return 0, errUnidentified
	case s.now().After(ended.Add(connectTime)):
		return 0, errUndecided
	default:
		return pollTime, nil
	}
}
