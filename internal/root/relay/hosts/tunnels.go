package hosts

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/links"
)

const (
	// tunnelTries is how many hosts are tried for one connection, and tunnelPatience how long each may take until the next one is tried as well.
	tunnelTries    = 8
	tunnelPatience = 60 * time.Millisecond
	// tunnelTimeout bounds the time for opening a tunnel.
	tunnelTimeout = 600 * time.Millisecond
	// peerMemory is how long a host is preferred that opened a connection, or avoided that could not.
	peerMemory = 10 * time.Second
	// preferredPeers is how many preferred hosts share the connections of this host. As long as there are fewer, others are tried.
	preferredPeers = 3
	// maxTunnels bounds the tunnels that this host keeps open for others, as each takes memory and two descriptors.
	maxTunnels = 512
	// tunnelBufferBytes is the size of the buffer of each tunnel for the bytes of the upstream.
	tunnelBufferBytes = 8 << 10
)

// pathTunnel is the path of tunnels, and upstreamParam the parameter with the name of the upstream.
const (
	pathTunnel    = "/tunnel"
	upstreamParam = "upstream"
)

// Tunnels carries connections to upstreams for hosts that do not reach them. A tunnel is one HTTP/2 stream between two hosts, whose end or reset stands for that of the connection.
type Tunnels struct {
	common.Deps
	peers  *Peers
	dialer *links.Dialer
	open   atomic.Int64

	mu sync.Mutex
	// preferred and avoided hold until when each host is, by name.
	preferred map[string]time.Time
	avoided   map[string]time.Time
}

// NewTunnels returns the tunnels through other hosts, for the dialer, and for other hosts through the dialer. It must be called before peers runs.
func NewTunnels(deps common.Deps, peers *Peers, dialer *links.Dialer) *Tunnels {
	t := &Tunnels{
		Deps:      deps.WithPart("tunnels"),
		peers:     peers,
		dialer:    dialer,
		preferred: map[string]time.Time{},
		avoided:   map[string]time.Time{},
	}
	peers.services = append(peers.services, t)
	dialer.UseRelay(t)
	return t
}

// OpenCount returns how many tunnels this host keeps open for others.
func (t *Tunnels) OpenCount() int64 {
	return t.open.Load()
}

func (t *Tunnels) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathTunnel, t.serve)
}

// Open connects to the upstream with the name through another host, in a region that the request to which ctx belongs may use. It returns links.ErrUnfinished if other hosts answered, but the time was too short to find one that has a link.
func (t *Tunnels) Open(ctx context.Context, upstream string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	search := newTunnelSearch(t.peers.mayReceive(t.candidates(), place.RegionsOf(ctx)))
	ways := make([]links.Try, min(tunnelTries, len(search.untried)))
	for i := range ways {
		ways[i] = func(ctx context.Context) (net.Conn, error) { return t.openThroughNext(ctx, search, upstream) }
	}
	c, _, err := links.Race(ctx, tunnelPatience, ways)
	if err != nil && ctx.Err() != nil && search.refusals() > 0 {
		return nil, fmt.Errorf("open tunnel: %w: %w", links.ErrUnfinished, err)
	}
	if err != nil {
		return nil, fmt.Errorf("open tunnel: %w", err)
	}
	return c, nil
}

// openThroughNext opens a tunnel through the next host of the search. If that host has no link, the hosts that it names go next.
func (t *Tunnels) openThroughNext(ctx context.Context, search *tunnelSearch, upstream string) (net.Conn, error) {
	h, ok := search.next()
	if !ok {
		return nil, errNoCandidate
	}
	c, err := t.openThrough(ctx, h, upstream)
	var noLink *noLinkError
	if errors.As(err, &noLink) {
		search.recordRefusal(noLink.linked)
	}
	return c, err
}

