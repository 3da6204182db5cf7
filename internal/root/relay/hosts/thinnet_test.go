package hosts

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// thinRate is the bandwidth of a thin link in each direction, in bytes per second (10 Mbit/s).
	thinRate = 10_000_000 / 8
	// thinDelay is the time that a byte is on its way on an idle link.
	thinDelay = 2 * time.Millisecond
	// thinWindow is how many bytes of a connection may be on their way, and thinSegment how many are sent at a time.
	thinWindow  = 64 << 10
	thinSegment = 8 << 10
)

// thinLink is one direction of the link of a host. Bytes of all its connections wait in one queue.
type thinLink struct {
	mu        sync.Mutex
	rate      float64
	busyUntil time.Time
}

// carry queues bytes that arrive at the link at a time, and returns when the last one leaves it.
func (l *thinLink) carry(at time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busyUntil.Before(at) {
		l.busyUntil = at
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.busyUntil
}

// thinHostLinks are both directions of the link of a host.
type thinHostLinks struct {
	up, down thinLink
}

// thinNetwork carries connections between hosts over their links, without sockets.
type thinNetwork struct {
	mu        sync.Mutex
	links     map[string]*thinHostLinks
	listeners map[string]*thinListener
	conns     []*thinConn
	// cut holds the addresses of hosts that neither send nor receive.
	cut map[string]bool
}

func newThinNetwork() *thinNetwork {
	return &thinNetwork{
		links:     map[string]*thinHostLinks{},
		listeners: map[string]*thinListener{},
		cut:       map[string]bool{},
	}
}

// linksOf returns the links of the host with the address.
func (n *thinNetwork) linksOf(addr string) *thinHostLinks {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[addr]
	if !ok {
		l = &thinHostLinks{
			up:   thinLink{rate: thinRate},
			down: thinLink{rate: thinRate},
		}
		n.links[addr] = l
	}
	return l
}

// sever cuts the host with the address from all others: what it sends or is sent is lost.
func (n *thinNetwork) sever(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = true
}

func (n *thinNetwork) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[a] || n.cut[b]
}

// occupy sends other bytes over the link of the host until ctx is done, which fill a share of it in each direction.
func (n *thinNetwork) occupy(ctx context.Context, addr string, share float64) {
	const tick = 10 * time.Millisecond
	l := n.linksOf(addr)
	bytes := int(share * thinRate * tick.Seconds())
	for ctx.Err() == nil {
		now := time.Now()
		l.up.carry(now, bytes)
		l.down.carry(now, bytes)
		time.Sleep(tick)
	}
}

func (n *thinNetwork) listen(addr string) net.Listener {
	ln := &thinListener{
		addr:     thinAddr(addr),
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = ln
	return ln
}

// dialerOf returns what opens connections for the host with the address.
func (n *thinNetwork) dialerOf(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		ln := n.listeners[to]
		n.mu.Unlock()
		if n.isCut(from, to) || ln == nil {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		time.Sleep(2 * thinDelay)
		there, back := newThinPipe(n, from, to), newThinPipe(n, to, from)
		client := &thinConn{in: back, out: there, local: thinAddr(from), remote: thinAddr(to)}
		server := &thinConn{in: there, out: back, local: thinAddr(to), remote: thinAddr(from)}
		n.mu.Lock()
		n.conns = append(n.conns, client, server)
		n.mu.Unlock()
		select {
		case ln.accepted <- server:
			return client, nil
		case <-ln.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// close ends all connections.
func (n *thinNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
}

// thinAddr is the address of a host.
type thinAddr string

func (a thinAddr) Network() string { return "tcp" }
func (a thinAddr) String() string  { return string(a) }

type thinListener struct {
	addr     thinAddr
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *thinListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *thinListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *thinListener) Addr() net.Addr { return l.addr }

// thinPipe carries the bytes of a connection in one direction.
type thinPipe struct {
	net      *thinNetwork
	from, to string

	mu sync.Mutex
	// buffer holds the bytes that have arrived, and onTheWay counts those that were written and not read.
	buffer   []byte
	onTheWay int
	closed   bool
	deadline time.Time
	changed  chan struct{}
}

func newThinPipe(n *thinNetwork, from, to string) *thinPipe {
	return &thinPipe{
		net:     n,
		from:    from,
		to:      to,
		changed: make(chan struct{}),
	}
}

// update changes the pipe and wakes all that wait for it.
func (p *thinPipe) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *thinPipe) write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		part := b[written:min(len(b), written+thinSegment)]
		if err := p.awaitWindow(len(part)); err != nil {
			return written, err
		}
		p.send(append([]byte(nil), part...))
		written += len(part)
	}
	return written, nil
}

func (p *thinPipe) awaitWindow(n int) error {
	for {
		p.mu.Lock()
		closed, fits, changed := p.closed, p.onTheWay+n <= thinWindow, p.changed
		if fits && !closed {
			p.onTheWay += n
		}
		p.mu.Unlock()
		if closed {
			return io.ErrClosedPipe
		}
		if fits {
			return nil
		}
		<-changed
	}
}

// send carries a segment over both links.
func (p *thinPipe) send(segment []byte) {
	if p.net.isCut(p.from, p.to) {
		return
	}
	sent := p.net.linksOf(p.from).up.carry(time.Now(), len(segment))
	arrives := p.net.linksOf(p.to).down.carry(sent.Add(thinDelay), len(segment))
	time.AfterFunc(time.Until(arrives), func() {
		if p.net.isCut(p.from, p.to) {
			return
		}
		p.update(func() { p.buffer = append(p.buffer, segment...) })
	})
}

func (p *thinPipe) read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		n := copy(b, p.buffer)
		closed, deadline, changed := p.closed, p.deadline, p.changed
		p.mu.Unlock()
		switch {
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return 0, os.ErrDeadlineExceeded
		case n > 0:
			p.update(func() {
				p.buffer = p.buffer[n:]
				p.onTheWay -= n
			})
			return n, nil
		case closed:
			return 0, io.EOF
		}
		p.await(changed, deadline)
	}
}

func (p *thinPipe) await(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (p *thinPipe) close() {
	p.update(func() { p.closed = true })
}

// thinConn is one end of a connection.
type thinConn struct {
	in, out       *thinPipe
	local, remote thinAddr
}

func (c *thinConn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *thinConn) Write(b []byte) (int, error) { return c.out.write(b) }
func (c *thinConn) LocalAddr() net.Addr         { return c.local }
func (c *thinConn) RemoteAddr() net.Addr        { return c.remote }

func (c *thinConn) Close() error {
	c.in.close()
	// The end of a connection arrives after its bytes.
	time.AfterFunc(thinDelay, c.out.close)
	return nil
}

func (c *thinConn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.deadline = t })
	return nil
}

func (c *thinConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }
func (c *thinConn) SetDeadline(time.Time) error      { return errors.ErrUnsupported }
