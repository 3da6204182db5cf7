package serve

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/guard"
)

const (
	// fieldBytes is the memory that one line of a request's head takes beside its text, in bytes. A head is held as the server parsed it and in copies for the upstream.
	fieldBytes = 400
	// headStep is the step in which the memory for a head is asked for, in bytes.
	headStep = 4 << 10
	// writePiece is the size of the pieces in which a response is written, in bytes, and writeTimeout the time that the client has to take one.
	writePiece   = 32 << 10
	writeTimeout = 15 * time.Second
	// restTimeout is the time in which the rest of a body may arrive that no handler read.
	restTimeout = time.Second
)

// phase is what a connection waits for.
type phase int

const (
	// receivingHead is also the phase of an idle connection.
	receivingHead phase = iota
	receivingBody
	// working means that the client waits for this host.
	working
)

// conn is a client's connection. It tracks what the host holds for it, and whether the client makes progress.
type conn struct {
	net.Conn
	gate   *gate
	evicts sync.Once

	mu       sync.Mutex
	phase    phase
	writing  bool
	progress time.Time
	// headSince is when the current head began, or the connection became idle.
	headSince time.Time
	claim     *guard.Claim
	// headBytes is the size of the current head as far as it has arrived, with the memory for its fields. claimed is the part of it that was asked for.
	headBytes int
	claimed   int
	evicted   bool
	// resets reports that the connection ends with a reset, and incomplete that its response is not whole yet.
	resets     bool
	incomplete bool
	// ownDeadline reports that the handler has set a deadline for writing.
	ownDeadline bool
}

func newConn(c net.Conn, g *gate) *conn {
	now := time.Now()
	out := &conn{
		Conn:      c,
		gate:      g,
		progress:  now,
		headSince: now,
	}
	out.claim = out.newClaim()
	return out
}

func (c *conn) newClaim() *guard.Claim {
	if c.gate.memory == nil {
		return nil
	}
	return c.gate.memory.Claim(c.interrupt)
}

// interrupt makes the current and all later reads fail, so that the request ends with a response if one is possible.
func (c *conn) interrupt() {
	c.mu.Lock()
	c.evicted = true
	writing := c.writing
	c.mu.Unlock()
	if writing {
		c.Evict()
		return
	}
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Evict closes the connection.
func (c *conn) Evict() {
	c.evicts.Do(func() {
		c.mu.Lock()
		c.evicted = true
		c.mu.Unlock()
		// An error means that the connection is closed already.
		_ = c.Conn.Close()
	})
}

// Holder returns the progress of the client. A head makes progress only as a whole, as it can be sent byte by byte for ever.
func (c *conn) Holder() guard.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	progress := c.progress
	if c.phase == receivingHead && !c.writing {
		progress = c.headSince
	}
	return guard.Holder{
		Progress: progress,
		Busy:     c.phase == working && !c.writing,
	}
}

// Read reads from the client. It fails as at a deadline if the connection was evicted or there is no memory for the head.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.received(b[:n]) {
		c.interrupt()
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// received records bytes of the client, and reports whether the host can hold them.
func (c *conn) received(b []byte) bool {
	c.mu.Lock()
	c.progress = time.Now()
	evicted := c.evicted
	phase := c.phase
	claim := c.claim
	var growth int64
	if phase == receivingHead {
		growth = c.headGrowth(b)
	}
	c.mu.Unlock()
	// A claim that grows may interrupt other connections, so the lock must not be held.
	switch {
	case evicted:
		return false
	case phase == receivingHead && growth > 0:
		return claim.Grow(growth)
	case phase != working:
		claim.Waiting(true)
	}
	return true
}

