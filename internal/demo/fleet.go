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

// ErrNotReady says that a daemon did not come up.
var ErrNotReady = errors.New("daemon is not ready in time")

// Fleet is a set of daemons and the stand-ins that they serve.
type Fleet struct {
	Environment *stand.Environment

	authority *certs.Authority
	log       io.Writer
	level     logrus.Level

	mu      sync.Mutex
	daemons []*Daemon
}

// Daemon is one running daemon.
type Daemon struct {
	*root.Root
	Name   string
	Domain string
	stop   context.CancelFunc
	done   chan error
}

// NewFleet starts the stand-ins; daemons log to w.
func NewFleet(s stand.Settings, w io.Writer, level logrus.Level) (*Fleet, error) {
	authority, err := certs.NewAuthority()
	if err != nil {
		return nil, fmt.Errorf("make certificates: %w", err)
	}
	env := stand.NewEnvironment(s)
	if err := env.Start(); err != nil {
		return nil, fmt.Errorf("start stand-ins: %w", err)
	}
	return &Fleet{
		Environment: env,
		authority:   authority,
		log:         w,
		level:       level,
	}, nil
}

// Platform returns the base URL of the platform.
func (f *Fleet) Platform() string {
	return "http://" + f.Environment.Endpoint(stand.PlatformName).Addr()
}

// Start starts a daemon and lists it.
func (f *Fleet) Start(name, domain string) (*Daemon, error) {
	d, err := f.StartAt(name, domain, f.Platform())
	if err != nil {
		return nil, fmt.Errorf("start daemon: %w", err)
	}
	f.Environment.AddHost(plat.Host{
		Name:   name,
		Addr:   d.Peers(),
		Domain: domain,
		Role:   plat.RoleEntry,
	})
	return d, nil
}

// StartAt starts a daemon that looks for the platform at the base URL, and does not list it.
func (f *Fleet) StartAt(name, domain, platform string) (*Daemon, error) {
	pair, err := f.authority.Issue(name)
	if err != nil {
		return nil, fmt.Errorf("issue certificate: %w", err)
	}
	source, err := certs.NewStatic(f.authority.PEM(), pair, peers.ALPN)
	if err != nil {
		return nil, fmt.Errorf("take certificate: %w", err)
	}
	deps := common.NewDeps(name, domain, f.log, f.level)
	r, err := root.New(deps, daemonSettings(name, domain, platform, f.Seeds()), root.WithCerts(source))
	if err != nil {
		return nil, fmt.Errorf("make daemon: %w", err)
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

// Stop asks a daemon to stop and waits until every request in flight has ended.
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

// Daemons returns those that run.
func (f *Fleet) Daemons() []*Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.daemons)
}

// Seeds returns the peer addresses of those that run.
func (f *Fleet) Seeds() []string {
	var out []string
	for _, d := range f.Daemons() {
		out = append(out, d.Peers())
	}
	return out
}

// Callers returns the base URLs for callers.
func (f *Fleet) Callers() []string {
	var out []string
	for _, d := range f.Daemons() {
		out = append(out, "http://"+d.Callers())
	}
	return out
}

// Apply puts a document in force through the first daemon.
func (f *Fleet) Apply(ctx context.Context, base int64, doc config.Document) error {
	text, err := doc.Encode()
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	api := opapi.New("http://"+f.Daemons()[0].Operators(), OperatorToken)
	if _, err := api.Apply(ctx, admin.Change{
		ChangeID: fmt.Sprintf("demo-%d", base),
		Base:     base,
		Document: string(text),
	}); err != nil {
		return fmt.Errorf("apply document: %w", err)
	}
	return nil
}

// WaitReady waits until every daemon can serve.
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

// Close stops everything.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, d := range f.Daemons() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The fleet is going away, whatever a daemon says of its stop.
			_ = f.Stop(d)
		}()
	}
	wg.Wait()
	f.Environment.Close()
}
