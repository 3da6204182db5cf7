package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
)

// Mode is how a link treats connections.
type Mode int

// The modes of a link.
const (
	// Open passes everything on.
	Open Mode = iota
	// Refuse refuses new connections, and resets those that are open.
	Refuse
	// RefuseNew refuses new connections, while those that are open live on.
	RefuseNew
	// Hang neither accepts nor refuses new connections, and passes nothing on through those that are open.
	Hang
)

// bufferBytes is the size of the buffer for each direction of a connection.
const bufferBytes = 16 << 10

// Link forwards TCP connections from a loopback address of its own to a server. It is safe for concurrent use.
type Link struct {
	target string
	port   *port

	mu   sync.Mutex
	mode Mode
	// changed is closed when the mode changes.
	changed chan struct{}
	ln      net.Listener
	stalled io.Closer
	conns   map[net.Conn]bool
	// opened counts the connections that were accepted.
	opened int
	// followsEnd makes the link refuse connections once its server does, and ended reports that the server did.
	followsEnd bool
	ended      bool
}

// New opens a link to the server with the address.
func New(target string) (*Link, error) {
	p, err := reservePort()
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	l := &Link{
		target:  target,
		port:    p,
		changed: make(chan struct{}),
		conns:   map[net.Conn]bool{},
	}
	if err := l.listen(); err != nil {
		return nil, errors.Join(err, p.Close())
	}
	return l, nil
}

// Addr returns the address that stands for the server.
func (l *Link) Addr() string {
	return l.port.addr
}

// Opened returns how many connections the link has accepted.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// FollowEnd makes the link refuse new connections for good once its server refuses one, as the network between a host and a server that has ended does. It must be called before the link is used.
func (l *Link) FollowEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followsEnd = true
}

// Reopen makes a link that has followed the end of its server accept connections again, as another server may have its address.
func (l *Link) Reopen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		return nil
	}
	l.ended = false
	if l.mode != Open {
		return nil
	}
	return l.listen()
}

// SetMode sets how the link treats connections from now on.
func (l *Link) SetMode(m Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m == l.mode {
		return nil
	}
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	err := l.stopListening()
	switch m {
	case Open:
		err = errors.Join(err, l.listen())
	case Refuse:
		l.resetAll()
	case Hang:
		var stallErr error
		l.stalled, stallErr = l.port.stall()
		err = errors.Join(err, stallErr)
	case RefuseNew:
	}
	if err != nil {
		return fmt.Errorf("change link: %w", err)
	}
	return nil
}

// Close closes the link and its connections.
func (l *Link) Close() error {
	if err := l.SetMode(Refuse); err != nil {
		return err
	}
	return l.port.Close()
}

// listen accepts connections. The caller holds the lock, or is the only user.
func (l *Link) listen() error {
	if l.ended {
		return nil
	}
	ln, err := l.port.listen()
	if err != nil {
		return fmt.Errorf("listen for a server: %w", err)
	}
	l.ln = ln
	go l.accept(ln)
	return nil
}

func (l *Link) stopListening() error {
	var err error
	if l.ln != nil {
		err = l.ln.Close()
		l.ln = nil
	}
	if l.stalled != nil {
		err = errors.Join(err, l.stalled.Close())
		l.stalled = nil
	}
	return err
}

func (l *Link) resetAll() {
	for c := range l.conns {
		reset(c)
	}
}

// reset closes a connection so that its other end sees an error. A connection that is closed already needs no handling.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *Link) serve(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.noteEnd()
		}
		reset(client)
		return
	}
	l.mu.Lock()
	l.opened++
	l.conns[client] = true
	l.conns[server] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(server, client) })
	both.Go(func() { l.pass(client, server) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// noteEnd stops listening if the link follows the end of its server, which has refused a connection.
func (l *Link) noteEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.followsEnd {
		return
	}
	l.ended = true
	if l.mode == Open {
		// The listener is in use, and a listener that was closed already refuses as well.
		_ = l.stopListening()
	}
}

// pass copies from one end of a connection to the other. Each end sees how the other one ended: in order or with a reset.
func (l *Link) pass(to, from net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		l.waitWhileHanging()
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

func (l *Link) waitWhileHanging() {
	for {
		l.mu.Lock()
		mode, changed := l.mode, l.changed
		l.mu.Unlock()
		if mode != Hang {
			return
		}
		<-changed
	}
}
