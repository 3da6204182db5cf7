package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/cornelwing/cornelwing/internal/certs"
	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/opapi"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root"
	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/internal/root/peers"
	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const readyTimeout = 10 * time.Second

// ErrNotReady is returned if a daemon does not become ready within readyTimeout.
var ErrNotReady = errors.New("daemon did not become ready in time")

// Fleet is a set of daemons that run in this process, with the stand-ins for their platform and upstreams.
type Fleet struct {
	Environment *stand.Environment

	authority *certs.Authority
	logOutput io.Writer
	logLevel  logrus.Level

	mu      sync.Mutex
	daemons []*Daemon
}

// Daemon is a running daemon of a Fleet.
type Daemon struct {
	*root.Root
	Name   string
	Domain string
	stop   context.CancelFunc
	done   chan error
}

// NewFleet starts the stand-ins. Daemons that are started later log to w.
func NewFleet(s stand.Settings, w io.Writer, logLevel logrus.Level) (*Fleet, error) {
	authority, err := certs.NewAuthority()
	if err != nil {
		return nil, fmt.Errorf("create certificate authority: %w", err)
	}
	env := stand.NewEnvironment(s)
	if err := env.Start(); err != nil {
		return nil, fmt.Errorf("start stand-ins: %w", err)
	}
	return &Fleet{
		Environment: env,
		authority:   authority,
		logOutput:   w,
		logLevel:    logLevel,
	}, nil
}

// Platform returns the base URL of the platform.
func (f *Fleet) Platform() string {
	return "http://" + f.Environment.Endpoint(stand.PlatformName).Addr()
}

// Start starts a daemon and adds it to the platform's list of hosts.
func (f *Fleet) Start(name, domain string) (*Daemon, error) {
	d, err := f.StartUnlisted(name, domain, f.Platform())
	if err != nil {
		return nil, fmt.Errorf("start daemon: %w", err)
	}
	f.Environment.AddHost(plat.Host{
		Name:   name,
		Addr:   d.PeersAddr(),
		Domain: domain,
		Role:   plat.RoleEntry,
	})
	return d, nil
}

// StartUnlisted starts a daemon that reaches the platform at the given base URL. It does not add the daemon to the platform's list of hosts.
func (f *Fleet) StartUnlisted(name, domain, platform string) (*Daemon, error) {
	pair, err := f.authority.Issue(name)
	if err != nil {
		return nil, fmt.Errorf("issue certificate: %w", err)
	}
	source, err := certs.NewStaticSource(f.authority.PEM(), pair, peers.ALPN)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	deps := common.NewDeps(name, domain, f.logOutput, f.logLevel)
	r, err := root.New(deps, daemonSettings(name, domain, platform, f.Seeds()), root.WithCerts(source))
	if err != nil {
		return nil, fmt.Errorf("create daemon: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{
		Root:   r,
		Name:   name,
		Domain: domain,
		stop:   stop,
		done:   make(chan error, 1),
	}
	up := make(chan struct{})
	go func() { d.done <- r.Run(ctx, func() { close(up) }) }()
	select {
	case <-up:
	case <-time.After(readyTimeout):
		stop()
		return nil, fmt.Errorf("start %s: %w", name, ErrNotReady)
	}
	f.mu.Lock()
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	return d, nil
}

// Stop removes a daemon from the fleet, stops it gracefully and returns once its requests in flight have ended.
func (f *Fleet) Stop(d *Daemon) error {
	f.mu.Lock()
	f.daemons = slices.DeleteFunc(f.daemons, func(o *Daemon) bool { return o == d })
	f.mu.Unlock()
	d.stop()
	if err := <-d.done; err != nil {
		return fmt.Errorf("stop %s: %w", d.Name, err)
	}
	return nil
}

// Daemons returns the running daemons in the order of their starts.
func (f *Fleet) Daemons() []*Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.daemons)
}

// Seeds returns the peer addresses of the running daemons.
func (f *Fleet) Seeds() []string {
	var out []string
	for _, d := range f.Daemons() {
		out = append(out, d.PeersAddr())
	}
	return out
}

// Callers returns the base URLs for callers of the running daemons.
func (f *Fleet) Callers() []string {
	var out []string
	for _, d := range f.Daemons() {
		out = append(out, "http://"+d.Callers())
	}
	return out
}

// Apply submits the document to the first daemon, as a change that is based on revision base. It returns once the change is accepted.
func (f *Fleet) Apply(ctx context.Context, base int64, doc config.Document) error {
	text, err := doc.Encode()
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	api := opapi.New("http://"+f.Daemons()[0].OperatorsAddr(), OperatorToken)
	if _, err := api.Apply(ctx, admin.Change{
		ChangeID: fmt.Sprintf("demo-%d", base),
		Base:     base,
		Document: string(text),
	}); err != nil {
		return fmt.Errorf("apply document: %w", err)
	}
	return nil
}

// WaitReady waits until every daemon is ready. It returns ErrNotReady after readyTimeout.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range f.Daemons() {
		for !d.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for %s: %w", d.Name, ErrNotReady)
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close stops all daemons, then the stand-ins.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, d := range f.Daemons() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The error is ignored: the whole fleet is being discarded.
			_ = f.Stop(d)
		}()
	}
	wg.Wait()
	f.Environment.Close()
}
