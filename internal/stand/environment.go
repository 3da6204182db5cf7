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

// PlatformName is the name of the endpoint that stands in for the platform.
const PlatformName = "platform"

// Environment is a set of stand-ins: at most one platform and any number of upstreams.
type Environment struct {
	Platform  *table.Server
	RunLog    *runner.RunLog
	Upstreams []*runner.Server

	endpoints []*Endpoint

	mu    sync.Mutex
	hosts []plat.Host
}

// NewEnvironment returns the stand-ins that the settings describe. They listen after Start.
func NewEnvironment(s Settings) *Environment {
	env := &Environment{
		RunLog: runner.NewRunLog(),
		hosts:  s.entryHosts(),
	}
	if s.Platform != nil {
		faults := fault.New(s.Seed)
		env.Platform = table.New(faults, table.WithRates(s.Platform.Writes, s.Platform.Reads))
		env.endpoints = append(env.endpoints, newEndpoint(PlatformName, s.Platform.Addr, faults, env.Platform.Handler()))
	}
	for _, g := range s.Groups {
		env.addGroup(s.Seed, g)
	}
	return env
}

func (env *Environment) addGroup(seed uint64, g Group) {
	for i := range g.Count {
		port := 0
		if g.Port > 0 {
			port = g.Port + i
		}
		name := fmt.Sprintf("%s-%s-%d", g.Pool, g.Domain, i)
		faults := fault.New(seed + uint64(len(env.endpoints)))
		upstream := runner.New(runner.Spec{
			Name:    name,
			Service: g.Service.D(),
			Token:   g.Token.D(),
			Tokens:  g.Tokens,
			Slots:   g.Slots,
		}, faults, env.RunLog)
		upstream.SetEngine(runner.Engine{
			ChecksFencing: g.ChecksFencing,
			LoadTime:      g.LoadTime.D(),
		})
		addr := net.JoinHostPort(g.Host, strconv.Itoa(port))
		env.Upstreams = append(env.Upstreams, upstream)
		env.endpoints = append(env.endpoints, newEndpoint(name, addr, faults, upstream.Handler()))
		env.hosts = append(env.hosts, plat.Host{
			Name:   name,
			Addr:   addr,
			Domain: g.Domain,
			Role:   plat.RoleUpstream,
			Pool:   g.Pool,
		})
	}
}

// Start opens every endpoint and publishes the host list on the platform.
func (env *Environment) Start() error {
	for _, e := range env.endpoints {
		if err := e.open(); err != nil {
			env.Close()
			return fmt.Errorf("start stand-ins: %w", err)
		}
	}
	for i, h := range env.hosts {
		if e := env.Endpoint(h.Name); e != nil {
			env.hosts[i].Addr = e.Addr()
		}
	}
	env.publishHosts()
	return nil
}

// Close closes every endpoint.
func (env *Environment) Close() {
	for _, e := range env.endpoints {
		// A close error is ignored: nothing after Close depends on the endpoint, and closing a listener twice is harmless.
		_ = e.Close()
	}
}

// Endpoint returns the endpoint with the given name, or nil.
func (env *Environment) Endpoint(name string) *Endpoint {
	i := slices.IndexFunc(env.endpoints, func(e *Endpoint) bool { return e.Name == name })
	if i < 0 {
		return nil
	}
	return env.endpoints[i]
}

// Upstream returns the upstream with the given name, or nil.
func (env *Environment) Upstream(name string) *runner.Server {
	i := slices.IndexFunc(env.Upstreams, func(u *runner.Server) bool { return u.Spec.Name == name })
	if i < 0 {
		return nil
	}
	return env.Upstreams[i]
}

// Hosts returns a copy of the host list.
func (env *Environment) Hosts() []plat.Host {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.hosts)
}

// AddHost adds a host to the host list, or replaces the host with the same name, and publishes the list.
func (env *Environment) AddHost(h plat.Host) {
	env.mu.Lock()
	defer env.mu.Unlock()
	i := slices.IndexFunc(env.hosts, func(o plat.Host) bool { return o.Name == h.Name })
	if i < 0 {
		env.hosts = append(env.hosts, h)
	} else {
		env.hosts[i] = h
	}
	env.publishHosts()
}

func (env *Environment) publishHosts() {
	if env.Platform != nil {
		env.Platform.SetHosts(slices.Clone(env.hosts))
	}
}
