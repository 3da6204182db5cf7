package vital

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

var (
	errRefused = fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
	errReset   = fmt.Errorf("read: %w", syscall.ECONNRESET)
)

// fakeProcess is what stands at an address.
type fakeProcess struct {
	// up reports that connections are accepted, full that each is reset, and forwards that each is closed in order.
	up, full, forwards bool
	// idle is how long a connection may stay open, or 0 for ever.
	idle time.Duration

	// responds reports that the watched connection is open.
	responds bool
	// slowDials is the number of first connections that are not established.
	slowDials int
	// starts counts the processes since the one that sends the data, and silent reports that they don't say which one they are.
	starts int
	silent bool

	// gone reports that what accepts connections stands for a process that is gone, and forgets that the process drops connections on which nothing is sent, without a notice.
	gone, forgets bool

	mu    sync.Mutex
	conns []fakeConn
	dials int
}

// fakeConn is a connection to a process, of which the host holds one end.
type fakeConn struct {
	ours, theirs net.Conn
	// process numbers the process to which it leads.
	process int
}

// resetConn is a connection that was reset.
type resetConn struct {
	net.Conn
}

func (resetConn) Read([]byte) (int, error) { return 0, errReset }

func (p *fakeProcess) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if p.countDial() <= p.slowDials {
		<-ctx.Done()
		return nil, fmt.Errorf("connect: %w", ctx.Err())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.up {
		return nil, errRefused
	}
	ours, theirs := net.Pipe()
	switch {
	case p.full:
		return resetConn{
			Conn: ours,
		}, nil
	case p.forwards:
		_ = theirs.Close()
	case p.idle > 0:
		time.AfterFunc(p.idle, func() { _ = theirs.Close() })
	}
	p.conns = append(p.conns, fakeConn{
		ours:    ours,
		theirs:  theirs,
		process: p.starts,
	})
	return ours, nil
}

// countDial returns how many connections have been asked for.
func (p *fakeProcess) countDial() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	return p.dials
}

// closeConns ends all connections in order.
func (p *fakeProcess) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responds = false
	if p.forgets {
		return
	}
	for _, c := range p.conns {
		_ = c.theirs.Close()
	}
	p.conns = nil
}

func (p *fakeProcess) setUp(up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if up && !p.up {
		p.starts++
		p.gone = false
	}
	p.up = up
}

// check returns nil if the process says that it is the one that sent the data. conn is the connection over which it is asked, or nil.
func (p *fakeProcess) check(_ context.Context, conn net.Conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := p.starts
	switch held, ok := conn.(*heldConn); {
	case ok:
		i := slices.IndexFunc(p.conns, func(c fakeConn) bool { return c.ours == held.Conn })
		if i < 0 || p.forgets {
			return errReset
		}
		asked = p.conns[i].process
	case !p.up:
		return errRefused
	case p.full, p.forwards:
		return errReset
	}
	switch {
	case p.gone:
		return errors.New("no answer")
	case p.silent:
		return send.ErrSenderUnstated
	case asked > 0:
		return send.ErrUpstreamGone
	}
	return nil
}

// setGone ends the process behind what accepts connections.
func (p *fakeProcess) setGone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
}

// setFull sets whether further connections are reset.
func (p *fakeProcess) setFull(full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = full
}

// setIdle sets how long further connections may stay open.
func (p *fakeProcess) setIdle(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = idle
}

// die ends the process, whose listener outlives its connections for a moment.
func (p *fakeProcess) die(listenerFor time.Duration) {
	p.setGone()
	p.closeConns()
	time.Sleep(listenerFor)
	p.setUp(false)
	p.closeConns()
}

func (p *fakeProcess) isResponding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responds
}

// finish ends the response while the process lives on.
func (p *fakeProcess) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responds = false
}

func newWitness(p *fakeProcess) *Witness {
	return New(common.NewDeps("h", "d", io.Discard, logrus.ErrorLevel), p.dial)
}

