package crowd

import (
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the time for one connection of a crowd.
	dialTimeout = 5 * time.Second
	// sendTimeout bounds the time in which a client sends what it has to send. A server may stop reading.
	sendTimeout = 10 * time.Second
	// receiveBufferBytes is the size of a client's receive buffer. The default would take in whole responses that nobody reads.
	receiveBufferBytes = 4096
)

// Crowd is a number of connections on which clients misbehave in the same way. They stay open until Close.
type Crowd struct {
	settled sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// Open connects n clients to the TCP address. It returns once all of them have sent what they send, or were turned away.
func Open(addr string, n int, play Client) *Crowd {
	c := &Crowd{}
	for range n {
		c.settled.Go(func() { c.join(addr, play) })
	}
	c.settled.Wait()
	return c
}

// join runs one client. Its errors don't matter, as servers may turn it away.
func (c *Crowd) join(addr string, play Client) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes)
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	_ = play(conn)
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
