package links

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/intact"
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// directTimeout bounds the time for connecting to an upstream without another host.
	directTimeout = 250 * time.Millisecond
	// directPatience is how long a connection without another host may take, while the host may be cut, until one through another host is opened as well.
	directPatience = 30 * time.Millisecond
	// probePatience is the same for a probe of an upstream that may have crashed.
	probePatience = 50 * time.Millisecond
)

// Errors of connections that this host opens for another one.
var (
	// ErrUnknownUpstream is returned for an upstream that this host does not know, or that is closed.
	ErrUnknownUpstream = errors.New("upstream is not known")
	// ErrNoLink is returned if this host reaches no upstream of the pool by itself, or just now through no other host.
	ErrNoLink = errors.New("no link to the upstream")
	// ErrUnfinished is returned if the time for finding a host with a link ended before enough hosts were tried.
	ErrUnfinished = errors.New("search for a host with a link did not finish")
)

// Relay opens connections through other hosts.
type Relay interface {
	// Open connects to the upstream with the name through another host. It returns ErrUnfinished if its time ended too early to tell that no host can.
	Open(ctx context.Context, upstream string) (net.Conn, error)
}

// Dialer opens connections to upstreams. If the host reaches no upstream of a pool, it connects through another host.
type Dialer struct {
	common.Deps
	direct func(ctx context.Context, network, addr string) (net.Conn, error)
	relay  Relay
	// relayed counts the connections through other hosts.
	relayed atomic.Int64

	mu       sync.Mutex
	byAddr   map[string]route.Upstream
	byName   map[string]route.Upstream
	evidence evidence
}

// NewDialer returns a dialer that knows no upstreams yet and no other hosts.
func NewDialer(deps common.Deps) *Dialer {
	return &Dialer{
		Deps:     deps.WithPart("links"),
		direct:   send.Dialer(directTimeout).DialContext,
		evidence: evidence{},
	}
}

// UseRelay sets what opens connections through other hosts. It must be called before the dialer is used.
func (d *Dialer) UseRelay(r Relay) {
	d.relay = r
}

// Relayed returns how many connections were opened through other hosts.
func (d *Dialer) Relayed() int64 {
	return d.relayed.Load()
}

// CutPools returns how many pools the host may be cut from.
func (d *Dialer) CutPools() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for name := range d.evidence {
		if d.evidence.cut(name) {
			n++
		}
	}
	return n
}

