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
)

const (
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = 200 * time.Millisecond
	// checkTime is the time between two looks whether the connection of a sentinel is open. One that the process has closed is opened again.
	checkTime = 50 * time.Millisecond
	// pollTime is the time between two looks at a sentinel that connects.
	pollTime = 5 * time.Millisecond
)

// errNoConnection reports that a sentinel has no connection over which a process could be asked.
var errNoConnection = errors.New("no connection is open")

// sentinel keeps a connection to a process open, over which the process is asked once a response has ended. That the connection looks open shows nothing by itself, as a process may drop one on which nothing is sent without a notice.
type sentinel struct {
	addr string
	dial Dial
	now  func() time.Time
	end  context.CancelFunc
	// asking holds a value while a process is asked over the connection.
	asking chan struct{}

	mu sync.Mutex
	// watches holds, for each watch, the connection that leads to its process, or nil if that is not known.
	watches map[*Watch]*heldConn
	// conn is the connection, or nil. lent reports that a process is asked over it.
	conn *heldConn
	lent bool
	// connecting reports that a connection is being opened.
	connecting bool
	// lostAt is when it was last seen that the process had closed the connection or refused one.
	lostAt time.Time
}

func newSentinel(dial Dial, addr string, now func() time.Time) *sentinel {
	ctx, end := context.WithCancel(context.Background())
	s := &sentinel{
		addr:       addr,
		dial:       dial,
		now:        now,
		end:        end,
		asking:     make(chan struct{}, 1),
		watches:    map[*Watch]*heldConn{},
		connecting: true,
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
	s.watches[x] = nil
	s.identify(x)
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
	if s.conn != nil && x.isOpen() {
		s.watches[x] = s.conn
	}
}

// run keeps a connection open until the context ends.
func (s *sentinel) run(ctx context.Context) {
	defer s.closeConn()
	for ctx.Err() == nil {
		if s.needsConn() {
			s.use(s.connect(ctx))
		}
		common.Sleep(ctx, checkTime)
	}
}

// needsConn reports whether no connection is open, and that one is being opened from now on then.
func (s *sentinel) needsConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	s.connecting = s.conn == nil
	return s.connecting
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

// use takes over a connection, or the error with which none could be opened.
func (s *sentinel) use(conn *heldConn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connecting = false
	if err != nil {
		if isRefusal(err) {
			s.lostAt = s.now()
		}
		return
	}
	s.conn = conn
	for x := range s.watches {
		s.identify(x)
	}
}

// isRefusal reports whether the error shows that nothing accepts connections at the address.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// check drops the connection if the process has closed it. The caller holds the lock.
func (s *sentinel) check() {
	if s.conn == nil || s.lent || s.conn.isOpen() {
		return
	}
	s.conn.close()
	s.conn = nil
	s.lostAt = s.now()
}

func (s *sentinel) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.close()
	}
	s.conn = nil
}

// ask has the process asked over the connection, for the watch of a response whose last data arrived at the time. It returns how the connection leads to the process that sent these data, and the error of the question, or errNoConnection.
func (s *sentinel) ask(ctx context.Context, x *Watch, arrived time.Time) (relation, error) {
	select {
	case s.asking <- struct{}{}:
	case <-ctx.Done():
		return unrelated, fmt.Errorf("wait for another question: %w", ctx.Err())
	}
	defer func() { <-s.asking }()
	conn, rel := s.lend(ctx, x, arrived)
	if conn == nil {
		return unrelated, errNoConnection
	}
	err := x.checkSender(ctx, conn)
	s.takeBack(conn, isAnswer(err))
	return rel, err
}

// lend returns the connection for a question, or nil, and how it leads to the process that sent the data of the watch. It waits for one that is being opened.
func (s *sentinel) lend(ctx context.Context, x *Watch, arrived time.Time) (net.Conn, relation) {
	for {
		conn, rel, connecting := s.tryLend(x, arrived)
		if !connecting || !common.Sleep(ctx, pollTime) {
			return conn, rel
		}
	}
}

func (s *sentinel) tryLend(x *Watch, arrived time.Time) (conn net.Conn, rel relation, connecting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	if s.conn == nil {
		return nil, unrelated, s.connecting
	}
	s.lent = true
	return s.conn, s.relate(x, arrived), false
}

// relation says how a connection leads to the process that sent some data: sameProcess, openedSoon or unrelated.
type relation int

const (
	// unrelated is a connection that may lead to another process.
	unrelated relation = iota
	// openedSoon is a connection that was opened so soon after the data that hardly another process leads it.
	openedSoon
	// sameProcess is a connection that leads to the process.
	sameProcess
)

// relate returns how the connection leads to the process that sent the data of the watch, the last of which arrived at the time. The caller holds the lock.
func (s *sentinel) relate(x *Watch, arrived time.Time) relation {
	switch {
	case s.conn == nil:
		return unrelated
	case s.watches[x] == s.conn, s.conn.openedAt.Before(arrived.Add(-arrivalError)):
		return sameProcess
	case !s.isLostSince(arrived) && !s.conn.openedAt.After(arrived.Add(unstatedTime)):
		return openedSoon
	default:
		return unrelated
	}
}

// relationNow returns how the connection leads to the process that sent the data of the watch.
func (s *sentinel) relationNow(x *Watch, arrived time.Time) relation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check()
	return s.relate(x, arrived)
}

// takeBack ends a question over the connection, which is dropped unless it was answered.
func (s *sentinel) takeBack(conn net.Conn, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lent = false
	switch {
	case s.conn == nil || net.Conn(s.conn) != conn:
		// The sentinel was closed meanwhile.
	case answered:
		s.conn.watch()
	default:
		s.conn.close()
		s.conn = nil
	}
}

// wasLost reports whether the process is known to have closed a connection, or to have refused one, since the last data arrived.
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
