package peers

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/cornelwing/cornelwing/internal/certs"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
)

// streamEnd is a way in which a peer ends a stream in the middle of a message.
type streamEnd struct {
	name string
	end  func(conn *quic.Conn, s *quic.Stream)
	// delivers reports that what was sent before the end arrives.
	delivers bool
}

var streamEnds = []streamEnd{
	{name: "ends its stream in order", end: func(_ *quic.Conn, s *quic.Stream) { _ = s.Close() }, delivers: true},
	{name: "resets its stream", end: func(_ *quic.Conn, s *quic.Stream) { s.CancelWrite(1) }},
	{name: "closes its connection", end: func(conn *quic.Conn, _ *quic.Stream) { _ = conn.CloseWithError(0, "") }},
}

// scriptedPeer is a peer that answers each stream with the first bytes of a message, and then ends it.
type scriptedPeer struct {
	ln   *quic.Listener
	data atomic.Pointer[[]byte]
	end  streamEnd
}

// startScriptedPeer starts a peer whose certificate the authority has issued.
func startScriptedPeer(t *testing.T, a *certs.Authority, end streamEnd) *scriptedPeer {
	t.Helper()
	pair, err := a.Issue("two")
	if err != nil {
		t.Fatal(err)
	}
	source, err := certs.NewStaticSource(a.PEM(), pair, ALPN)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := quic.ListenAddr("127.0.0.1:0", source.Server(), quicConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	p := &scriptedPeer{
		ln:  ln,
		end: end,
	}
	go p.serve(t.Context())
	return p
}

func (p *scriptedPeer) serve(ctx context.Context) {
	for {
		conn, err := p.ln.Accept(ctx)
		if err != nil {
			return
		}
		go func() {
			for {
				s, err := conn.AcceptStream(ctx)
				if err != nil {
					return
				}
				var received Message
				_ = cbor.NewDecoder(s).Decode(&received)
				_, _ = s.Write(*p.data.Load())
				p.end.end(conn, s)
			}
		}()
	}
}

// answerWith sets what the peer sends.
func (p *scriptedPeer) answerWith(data []byte) {
	p.data.Store(&data)
}

// encode returns the message as it is sent.
func encode(t *testing.T, m Message) []byte {
	t.Helper()
	data, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a part of a message taken for the whole, and against the end of a peer taken for an answer (class of incident ORDER).
func TestMessageIsAppliedOnlyIfItIsWholeWhereverPeerEnds(t *testing.T) {
	for _, end := range streamEnds {
		t.Run(end.name, func(t *testing.T) {
			t.Parallel()
			a := newAuthority(t)
			host, _ := startMesh(t, "one", a)
			other, _ := startMesh(t, "three", a)
			p := startScriptedPeer(t, a, end)
			whole := encode(t, other.state.Digest())
			for sent := range len(whole) {
				p.answerWith(whole[:sent])
				if err := host.Exchange(t.Context(), p.ln.Addr().String()); err == nil {
					t.Fatalf("after %d of %d bytes the exchange succeeded", sent, len(whole))
				}
				if n := len(host.state.Registry.Live(time.Now())); n != 1 {
					t.Fatalf("after %d of %d bytes %d hosts are known", sent, len(whole), n)
				}
			}
			p.answerWith(whole)
			if err := host.Exchange(t.Context(), p.ln.Addr().String()); end.delivers && err != nil {
				t.Fatalf("the whole message was not accepted: %v", err)
			}
		})
	}
}

// Guards against claims that count as written, or as surely not written, because the host that commits them ended.
func TestForwardedWritesAreUnknownWhereverPeerEnds(t *testing.T) {
	writes := []claim.Write{{
		Cond: plat.Cond{Table: "claims", Key: "a"},
		Put:  plat.Put{Table: "claims", Key: "a", Value: []byte(`{}`)},
	}}
	for _, end := range streamEnds {
		t.Run(end.name, func(t *testing.T) {
			t.Parallel()
			a := newAuthority(t)
			host, _ := startMesh(t, "one", a)
			other, _ := startMesh(t, "three", a)
			p := startScriptedPeer(t, a, end)
			whole := encode(t, Message{
				From:    other.state.Registry.Self(),
				Results: []claim.Result{claim.Written},
			})
			for sent := range len(whole) + 1 {
				p.answerWith(whole[:sent])
				results, mayHaveArrived, err := host.Write(t.Context(), p.ln.Addr().String(), writes)
				if !mayHaveArrived {
					t.Fatalf("after %d of %d bytes the writes count as not sent: %v", sent, len(whole), err)
				}
				if err == nil && (sent < len(whole) || len(results) != 1 || results[0] != claim.Written) {
					t.Fatalf("after %d of %d bytes the results are %v", sent, len(whole), results)
				}
			}
		})
	}
}

// Guards against a message of which a peer that ended had sent a part, such as a digest without its last marks.
func TestPartOfMessageThatPeerBeginsIsNotApplied(t *testing.T) {
	for _, end := range streamEnds {
		t.Run(end.name, func(t *testing.T) {
			t.Parallel()
			a := newAuthority(t)
			host, _ := startMesh(t, "one", a)
			other, _ := startMesh(t, "three", a)
			whole := encode(t, other.state.Digest())
			for sent := range len(whole) {
				if err := sendPart(t.Context(), other, host.Addr(), whole[:sent], end); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(50 * time.Millisecond)
			if n := len(host.state.Registry.Live(time.Now())); n != 1 {
				t.Fatalf("%d hosts are known after parts of a message", n)
			}
			if !end.delivers {
				return
			}
			if err := sendPart(t.Context(), other, host.Addr(), whole, end); err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(5 * time.Second); len(host.state.Registry.Live(time.Now())) != 2; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the whole message was not applied within 5 s")
				}
			}
		})
	}
}

// sendPart sends a part of a message from the mesh to the address, and ends the stream.
func sendPart(ctx context.Context, from *Mesh, addr string, part []byte, end streamEnd) error {
	conn, err := from.dial(ctx, addr)
	if err != nil {
		return err
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return fmt.Errorf("open stream: %w", err)
	}
	if _, err := s.Write(part); err != nil {
		return fmt.Errorf("write part: %w", err)
	}
	end.end(conn, s)
	// The stream is to be read before the next one is opened, or it would count against the limit of streams.
	s.CancelRead(0)
	return nil
}