// Sync replaces the upstreams.
func (d *Dialer) Sync(ups []route.Upstream) {
	byAddr := make(map[string]route.Upstream, len(ups))
	byName := make(map[string]route.Upstream, len(ups))
	for _, u := range ups {
		byName[u.Name] = u
		// The address of an upstream that leaves may have been given to another one.
		if other, ok := byAddr[u.Addr]; !ok || other.Leaving {
			byAddr[u.Addr] = u
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byAddr = byAddr
	d.byName = byName
	d.evidence.sync(ups)
}

// DialContext connects to the upstream with the address. The reset of the connection is never read as its end.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return intact.NewConn(c), nil
}

func (d *Dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	up, known := d.upstreamAt(addr)
	if !known || d.relay == nil {
		return d.dialDirect(ctx, network, addr)
	}
	if !d.mayBeCut(up.Pool) {
		c, err := d.dialAndRecord(ctx, up)
		if err == nil || !d.mayBeCut(up.Pool) || ctx.Err() != nil {
			return c, err
		}
		return d.dialRelayed(ctx, up)
	}
	if d.justFailed(up) {
		return d.dialRelayed(ctx, up)
	}
	c, way, err := Race(ctx, directPatience, []Try{
		func(ctx context.Context) (net.Conn, error) { return d.dialAndRecord(ctx, up) },
		func(ctx context.Context) (net.Conn, error) { return d.dialRelayed(ctx, up) },
	})
	if err == nil && way > 0 {
		d.record(up, false)
	}
	return c, err
}

// localErrors are the errors of a host that can open no connection to any address.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// Reaches reports whether a connection to the address can be opened, by this host or another one, or may be, as this host can open none at all.
func (d *Dialer) Reaches(ctx context.Context, addr string) bool {
	c, _, err := Race(ctx, probePatience, []Try{
		func(ctx context.Context) (net.Conn, error) { return d.dialDirect(ctx, "tcp", addr) },
		func(ctx context.Context) (net.Conn, error) { return d.dialKnownRelayed(ctx, addr) },
	})
	if err != nil {
		return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
	}
	// Nothing was sent over the connection, so an error of Close doesn't matter.
	_ = c.Close()
	return true
}

// DialProbe connects to the address by this host, or by another one if that takes long. A refused connection decides unless this host may be cut from the pool, as a process may start again at the address while others are asked.
func (d *Dialer) DialProbe(ctx context.Context, network, addr string) (net.Conn, error) {
	var refused atomic.Bool
	c, _, err := Race(ctx, probePatience, []Try{
		func(ctx context.Context) (net.Conn, error) {
			c, err := d.dialDirect(ctx, network, addr)
			refused.Store(errors.Is(err, syscall.ECONNREFUSED))
			return c, err
		},
		func(ctx context.Context) (net.Conn, error) {
			if up, _ := d.upstreamAt(addr); refused.Load() && !d.mayBeCut(up.Pool) {
				return nil, ErrNoLink
			}
			return d.dialKnownRelayed(ctx, addr)
		},
	})
	return c, err
}

// dialKnownRelayed connects to the address through another host if it is that of an upstream.
func (d *Dialer) dialKnownRelayed(ctx context.Context, addr string) (net.Conn, error) {
	up, known := d.upstreamAt(addr)
	if !known || d.relay == nil {
		return nil, ErrUnknownUpstream
	}
	return d.dialRelayed(ctx, up)
}

// DialForPeer connects to an upstream for another host that does not reach it. It never goes through a third host. The reset of the connection is never read as its end.
func (d *Dialer) DialForPeer(ctx context.Context, name string) (net.Conn, error) {
	d.mu.Lock()
	up, known := d.byName[name]
	d.mu.Unlock()
	if !known || up.Closed() {
		return nil, ErrUnknownUpstream
	}
	if d.justFailed(up) {
		return nil, ErrNoLink
	}
	c, err := d.dialAndRecord(ctx, up)
	if err != nil {
		return nil, err
	}
	return intact.NewConn(c), nil
}

func (d *Dialer) dialDirect(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.direct(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return c, nil
}

// dialAndRecord connects without another host, and records what that shows.
func (d *Dialer) dialAndRecord(ctx context.Context, up route.Upstream) (net.Conn, error) {
	c, err := d.dialDirect(ctx, "tcp", up.Addr)
	if err == nil || ctx.Err() == nil {
		d.record(up, err == nil)
	}
	return c, err
}

// dialRelayed connects through another host, unless none could do so just now.
func (d *Dialer) dialRelayed(ctx context.Context, up route.Upstream) (net.Conn, error) {
	if d.relayJustFailed(up.Pool) {
		return nil, ErrNoLink
	}
	c, err := d.relay.Open(ctx, up.Name)
	// An unfinished search, or one among the hosts of some regions, does not show that no host has a link.
	if err == nil || ctx.Err() == nil && !errors.Is(err, ErrUnfinished) && !place.RegionsOf(ctx).Bound() {
		d.recordRelay(up.Pool, err == nil)
	}
	if err != nil {
		return nil, fmt.Errorf("connect through another host: %w", err)
	}
	d.relayed.Add(1)
	return c, nil
}

func (d *Dialer) upstreamAt(addr string) (route.Upstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	up, ok := d.byAddr[addr]
	return up, ok
}

func (d *Dialer) mayBeCut(pool string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evidence.cut(pool)
}

func (d *Dialer) justFailed(up route.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evidence.justFailed(d.Now(), up)
}

func (d *Dialer) relayJustFailed(pool string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.evidence.pool(pool).relayFailedAt
	return !at.IsZero() && d.Now().Sub(at) < relayRetry
}

func (d *Dialer) recordRelay(pool string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.evidence.pool(pool)
	p.relayFailedAt = time.Time{}
	if !ok {
		p.relayFailedAt = d.Now()
	}
}

func (d *Dialer) record(up route.Upstream, ok bool) {
	d.mu.Lock()
	before, after := d.evidence.record(d.Now(), up, ok)
	d.mu.Unlock()
	switch {
	case after && !before:
		d.Log.WithField("pool", up.Pool).Warn("Connections to several upstreams of the pool failed. Connecting through other hosts.")
	case before && !after:
		d.Log.WithField("pool", up.Pool).Info("Upstreams of the pool can be reached again.")
	}
}