// headGrowth returns how much more memory the head needs with the bytes that have arrived. The caller holds the lock.
func (c *conn) headGrowth(b []byte) int64 {
	if end := bytes.Index(b, []byte("\n\r\n")); end >= 0 {
		// What follows belongs to the body.
		b = b[:end]
	}
	if c.headBytes == 0 {
		c.headSince = c.progress
	}
	c.headBytes += len(b) + fieldBytes*bytes.Count(b, []byte{'\n'})
	if c.headBytes <= c.claimed {
		return 0
	}
	missing := (c.headBytes - c.claimed + headStep - 1) / headStep * headStep
	c.claimed += missing
	return int64(missing)
}

// Write writes to the client in pieces. Each must be taken within writeTimeout, unless the handler has set a deadline.
func (c *conn) Write(b []byte) (int, error) {
	c.startWriting()
	defer c.endWriting()
	written := 0
	for {
		piece := b[written:min(len(b), written+writePiece)]
		n, err := c.writePiece(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *conn) writePiece(b []byte) (int, error) {
	c.mu.Lock()
	own := c.ownDeadline
	c.progress = time.Now()
	c.mu.Unlock()
	if !own {
		// A connection that takes no deadline is closed, which the write finds out.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return c.Conn.Write(b)
}

func (c *conn) startWriting() {
	c.mu.Lock()
	c.writing = true
	claim := c.claim
	c.mu.Unlock()
	claim.Waiting(true)
}

func (c *conn) endWriting() {
	c.mu.Lock()
	c.writing = false
	claim := c.claim
	busy := c.phase == working
	c.progress = time.Now()
	c.mu.Unlock()
	claim.Waiting(!busy)
}

// SetReadDeadline sets the deadline for reading. An evicted connection keeps the one that ended it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	evicted := c.evicted
	c.mu.Unlock()
	if evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline for writing, which replaces the one for each piece until it is removed.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.ownDeadline = !t.IsZero()
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetLinger sets what Close does with bytes that were not sent.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// beginIncomplete makes the connection end with a reset until endIncomplete is called, whoever closes it: also the kernel does so if this process is killed.
func (c *conn) beginIncomplete() {
	c.mu.Lock()
	c.incomplete = true
	c.resets = true
	c.mu.Unlock()
	// An error means that the connection is closed already.
	_ = c.SetLinger(0)
}

// endIncomplete records that the response is whole, but for bytes that the server still holds. The connection ends in order once they are sent.
func (c *conn) endIncomplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incomplete = false
}

// allowOrderlyEnd makes the connection end in order, unless its response is incomplete.
func (c *conn) allowOrderlyEnd() {
	c.mu.Lock()
	allowed := c.resets && !c.incomplete
	if allowed {
		c.resets = false
	}
	c.mu.Unlock()
	if allowed {
		// An error means that the connection is closed already.
		_ = c.SetLinger(-1)
	}
}

// Close closes the connection and releases what is held for it.
func (c *conn) Close() error {
	c.gate.conns.Remove(c)
	c.mu.Lock()
	claim := c.claim
	c.mu.Unlock()
	claim.Release()
	c.allowOrderlyEnd()
	return c.Conn.Close()
}

// beginRequest records that the head has arrived.
func (c *conn) beginRequest(hasBody bool) {
	if hasBody {
		c.setPhase(receivingBody)
		return
	}
	c.arrived()
}

// arrived records that the request has arrived whole.
func (c *conn) arrived() {
	c.setPhase(working)
	c.currentClaim().Arrived()
}

// endRequest records that the request has ended.
func (c *conn) endRequest() {
	c.allowOrderlyEnd()
	next := c.newClaim()
	c.mu.Lock()
	ended := c.claim
	c.claim = next
	c.phase = receivingHead
	c.headBytes = 0
	c.claimed = 0
	c.ownDeadline = false
	c.progress = time.Now()
	c.headSince = c.progress
	c.mu.Unlock()
	ended.Release()
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	c.progress = time.Now()
}

func (c *conn) currentClaim() *guard.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claim
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// ClaimOf returns what the host holds for the request, or nil on a server without bounds.
func ClaimOf(r *http.Request) *guard.Claim {
	if c := connOf(r); c != nil {
		return c.currentClaim()
	}
	return nil
}
