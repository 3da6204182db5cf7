package stand

import (
	"fmt"
	"os"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// Settings says which stand-ins one process runs.
type Settings struct {
	// Control is the address on which faults are switched and the runs are read.
	Control  string     `yaml:"control"`
	Seed     uint64     `yaml:"seed"`
	Platform *Platform  `yaml:"platform,omitempty"`
	Groups   []Group    `yaml:"groups,omitempty"`
	Entries  []HostSpec `yaml:"entries,omitempty"`
}

// Platform says how the stand-in for the platform behaves.
type Platform struct {
	Addr string `yaml:"addr"`
	// Writes and Reads are the calls a second that it takes.
	Writes int `yaml:"writes"`
	Reads  int `yaml:"reads"`
}

// Group is a number of like upstreams in one failure domain, on ports that follow each other.
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
	// LoadTime is how long an engine takes to carry out an order, and takes no work.
	LoadTime config.Span `yaml:"load_time,omitempty"`
	// ChecksFencing says that the engines refuse orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty"`
}

// HostSpec is an entry host as the host list shows it; its address is the one for peers.
type HostSpec struct {
	Name   string `yaml:"name"`
	Addr   string `yaml:"addr"`
	Domain string `yaml:"domain"`
}

// Faults returns everything that is wrong with the settings.
func (s *Settings) Faults() []strict.Fault {
	var c strict.Check
	c.That(s.Control != "", "control", "an address is needed, for instance 127.0.0.1:7000")
	c.That(s.Platform != nil || len(s.Groups) > 0, "groups", "there must be a platform or at least one group")
	if s.Platform != nil {
		c.That(s.Platform.Addr != "", "platform.addr", "an address is needed")
		c.That(s.Platform.Writes > 0, "platform.writes", "%d is not above 0", s.Platform.Writes)
		c.That(s.Platform.Reads > 0, "platform.reads", "%d is not above 0", s.Platform.Reads)
	}
	for i, g := range s.Groups {
		at := fmt.Sprintf("groups[%d]", i)
		c.That(g.Pool != "", at+".pool", "a name is needed")
		c.That(g.Domain != "", at+".domain", "a name is needed")
		c.That(g.Host != "", at+".host", "an IP number is needed")
		c.That(g.Port >= 0 && g.Port < 65536, at+".port", "%d is not from 0 to 65535", g.Port)
		c.That(g.Count > 0, at+".count", "%d is not above 0", g.Count)
		c.That(g.Slots > 0, at+".slots", "%d is not above 0", g.Slots)
		c.That(g.Service > 0, at+".service", "%s is not above 0", g.Service)
	}
	for i, e := range s.Entries {
		c.That(e.Name != "" && e.Addr != "" && e.Domain != "", fmt.Sprintf("entries[%d]", i), "name, addr and domain are needed")
	}
	return c.Faults()
}

// ReadSettings reads and checks a settings file.
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
