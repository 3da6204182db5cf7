package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Harm is what is wrong with the way from one member of a mesh to another.
type Harm struct {
	// Lost lets nothing arrive that is sent, and Refused resets connections and refuses new ones.
	Lost    bool
	Refused bool
	// Delay is how much later what is sent arrives.
	Delay time.Duration
}

// way is the way from one member to another.
type way struct {
	from, to string
}

// harming is a harm that is in force on some ways.
type harming struct {
	ways []way
	harm Harm
}

// meshConn is a connection between two members: one half each.
type meshConn struct {
	opened       way
	dialed, back net.Conn
}

// Mesh is the network between members that reach each other only through it. It is safe for concurrent use.
type Mesh struct {
	// memberAt returns the name of the member that opened a connection to the mesh, or "" if it is none.
	memberAt func(opened net.Conn) string

	mu     sync.Mutex
	harms  []*harming
	conns  map[*meshConn]bool
	fronts []net.Listener
	closed bool
	// changed is closed and replaced when the harms change.
	changed chan struct{}
}

// NewMesh returns a mesh without members, which calls memberAt for each connection.
func NewMesh(memberAt func(opened net.Conn) string) *Mesh {
	return &Mesh{
		memberAt: memberAt,
		conns:    map[*meshConn]bool{},
		changed:  make(chan struct{}),
	}
}

// Add adds a member that listens on the target address, and returns the address at which the others reach it.
func (m *Mesh) Add(name, target string) (addr string, err error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for member %s: %w", name, err)
	}
	m.mu.Lock()
	m.fronts = append(m.fronts, ln)
	m.mu.Unlock()
	go m.accept(ln, name, target)
	return ln.Addr().String(), nil
}

// Harm puts a harm into force on the ways from each of some members to each of others, beside other harms. The returned function ends it.
func (m *Mesh) Harm(from, to []string, harm Harm) (end func()) {
	h := &harming{
		harm: harm,
	}
	for _, f := range from {
		for _, t := range to {
			h.ways = append(h.ways, way{from: f, to: t})
		}
	}
	m.change(func() {
		m.harms = append(m.harms, h)
		for c := range m.conns {
			if m.refused(c.opened) {
				reset(c.dialed)
				reset(c.back)
			}
		}
	})
	return func() {
		m.change(func() {
			m.harms = slices.DeleteFunc(m.harms, func(other *harming) bool { return other == h })
		})
	}
}

// Close ends the mesh and its connections.
func (m *Mesh) Close() error {
	var err error
	m.change(func() {
		m.closed = true
		for _, ln := range m.fronts {
			err = errors.Join(err, ln.Close())
		}
		for c := range m.conns {
			reset(c.dialed)
			reset(c.back)
		}
	})
	return err
}

// change changes what is in force, and wakes those that wait for that.
func (m *Mesh) change(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
	close(m.changed)
	m.changed = make(chan struct{})
}

// harmOn returns all harms on a way as one. The caller holds the lock.
func (m *Mesh) harmOn(w way) Harm {
	var out Harm
	for _, h := range m.harms {
		if slices.Contains(h.ways, w) {
			out.Lost = out.Lost || h.harm.Lost
			out.Refused = out.Refused || h.harm.Refused
			out.Delay = max(out.Delay, h.harm.Delay)
		}
	}
	return out
}

// refused reports whether connections are refused that were opened on the way. The caller holds the lock.
func (m *Mesh) refused(opened way) bool {
	return m.harmOn(opened).Refused || m.harmOn(opened.back()).Refused
}

// back returns the way back.
func (w way) back() way {
	return way{from: w.to, to: w.from}
}

func (m *Mesh) accept(ln net.Listener, name, target string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go m.serve(c, name, target)
	}
}

// serve forwards a connection. One that is opened while a way is lost waits, as neither end would hear of the other.
func (m *Mesh) serve(opened net.Conn, name, target string) {
	w := way{from: m.memberAt(opened), to: name}
	m.awaitFound(w, w.back())
	m.mu.Lock()
	refused := w.from == "" || m.closed || m.refused(w)
	m.mu.Unlock()
	if refused {
		reset(opened)
		return
	}
	dialed, err := net.Dial("tcp", target)
	if err != nil {
		reset(opened)
		return
	}
	c := &meshConn{
		opened: w,
		dialed: dialed,
		back:   opened,
	}
	m.mu.Lock()
	m.conns[c] = true
	m.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { m.pass(w, dialed, opened) })
	both.Go(func() { m.pass(w.back(), opened, dialed) })
	both.Wait()
	m.mu.Lock()
	delete(m.conns, c)
	m.mu.Unlock()
	// Both ends have ended, so an error does not matter.
	_ = opened.Close()
	_ = dialed.Close()
}

// pass copies from one end of a connection to the other, later or only once nothing is lost any more. Each end sees how the other one ended.
func (m *Mesh) pass(w way, to, from net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		time.Sleep(m.awaitFound(w))
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				// An end that has closed the connection needs no notice.
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// awaitFound waits until none of the ways is lost, and returns their delay.
func (m *Mesh) awaitFound(ways ...way) time.Duration {
	for {
		m.mu.Lock()
		lost := false
		var delay time.Duration
		for _, w := range ways {
			h := m.harmOn(w)
			lost = lost || h.Lost
			delay = max(delay, h.Delay)
		}
		closed, changed := m.closed, m.changed
		m.mu.Unlock()
		if !lost || closed {
			return delay
		}
		<-changed
	}
}
