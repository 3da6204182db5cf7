package peers

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
)

// ALPN names the protocol between entry hosts.
const ALPN = "cornelwing/1"

const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 15 * time.Second
	exchangeTimeout  = 2 * time.Second
	maxMessage       = 16 << 20
	maxStreams       = 64
)

// Certs gives the TLS settings of both ends.
type Certs interface {
	Client() *tls.Config
	Server() *tls.Config
}

// Mesh carries messages between entry hosts.
type Mesh struct {
	common.Deps
	state *State
	certs Certs
	addr  string

	bound atomic.Pointer[string]
	// Sent and Received count the bytes of messages.
	Sent     atomic.Int64
	Received atomic.Int64

	mu    sync.Mutex
	conns map[string]*quic.Conn
	trans *quic.Transport
}

// NewMesh returns a mesh that listens on the UDP address once it runs.
func NewMesh(deps common.Deps, state *State, certs Certs, addr string) *Mesh {
	return &Mesh{
		Deps:  deps.WithPart("peers"),
		state: state,
		certs: certs,
		addr:  addr,
		conns: map[string]*quic.Conn{},
	}
}

// Name is the part's name in the supervision tree.
func (m *Mesh) Name() string {
	return "peers"
}

// Addr returns the address that the mesh listens on, or "" before it does.
func (m *Mesh) Addr() string {
	if a := m.bound.Load(); a != nil {
		return *a
	}
	return ""
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// Run listens to peers until ctx ends.
func (m *Mesh) Run(ctx context.Context, up func()) error {
	udp, err := net.ResolveUDPAddr("udp", m.addr)
	if err != nil {
		return fmt.Errorf("resolve peers' address: %w", err)
	}
	sock, err := net.ListenUDP("udp", udp)
	if err != nil {
		return fmt.Errorf("listen to peers: %w", err)
	}
	defer sock.Close()
	trans := &quic.Transport{
		Conn: sock,
	}
	defer trans.Close()
	ln, err := trans.Listen(m.certs.Server(), quicConfig())
	if err != nil {
		return fmt.Errorf("listen to peers: %w", err)
	}
	defer ln.Close()
	m.open(trans, sock.LocalAddr().String())
	m.state.Registry.SetAddr(sock.LocalAddr().String())
	defer m.open(nil, "")
	up()
	for {
		conn, err := ln.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		go m.serve(ctx, conn)
	}
}

func (m *Mesh) open(trans *quic.Transport, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trans = trans
	m.conns = map[string]*quic.Conn{}
	m.bound.Store(&addr)
}

func (m *Mesh) serve(ctx context.Context, conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go func() {
			if err := m.answer(ctx, s); err != nil {
				m.Log.WithError(err).Debug("Exchange failed.")
			}
		}()
	}
}

// answer takes a peer's digest, returns the own one, and takes the documents that the peer may add.
func (m *Mesh) answer(ctx context.Context, s *quic.Stream) error {
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return fmt.Errorf("bound exchange: %w", err)
	}
	dec := m.decoder(s)
	theirs, err := m.receive(dec)
	if err != nil {
		return fmt.Errorf("receive digest: %w", err)
	}
	if theirs.Writes != nil {
		return m.serveWrites(ctx, s, theirs.Writes)
	}
	ours, _, err := m.state.Attach(m.state.Digest(), theirs)
	if err != nil {
		return fmt.Errorf("attach documents: %w", err)
	}
	if err := m.send(s, ours); err != nil {
		return fmt.Errorf("send digest: %w", err)
	}
	if ours.From.Revision >= theirs.From.Revision && ours.ListVersion >= theirs.ListVersion {
		return nil
	}
	if _, err := m.receive(dec); err != nil {
		return fmt.Errorf("receive documents: %w", err)
	}
	return nil
}

func (m *Mesh) serveWrites(ctx context.Context, s *quic.Stream, writes []claim.Write) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := Message{
		From:    m.state.Registry.Self(),
		Results: m.state.Serve(ctx, writes),
	}
	if err := m.send(s, reply); err != nil {
		return fmt.Errorf("send results: %w", err)
	}
	return nil
}