// Guards against the end of a process that is taken for an end that the process meant (rule ORDER).
func TestWitnessTellsWhetherProcessOutlivedConnection(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name    string
		process *fakeProcess
		// during plays from the head of the response on. The end is confirmed after it.
		during func(p *fakeProcess)
		// late is how long ago the last data has arrived then.
		late     time.Duration
		outlived bool
	}{
		{name: "a process that lives", process: &fakeProcess{up: true}, outlived: true},
		{name: "a process that lives, and does not say which one it is", process: &fakeProcess{up: true, silent: true}, outlived: true},
		{name: "a process that does not say which one it is, for a head that is read long after the data", process: &fakeProcess{up: true, silent: true}, late: second},
		{name: "a process that lives, and does not say which one it is, for a response that goes on", process: &fakeProcess{up: true, silent: true}, during: func(*fakeProcess) { time.Sleep(2 * arrivalError) }, outlived: true},
		{name: "a process that lives, for a long response", process: &fakeProcess{up: true}, during: func(*fakeProcess) { time.Sleep(time.Minute) }, outlived: true},
		{name: "a process that lives, for a caller that reads late", process: &fakeProcess{up: true}, during: func(*fakeProcess) { time.Sleep(time.Minute) }, late: 30 * second, outlived: true},
		{name: "a process that closes idle connections", process: &fakeProcess{up: true, idle: second}, during: func(*fakeProcess) { time.Sleep(3*second - checkTime/2) }, outlived: true},
		{name: "a process that closes idle connections soon", process: &fakeProcess{up: true, idle: 400 * time.Millisecond}, during: func(*fakeProcess) { time.Sleep(3*second - checkTime/2) }, outlived: true},
		{name: "a process that closes its listener before it has finished its responses", process: &fakeProcess{up: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.setUp(false)
			time.Sleep(3 * second)
		}, outlived: true},
		{name: "a process to which the first connection takes too long", process: &fakeProcess{up: true, slowDials: 1}, during: func(*fakeProcess) { time.Sleep(second) }, outlived: true},
		{name: "a process to which the first connection takes too long, and that is silent until its response ends", process: &fakeProcess{up: true, responds: true, slowDials: 1}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.finish()
		}, late: second, outlived: true},
		{name: "a process at its limit of connections that lets one in, and is silent until its response ends", process: &fakeProcess{up: true, full: true, responds: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.setFull(false)
			time.Sleep(second)
			p.finish()
		}, late: 2 * second, outlived: true},
		{name: "a process that is silent, dies and starts again before the end is read", process: &fakeProcess{up: true, responds: true, slowDials: 1}, during: func(p *fakeProcess) {
			time.Sleep(150 * time.Millisecond)
			p.die(0)
			time.Sleep(100 * time.Millisecond)
			p.setUp(true)
			time.Sleep(second)
		}, late: 1250 * time.Millisecond},
		{name: "a process that is silent and dies", process: &fakeProcess{up: true, responds: true}, during: func(p *fakeProcess) { time.Sleep(second); p.die(0) }, late: second},
		{name: "a process at its limit of connections that lets one in before the end", process: &fakeProcess{up: true, full: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.setFull(false)
			time.Sleep(second)
		}, outlived: true},
		{name: "a process at its limit of connections, like a proxy whose process is gone", process: &fakeProcess{up: true, full: true}, during: func(*fakeProcess) { time.Sleep(second) }},
		{name: "a process that lets a connection in only after the end, like one that has started again behind a proxy", process: &fakeProcess{up: true, full: true, starts: 1}, during: func(p *fakeProcess) {
			time.Sleep(second)
			time.AfterFunc(checkTime/2, func() { p.setFull(false) })
		}},
		{name: "a process that is gone at once", process: &fakeProcess{}},
		{name: "a process that dies", process: &fakeProcess{up: true}, during: func(p *fakeProcess) { time.Sleep(second); p.die(0) }},
		{name: "a process whose listener outlives its connections for a moment", process: &fakeProcess{up: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			go p.die(10 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}, late: time.Millisecond},
		{name: "a process at its limit that dies", process: &fakeProcess{up: true, full: true}, during: func(p *fakeProcess) { time.Sleep(second); p.die(0) }},
		{name: "a process that has started again before the end is read", process: &fakeProcess{up: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.die(0)
			time.Sleep(100 * time.Millisecond)
			p.setUp(true)
			time.Sleep(second)
		}, late: 1100 * time.Millisecond},
		{name: "a process that dies soon and starts again at once, before the end is read", process: &fakeProcess{up: true}, during: func(p *fakeProcess) {
			time.Sleep(10 * time.Millisecond)
			p.die(5 * time.Millisecond)
			time.Sleep(10 * time.Millisecond)
			p.setUp(true)
			time.Sleep(second)
		}, late: 1025 * time.Millisecond},
		{name: "a process at its limit that dies and starts again before the end is read", process: &fakeProcess{up: true, full: true}, during: func(p *fakeProcess) {
			time.Sleep(second + checkTime/2)
			p.die(0)
			time.Sleep(checkTime / 2)
			p.setFull(false)
			p.setUp(true)
			time.Sleep(second)
		}, late: second + checkTime/2},
		{name: "a process that started again before the head is read", process: &fakeProcess{up: true, starts: 1}, late: second},
		{name: "a process that lives, for a host that stood still before it read the head", process: &fakeProcess{up: true}, late: second, outlived: true},
		{name: "a dead process behind something that resets connections", process: &fakeProcess{up: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.setFull(true)
			p.closeConns()
		}},
		{name: "a process that has started again behind something that resets connections", process: &fakeProcess{up: true, starts: 1}, during: func(p *fakeProcess) {
			time.Sleep(30 * time.Millisecond)
			p.setFull(true)
			p.closeConns()
			time.Sleep(second)
			p.setFull(false)
			time.Sleep(second)
		}, late: 2 * second},
		{name: "a process that dies after the head behind something that resets connections, and starts again", process: &fakeProcess{up: true, full: true, starts: 1}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.setFull(false)
			time.Sleep(second)
		}, late: 2 * second},
		{name: "a dead process behind something that holds connections for a while", process: &fakeProcess{up: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.setIdle(200 * time.Millisecond)
			p.setGone()
			p.closeConns()
		}},
		{name: "a process that forgets connections and dies", process: &fakeProcess{up: true, forgets: true}, during: func(p *fakeProcess) { time.Sleep(second); p.die(0) }},
		{name: "a process that forgets connections and dies, and whose listener outlives it for a moment", process: &fakeProcess{up: true, forgets: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			go p.die(10 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}, late: time.Millisecond},
		{name: "a process that forgets connections, dies and starts again before the end is read", process: &fakeProcess{up: true, forgets: true}, during: func(p *fakeProcess) {
			time.Sleep(second)
			p.die(0)
			time.Sleep(5 * time.Millisecond)
			p.setUp(true)
			time.Sleep(5 * time.Millisecond)
		}, late: 10 * time.Millisecond},
		{name: "a process that forgets connections and stands still", process: &fakeProcess{up: true, forgets: true}, during: func(p *fakeProcess) { time.Sleep(second); p.setGone() }},
		{name: "a process that forgets connections and lives", process: &fakeProcess{up: true, forgets: true}, during: func(*fakeProcess) { time.Sleep(second) }, outlived: true},
		{name: "a process that started again before its row did, and lives", process: &fakeProcess{up: true, responds: true, starts: 1}, during: func(*fakeProcess) { time.Sleep(second) }, outlived: true},
		{name: "a process that keeps connections open, and does not answer", process: &fakeProcess{up: true, gone: true}, during: func(*fakeProcess) { time.Sleep(second) }},
		{name: "a dead process behind something that accepts connections", process: &fakeProcess{up: true, forwards: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("The witness is right", t, func() {
					w := newWitness(tc.process)
					watch := w.Watch("a", tc.process.isResponding, WithSenderCheck(tc.process.check))
					if tc.during != nil {
						tc.during(tc.process)
					}
					began := time.Now()
					err := watch.Confirm(t.Context(), began.Add(-tc.late))
					So(err == nil, ShouldEqual, tc.outlived)
					So(time.Since(began), ShouldBeLessThanOrEqualTo, confirmTimeout)
					watch.Stop()
					watch.Stop()
					So(w.sentinels, ShouldBeEmpty)
					// What the process still does comes to its end.
					time.Sleep(second)
				})
			})
		})
	}
}

