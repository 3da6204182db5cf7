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

// ALPN is the TLS protocol name that entry hosts negotiate.
const ALPN = "cornelwing/1"

const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 15 * time.Second
	exchangeTimeout  = 2 * time.Second
	maxMessageBytes  = 16 << 20
	maxStreams       = 64
)

// Certs returns the TLS configurations for outgoing and incoming connections.
type Certs interface {
	Client() *tls.Config
	Server() *tls.Config
}

// Mesh exchanges messages with other entry hosts and reuses its outgoing connections.
type Mesh struct {
	common.Deps
	state *State
	certs Certs
	addr  string

	listenAddr atomic.Pointer[string]
	// Sent and Received count the bytes of encoded messages.
	Sent     atomic.Int64
	Received atomic.Int64

	mu        sync.Mutex
	conns     map[string]*quic.Conn
	transport *quic.Transport
}

// NewMesh returns a Mesh that listens on the UDP address addr while Run is active.
func NewMesh(deps common.Deps, state *State, certs Certs, addr string) *Mesh {
	return &Mesh{
		Deps:  deps.WithPart("peers"),
		state: state,
		certs: certs,
		addr:  addr,
		conns: map[string]*quic.Conn{},
	}
}

// Name returns the name in the supervision tree.
func (m *Mesh) Name() string {
	return "peers"
}

// Addr returns the listening address, or "" while Run is not active.
func (m *Mesh) Addr() string {
	if a := m.listenAddr.Load(); a != nil {
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

// Run accepts connections from peers until ctx ends, and calls up once it listens.
func (m *Mesh) Run(ctx context.Context, up func()) error {
	udp, err := net.ResolveUDPAddr("udp", m.addr)
	if err != nil {
		return fmt.Errorf("resolve address for peers: %w", err)
	}
	sock, err := net.ListenUDP("udp", udp)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	defer sock.Close()
	transport := &quic.Transport{
		Conn: sock,
	}
	defer transport.Close()
	ln, err := transport.Listen(m.certs.Server(), quicConfig())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	defer ln.Close()
	m.setTransport(transport, sock.LocalAddr().String())
	m.state.Registry.SetAddr(sock.LocalAddr().String())
	defer m.setTransport(nil, "")
	up()
	for {
		conn, err := ln.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept connection from peer: %w", err)
		}
		go m.serveConn(ctx, conn)
	}
}

// setTransport replaces the transport and its address, and discards the connections of the previous transport.
func (m *Mesh) setTransport(transport *quic.Transport, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transport = transport
	m.conns = map[string]*quic.Conn{}
	m.listenAddr.Store(&addr)
}

func (m *Mesh) serveConn(ctx context.Context, conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go func() {
			if err := m.serveStream(ctx, s); err != nil {
				m.Log.WithError(err).Debug("Exchange started by a peer failed.")
			}
		}()
	}
}

// serveStream handles one stream that a peer opened. It answers claim writes with their results.
// It answers a digest with this host's digest and the documents of which the peer has an older version,
// and then receives the documents of which the peer has a newer version.
func (m *Mesh) serveStream(ctx context.Context, s *quic.Stream) error {
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return fmt.Errorf("set stream deadline: %w", err)
	}
	dec := m.decoder(s)
	remote, err := m.receive(dec)
	if err != nil {
		return fmt.Errorf("receive digest: %w", err)
	}
	if remote.Writes != nil {
		return m.serveWrites(ctx, s, remote.Writes)
	}
	local, _, err := m.state.AttachDocuments(m.state.Digest(), remote)
	if err != nil {
		return fmt.Errorf("attach documents: %w", err)
	}
	if err := m.send(s, local); err != nil {
		return fmt.Errorf("send digest: %w", err)
	}
	if local.From.Revision >= remote.From.Revision && local.ListVersion >= remote.ListVersion {
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
		Results: m.state.CommitForwarded(ctx, writes),
	}
	if err := m.send(s, reply); err != nil {
		return fmt.Errorf("send results: %w", err)
	}
	return nil
}

// Write sends claim writes to the peer at addr and returns its results.
// On an error, sent reports whether the peer may have received the writes.
func (m *Mesh) Write(ctx context.Context, addr string, writes []claim.Write) (results []claim.Result, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := m.dial(ctx, addr)
	if err != nil {
		return nil, false, fmt.Errorf("connect to claim writer %s: %w", addr, err)
	}
	results, err = m.forwardWrites(ctx, conn, writes)
	if err != nil {
		m.dropConn(addr, conn)
		return nil, true, fmt.Errorf("forward claims to %s: %w", addr, err)
	}
	return results, true, nil
}

func (m *Mesh) forwardWrites(ctx context.Context, conn *quic.Conn, writes []claim.Write) ([]claim.Result, error) {
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	defer s.Close()
	defer s.CancelRead(0)
	deadline, _ := ctx.Deadline()
	if err := s.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set stream deadline: %w", err)
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

// Exchange sends this host's state to the peer at addr and merges the state that it receives.
func (m *Mesh) Exchange(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := m.dial(ctx, addr)
	if err != nil {
		return fmt.Errorf("connect to peer %s: %w", addr, err)
	}
	if err := m.exchange(ctx, conn); err != nil {
		// The network path may have dropped the state of an idle connection, so the next exchange dials a new one.
		m.dropConn(addr, conn)
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
		return fmt.Errorf("set stream deadline: %w", err)
	}
	if err := m.send(s, m.state.Digest()); err != nil {
		return fmt.Errorf("send digest: %w", err)
	}
	remote, err := m.receive(m.decoder(s))
	if err != nil {
		return fmt.Errorf("receive digest: %w", err)
	}
	more, needed, err := m.state.AttachDocuments(Message{
		From: m.state.Registry.Self(),
	}, remote)
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
	transport := m.transport
	m.mu.Unlock()
	if ok && conn.Context().Err() == nil {
		return conn, nil
	}
	if transport == nil {
		return nil, net.ErrClosed
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve peer: %w", err)
	}
	conn, err = transport.Dial(ctx, udp, m.certs.Client(), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[addr] = conn
	return conn, nil
}

func (m *Mesh) dropConn(addr string, conn *quic.Conn) {
	m.mu.Lock()
	if m.conns[addr] == conn {
		delete(m.conns, addr)
	}
	m.mu.Unlock()
	// The connection is unused from here on, so an error from closing it has no effect.
	_ = conn.CloseWithError(0, "exchange failed")
}

func (m *Mesh) decoder(r io.Reader) *cbor.Decoder {
	return cbor.NewDecoder(&countingReader{
		r:     io.LimitReader(r, maxMessageBytes),
		total: &m.Received,
	})
}

func (m *Mesh) receive(dec *cbor.Decoder) (Message, error) {
	var msg Message
	if err := dec.Decode(&msg); err != nil {
		return Message{}, fmt.Errorf("decode message: %w", err)
	}
	if err := m.state.Apply(msg); err != nil {
		return Message{}, fmt.Errorf("apply message: %w", err)
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

// countingReader adds the number of bytes read to total.
type countingReader struct {
	r     io.Reader
	total *atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.total.Add(int64(n))
	return n, err
}
