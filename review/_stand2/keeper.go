package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// keeperFD is the number of the socket in a server over which it hands its forgotten connections to its parent.
const keeperFD = 3

// forgetter forgets connections that have rested without a request: their peer is not told, nor when the process ends, and whatever it sends on them is reset. It does so by handing them to the parent process.
type forgetter struct {
	net.Listener
	after time.Duration
	to    int
}

// Accept returns the next connection.
func (f *forgetter) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	r := &restingConn{
		TCPConn: tcp,
	}
	r.timer = time.AfterFunc(f.after, func() { f.forget(r) })
	return r, nil
}

// restingConn is a connection that has carried no request yet, until used is set.
type restingConn struct {
	*net.TCPConn
	timer *time.Timer
	mu    sync.Mutex
	used  bool
}

// Read reads from the connection.
func (c *restingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 || err != nil {
		c.mu.Lock()
		c.used = true
		c.mu.Unlock()
		c.timer.Stop()
	}
	return n, err
}

// forget hands the connection to the parent, unless it carries a request.
func (f *forgetter) forget(c *restingConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used {
		return
	}
	file, err := c.File()
	if err != nil {
		return
	}
	defer file.Close()
	if syscall.Sendmsg(f.to, []byte{0}, syscall.UnixRights(int(file.Fd())), nil, 0) == nil {
		// The parent holds the connection now, so this end of it is not seen by the peer.
		_ = c.TCPConn.Close()
	}
}

// keeper holds the connections that servers have forgotten.
type keeper struct {
	own, given *os.File
}

// newKeeper returns a keeper for one server, which gets the file given.
func newKeeper() (*keeper, error) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, fmt.Errorf("make socket pair: %w", err)
	}
	syscall.CloseOnExec(pair[0])
	k := &keeper{
		own:   os.NewFile(uintptr(pair[0]), "keeper"),
		given: os.NewFile(uintptr(pair[1]), "keeper"),
	}
	go k.run(pair[0])
	return k, nil
}

// run takes over connections until the server ends.
func (k *keeper) run(fd int) {
	defer k.own.Close()
	buf := make([]byte, 1)
	rights := make([]byte, syscall.CmsgSpace(4))
	for {
		n, rightsLen, _, _, err := syscall.Recvmsg(fd, buf, rights, 0)
		if err == syscall.EINTR {
			continue
		}
		if err != nil || n == 0 {
			return
		}
		messages, err := syscall.ParseSocketControlMessage(rights[:rightsLen])
		if err != nil || len(messages) != 1 {
			continue
		}
		fds, err := syscall.ParseUnixRights(&messages[0])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			go keep(fd)
		}
	}
}

// keep holds a forgotten connection until its peer ends it or sends something, which is reset.
func keep(fd int) {
	file := os.NewFile(uintptr(fd), "forgotten")
	c, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return
	}
	n, _ := c.Read(make([]byte, 1))
	if tcp, ok := c.(*net.TCPConn); ok && n > 0 {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
