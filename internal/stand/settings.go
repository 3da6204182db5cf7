package stand

import (
	"fmt"
	"os"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// Settings describes the stand-ins that one process runs.
type Settings struct {
	// Control is the listen address of the HTTP API that sets faults and lists runs.
	Control  string     `yaml:"control"`
	Seed     uint64     `yaml:"seed"`
	Platform *Platform  `yaml:"platform,omitempty"`
	Groups   []Group    `yaml:"groups,omitempty"`
	Entries  []HostSpec `yaml:"entries,omitempty"`
}

// Platform configures the stand-in for the platform.
type Platform struct {
	Addr string `yaml:"addr"`
	// Writes and Reads are the numbers of calls per second that the platform accepts.
	Writes int `yaml:"writes"`
	Reads  int `yaml:"reads"`
}

// Group configures a number of identical upstreams in one failure domain, on consecutive ports.
type Group struct {
	Pool    string      `yaml:"pool"`
	Domain  string      `yaml:"domain"`
	Host    string      `yaml:"host"`
	Port    int         `yaml:"port"`
	Count   int         `yaml:"count"`
	Slots   int         `yaml:"slots"`
	Service config.Span `yaml:"service"`
	Token   config.Span `yaml:"token,omitempty"`
	Tokens  int         `yaml:"tokens,omitempty"`
	// LoadTime is how long an engine takes to carry out an order. The engine accepts no calls meanwhile.
	LoadTime config.Span `yaml:"load_time,omitempty"`
	// ChecksFencing makes the engines reject orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty"`
}

// HostSpec is an entry host in the host list. Addr is its address for peers.
type HostSpec struct {
	Name   string `yaml:"name"`
	Addr   string `yaml:"addr"`
	Domain string `yaml:"domain"`
}

// Faults returns every setting that is missing or invalid.
func (s *Settings) Faults() []strict.Fault {
	var c strict.FaultCollector
	c.Require(s.Control != "", "control", "an address is needed, for instance 127.0.0.1:7000")
	c.Require(s.Platform != nil || len(s.Groups) > 0, "groups", "there must be a platform or at least one group")
	if s.Platform != nil {
		c.Require(s.Platform.Addr != "", "platform.addr", "an address is needed")
		c.Require(s.Platform.Writes > 0, "platform.writes", "%d is not above 0", s.Platform.Writes)
		c.Require(s.Platform.Reads > 0, "platform.reads", "%d is not above 0", s.Platform.Reads)
	}
	for i, g := range s.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		c.Require(g.Pool != "", path+".pool", "a name is needed")
		c.Require(g.Domain != "", path+".domain", "a name is needed")
		c.Require(g.Host != "", path+".host", "an IP number is needed")
		c.Require(g.Port >= 0 && g.Port < 65536, path+".port", "%d is not from 0 to 65535", g.Port)
		c.Require(g.Count > 0, path+".count", "%d is not above 0", g.Count)
		c.Require(g.Slots > 0, path+".slots", "%d is not above 0", g.Slots)
		c.Require(g.Service > 0, path+".service", "%s is not above 0", g.Service)
	}
	for i, e := range s.Entries {
		c.Require(e.Name != "" && e.Addr != "" && e.Domain != "", fmt.Sprintf("entries[%d]", i), "name, addr and domain are needed")
	}
	return c.Faults()
}

// ReadSettings reads and validates a settings file.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	var s Settings
	if err := strict.Decode(path, data, &s); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

func (s Settings) entryHosts() []plat.Host {
	hosts := make([]plat.Host, 0, len(s.Entries))
	for _, e := range s.Entries {
		hosts = append(hosts, plat.Host{
			Name:   e.Name,
			Addr:   e.Addr,
			Domain: e.Domain,
			Role:   plat.RoleEntry,
		})
	}
	return hosts
}
