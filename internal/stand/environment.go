package stand

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
	"github.com/cornelwing/cornelwing/internal/stand/runner"
	"github.com/cornelwing/cornelwing/internal/stand/table"
)

// PlatformName is the name of the platform's endpoint.
const PlatformName = "platform"

// Environment is a set of running stand-ins.
type Environment struct {
	Platform  *table.Server
	RunLog    *runner.RunLog
	Upstreams []*runner.Server

	endpoints []*Endpoint

	mu    sync.Mutex
	hosts []plat.Host
}

// NewEnvironment returns the stand-ins of the settings, not yet listening.
func NewEnvironment(s Settings) *Environment {
	w := &Environment{
		RunLog: runner.NewRunLog(),
		hosts:  s.entryHosts(),
	}
	if s.Platform != nil {
		faults := fault.New(s.Seed)
		w.Platform = table.New(faults, table.WithRates(s.Platform.Writes, s.Platform.Reads))
		w.endpoints = append(w.endpoints, newEndpoint(PlatformName, s.Platform.Addr, faults, w.Platform.Handler()))
	}
	for _, g := range s.Groups {
		w.addGroup(s.Seed, g)
	}
	return w
}

func (w *Environment) addGroup(seed uint64, g Group) {
	for i := range g.Count {
		port := 0
		if g.Port > 0 {
			port = g.Port + i
		}
		name := fmt.Sprintf("%s-%s-%d", g.Pool, g.Domain, i)
		faults := fault.New(seed + uint64(len(w.endpoints)))
		up := runner.New(runner.Spec{
			Name:    name,
			Service: g.Service.D(),
			Token:   g.Token.D(),
			Tokens:  g.Tokens,
			Slots:   g.Slots,
		}, faults, w.RunLog)
		up.SetEngine(runner.Engine{
			ChecksFencing: g.ChecksFencing,
			LoadTime:      g.LoadTime.D(),
		})
		addr := net.JoinHostPort(g.Host, strconv.Itoa(port))
		w.Upstreams = append(w.Upstreams, up)
		w.endpoints = append(w.endpoints, newEndpoint(name, addr, faults, up.Handler()))
		w.hosts = append(w.hosts, plat.Host{
			Name:   name,
			Addr:   addr,
			Domain: g.Domain,
			Role:   plat.RoleUpstream,
			Pool:   g.Pool,
		})
	}
}

// Start opens every endpoint and publishes the host list.
func (w *Environment) Start() error {
	for _, e := range w.endpoints {
		if err := e.open(); err != nil {
			w.Close()
			return fmt.Errorf("start stand-ins: %w", err)
		}
	}
	for i, h := range w.hosts {
		if e := w.Endpoint(h.Name); e != nil {
			w.hosts[i].Addr = e.Addr()
		}
	}
	w.publish()
	return nil
}

// Close takes every endpoint down.
func (w *Environment) Close() {
	for _, e := range w.endpoints {
		// Closing a listener twice is harmless, and nothing depends on it here.
		_ = e.Close()
	}
}

// Endpoint returns the endpoint of that name, or nil.
func (w *Environment) Endpoint(name string) *Endpoint {
	i := slices.IndexFunc(w.endpoints, func(e *Endpoint) bool { return e.Name == name })
	if i < 0 {
		return nil
	}
	return w.endpoints[i]
}

// Upstream returns the upstream of that name, or nil.
func (w *Environment) Upstream(name string) *runner.Server {
	i := slices.IndexFunc(w.Upstreams, func(u *runner.Server) bool { return u.Spec.Name == name })
	if i < 0 {
		return nil
	}
	return w.Upstreams[i]
}

// Hosts returns the listed hosts.
func (w *Environment) Hosts() []plat.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts)
}

// AddHost lists another host, or replaces the one of its name.
func (w *Environment) AddHost(h plat.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.hosts, func(o plat.Host) bool { return o.Name == h.Name })
	if i < 0 {
		w.hosts = append(w.hosts, h)
	} else {
		w.hosts[i] = h
	}
	w.publish()
}

func (w *Environment) publish() {
	if w.Platform != nil {
		w.Platform.SetHosts(slices.Clone(w.hosts))
	}
}