// candidates returns the hosts to try, in random order but for what is known of them. One that worked goes first, then one of the own failure domain and those of others, as a whole domain may be without links.
func (t *Tunnels) candidates() []Host {
	live := t.peers.roster.LiveOthers()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	now := t.Now()
	var preferred, local, remote, avoided []Host
	t.mu.Lock()
	for _, h := range live {
		switch {
		case now.Before(t.avoided[h.Name]):
			avoided = append(avoided, h)
		case now.Before(t.preferred[h.Name]):
			preferred = append(preferred, h)
		case h.Domain == t.Domain && len(local) == 0:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	t.mu.Unlock()
	untried := append(local, remote...)
	out := append(preferred, untried...)
	if len(preferred) < preferredPeers && rand.IntN(2) == 0 {
		out = append(untried, preferred...)
	}
	return append(out, avoided...)
}

// linkedHosts returns the names of hosts that have opened connections for this host lately.
func (t *Tunnels) linkedHosts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var out []string
	for name, until := range t.preferred {
		if now.Before(until) && len(out) < maxLinkedHosts {
			out = append(out, name)
		}
	}
	return out
}

// remember records whether the host could connect to an upstream.
func (t *Tunnels) remember(h Host, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.Now().Add(peerMemory)
	if ok {
		t.preferred[h.Name] = until
		delete(t.avoided, h.Name)
		return
	}
	t.avoided[h.Name] = until
	delete(t.preferred, h.Name)
}

// openThrough opens a tunnel through one host. The context bounds only the time until it is open.
func (t *Tunnels) openThrough(ctx context.Context, h Host, upstream string) (net.Conn, error) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, end)
	body, w := io.Pipe()
	target := "http://" + h.Addr + pathTunnel + "?" + url.Values{upstreamParam: {upstream}}.Encode()
	req, err := http.NewRequestWithContext(life, http.MethodPost, target, body)
	if err != nil {
		end()
		return nil, fmt.Errorf("make request: %w", err)
	}
	resp, err := t.peers.streams.RoundTrip(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = refusalOf(resp)
	}
	if err != nil {
		end()
		if ctx.Err() == nil {
			t.remember(h, false)
		}
		return nil, fmt.Errorf("host %s: %w", h.Name, err)
	}
	if !stop() {
		end()
		return nil, fmt.Errorf("host %s: %w", h.Name, ctx.Err())
	}
	t.remember(h, true)
	return &tunnelConn{
		ReadCloser: resp.Body,
		w:          w,
		end:        end,
		addr:       tunnelAddr(h.Name + "/" + upstream),
	}, nil
}

// serve connects to an upstream for another host, and passes bytes on until one side ends.
func (t *Tunnels) serve(w http.ResponseWriter, r *http.Request) {
	defer t.open.Add(-1)
	if t.open.Add(1) > maxTunnels {
		http.Error(w, "too many tunnels", http.StatusServiceUnavailable)
		return
	}
	conn, err := t.dialer.DialForPeer(r.Context(), r.URL.Query().Get(upstreamParam))
	if err != nil {
		t.refuse(w, err)
		return
	}
	defer conn.Close()
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	go func() {
		// However the other host ends its side, the connection is of no more use.
		_, _ = io.Copy(conn, r.Body)
		_ = conn.Close()
	}()
	if err := copyAsItComes(w, conn); err != nil {
		// The reset of the stream tells the other host that the connection did not end in order.
		panic(http.ErrAbortHandler)
	}
}

// copyAsItComes copies until the end, and sends on each part at once.
func copyAsItComes(w http.ResponseWriter, from io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, tunnelBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return fmt.Errorf("write to other host: %w", err)
			}
			if err := rc.Flush(); err != nil {
				return fmt.Errorf("flush to other host: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read from upstream: %w", err)
		}
	}
}

// tunnelAddr names the two hosts of a tunnel.
type tunnelAddr string

// Network returns the kind of the address.
func (a tunnelAddr) Network() string { return "tunnel" }

// String returns the name of the host that carries the tunnel and that of the upstream.
func (a tunnelAddr) String() string { return string(a) }

// tunnelConn is a connection to an upstream through another host. It has no deadlines.
type tunnelConn struct {
	io.ReadCloser
	w    *io.PipeWriter
	end  context.CancelFunc
	addr tunnelAddr
}

// Write sends bytes to the upstream.
func (c *tunnelConn) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		return n, fmt.Errorf("write to tunnel: %w", err)
	}
	return n, nil
}

// Close ends the tunnel and with it the connection to the upstream.
func (c *tunnelConn) Close() error {
	c.end()
	// Close of a pipe always returns nil.
	_ = c.w.Close()
	if err := c.ReadCloser.Close(); err != nil {
		return fmt.Errorf("close tunnel: %w", err)
	}
	return nil
}

// LocalAddr returns the address of the tunnel.
func (c *tunnelConn) LocalAddr() net.Addr { return c.addr }

// RemoteAddr returns the address of the tunnel.
func (c *tunnelConn) RemoteAddr() net.Addr { return c.addr }

// SetDeadline returns os.ErrNoDeadline.
func (c *tunnelConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline returns os.ErrNoDeadline.
func (c *tunnelConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline returns os.ErrNoDeadline.
func (c *tunnelConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