// Guards against a connection for each of many streams of one upstream.
func TestWatchesOfOneAddressShareConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A hundred watches share one connection", t, func() {
			p := &fakeProcess{
				up: true,
			}
			w := newWitness(p)
			errs := make(chan error)
			for range 100 {
				go func() {
					watch := w.Watch("a", p.isResponding, WithSenderCheck(p.check))
					defer watch.Stop()
					time.Sleep(time.Second)
					errs <- watch.Confirm(t.Context(), time.Now())
				}()
			}
			for range 100 {
				So(<-errs, ShouldBeNil)
			}
			So(p.dials, ShouldEqual, 1)
			So(w.Stats(), ShouldResemble, Stats{
				Outlived: 100,
				Asked:    100,
			})
		})
	})
}

// Guards against a watch on a process that has started again since the data arrived, beside an older watch on the one before (rule ORDER).
func TestWatchOfNextProcessConfirmsNothingOfTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a process that starts again while the head of a response waits to be read", t, func() {
			p := &fakeProcess{
				up: true,
			}
			w := newWitness(p)
			first := w.Watch("a", p.isResponding, WithSenderCheck(p.check))
			defer first.Stop()
			time.Sleep(time.Second)
			arrived := time.Now()
			p.die(0)
			time.Sleep(500 * time.Millisecond)
			p.setUp(true)
			second := w.Watch("a", p.isResponding, WithSenderCheck(p.check))
			defer second.Stop()
			Convey("neither watch confirms the end", func() {
				So(first.Confirm(t.Context(), arrived), ShouldNotBeNil)
				So(second.Confirm(t.Context(), arrived), ShouldNotBeNil)
			})
			Convey("but the end of a later response is confirmed", func() {
				time.Sleep(time.Second)
				So(second.Confirm(t.Context(), time.Now()), ShouldBeNil)
			})
		})
	})
}