// Write hands claims to the peer at the address; sent says whether they may have arrived.
func (m *Mesh) Write(ctx context.Context, addr string, writes []claim.Write) (results []claim.Result, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := m.dial(ctx, addr)
	if err != nil {
		return nil, false, fmt.Errorf("reach claim writer %s: %w", addr, err)
	}
	results, err = m.write(ctx, conn, writes)
	if err != nil {
		m.forget(addr, conn)
		return nil, true, fmt.Errorf("hand claims to %s: %w", addr, err)
	}
	return results, true, nil
}

func (m *Mesh) write(ctx context.Context, conn *quic.Conn, writes []claim.Write) ([]claim.Result, error) {
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	defer s.Close()
	defer s.CancelRead(0)
	deadline, _ := ctx.Deadline()
	if err := s.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("bound exchange: %w", err)
	}
	if err := m.send(s, Message{
		From:   m.state.Registry.Self(),
		Writes: writes,
	}); err != nil {
		return nil, fmt.Errorf("send claims: %w", err)
	}
	reply, err := m.receive(m.decoder(s))
	if err != nil {
		return nil, fmt.Errorf("receive results: %w", err)
	}
	return reply.Results, nil
}

// Exchange tells the peer at the address what this host knows, and takes in what the peer knows.
func (m *Mesh) Exchange(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := m.dial(ctx, addr)
	if err != nil {
		return fmt.Errorf("reach peer %s: %w", addr, err)
	}
	if err := m.exchange(ctx, conn); err != nil {
		// What fell silent may have been forgotten on the way, so the next exchange begins anew.
		m.forget(addr, conn)
		return fmt.Errorf("exchange with %s: %w", addr, err)
	}
	return nil
}

func (m *Mesh) exchange(ctx context.Context, conn *quic.Conn) error {
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return fmt.Errorf("open stream: %w", err)
	}
	defer s.Close()
	defer s.CancelRead(0)
	deadline, _ := ctx.Deadline()
	if err := s.SetDeadline(deadline); err != nil {
		return fmt.Errorf("bound exchange: %w", err)
	}
	if err := m.send(s, m.state.Digest()); err != nil {
		return fmt.Errorf("send digest: %w", err)
	}
	theirs, err := m.receive(m.decoder(s))
	if err != nil {
		return fmt.Errorf("receive digest: %w", err)
	}
	more, needed, err := m.state.Attach(Message{
		From: m.state.Registry.Self(),
	}, theirs)
	if err != nil {
		return fmt.Errorf("attach documents: %w", err)
	}
	if !needed {
		return nil
	}
	if err := m.send(s, more); err != nil {
		return fmt.Errorf("send documents: %w", err)
	}
	return nil
}

func (m *Mesh) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	m.mu.Lock()
	conn, ok := m.conns[addr]
	trans := m.trans
	m.mu.Unlock()
	if ok && conn.Context().Err() == nil {
		return conn, nil
	}
	if trans == nil {
		return nil, net.ErrClosed
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve peer: %w", err)
	}
	conn, err = trans.Dial(ctx, udp, m.certs.Client(), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[addr] = conn
	return conn, nil
}

func (m *Mesh) forget(addr string, conn *quic.Conn) {
	m.mu.Lock()
	if m.conns[addr] == conn {
		delete(m.conns, addr)
	}
	m.mu.Unlock()
	// The connection is given up whatever its end says.
	_ = conn.CloseWithError(0, "exchange failed")
}

func (m *Mesh) decoder(r io.Reader) *cbor.Decoder {
	return cbor.NewDecoder(&counter{
		r:     io.LimitReader(r, maxMessage),
		total: &m.Received,
	})
}

func (m *Mesh) receive(dec *cbor.Decoder) (Message, error) {
	var msg Message
	if err := dec.Decode(&msg); err != nil {
		return Message{}, fmt.Errorf("decode message: %w", err)
	}
	if err := m.state.Take(msg); err != nil {
		return Message{}, fmt.Errorf("take message: %w", err)
	}
	return msg, nil
}

func (m *Mesh) send(w io.Writer, msg Message) error {
	data, err := cbor.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	m.Sent.Add(int64(len(data)))
	return nil
}

type counter struct {
	r     io.Reader
	total *atomic.Int64
}

func (c *counter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.total.Add(int64(n))
	return n, err
}