// Guards against sound upstreams that count as gone because the kernel could not say when their last data arrived.
func TestUnknownTimeOfArrivalShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Without the time of the last data, the end is neither confirmed nor the process gone", t, func() {
			w := newWitness(&fakeProcess{
				up: true,
			})
			watch := w.Watch("a", func() bool { return false }, WithSenderCheck(func(context.Context, net.Conn) error { return send.ErrSenderUnstated }))
			defer watch.Stop()
			time.Sleep(time.Second)
			err := watch.Confirm(t.Context(), time.Time{})
			So(err, ShouldNotBeNil)
			So(errors.Is(err, send.ErrUpstreamGone), ShouldBeFalse)
		})
	})
}

// Guards against connections that are left open, and against answers for processes that begin and end all the time.
func TestWatchesOfProcessThatEndsAndStartsLeaveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Many watches begin and stop while their process ends and starts again", t, func() {
			p := &fakeProcess{
				up:   true,
				idle: 130 * time.Millisecond,
			}
			w := newWitness(p)
			var wg sync.WaitGroup
			for i := range 100 {
				wg.Go(func() {
					for j := range 20 {
						watch := w.Watch("a", p.isResponding, WithSenderCheck(p.check))
						time.Sleep(time.Duration((i*7+j*13)%90) * time.Millisecond)
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration((i+j)%120)*time.Millisecond)
						_ = watch.Confirm(ctx, time.Now())
						cancel()
						watch.Stop()
						time.Sleep(time.Duration((i*3+j*5)%70) * time.Millisecond)
					}
				})
			}
			for range 20 {
				time.Sleep(60 * time.Millisecond)
				p.die(3 * time.Millisecond)
				time.Sleep(40 * time.Millisecond)
				p.setUp(true)
			}
			wg.Wait()
			So(w.sentinels, ShouldBeEmpty)
		})
	})
}

// Guards against the end of a process that is taken for the end of its response because another process is at its address before the first sentinel is open (rule ORDER).
func TestProcessThatIsReplacedBeforeFirstSentinelHasNotOutlivedResponse(t *testing.T) {
	cases := []struct {
		name string
		// late is how long the host stands still before it reads the head, slow how long a connection takes to open, and restart how long nothing is at the address.
		late, slow, restart time.Duration
	}{
		{name: "a slow connection, 2 ms", slow: 12 * time.Millisecond, restart: 2 * time.Millisecond},
		{name: "a slow connection, 8 ms", slow: 20 * time.Millisecond, restart: 8 * time.Millisecond},
		{name: "a search for a tunnel, 4 ms", slow: 150 * time.Millisecond, restart: 4 * time.Millisecond},
		{name: "a host that stands still, 2 ms", late: 20 * time.Millisecond, restart: 2 * time.Millisecond},
		{name: "a host that stands still for longer, 4 ms", late: 94 * time.Millisecond, restart: 4 * time.Millisecond},
		{name: "a host that stands still for nearly 200 ms, 8 ms", late: 190 * time.Millisecond, restart: 8 * time.Millisecond},
		{name: "a host that stands still for over 200 ms, 8 ms", late: 210 * time.Millisecond, restart: 8 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("The end is not confirmed", t, func() {
					p := &fakeProcess{
						up:       true,
						responds: true,
					}
					w := newWitness(p)
					w.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
						time.Sleep(tc.slow)
						return p.dial(ctx, network, addr)
					}
					arrived := time.Now()
					go func() {
						time.Sleep(time.Millisecond)
						p.die(0)
						time.Sleep(tc.restart)
						p.setUp(true)
					}()
					time.Sleep(tc.late)
					watch := w.Watch("a", p.isResponding, WithSenderCheck(p.check))
					defer watch.Stop()
					time.Sleep(2 * time.Millisecond)
					So(watch.Confirm(t.Context(), arrived), ShouldNotBeNil)
				})
			})
		})
	}
}
