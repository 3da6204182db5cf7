package setup

import (
	"fmt"
	"os"
	"time"

	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// Relay holds the settings of entryd, the daemon that forwards callers' requests unchanged.
type Relay struct {
	Host           RelayHost      `yaml:"host"`
	Listen         RelayListen    `yaml:"listen"`
	Store          Store          `yaml:"store"`
	Configurations Configurations `yaml:"configurations"`
	Upstreams      Upstreams      `yaml:"upstreams"`
	Stop           Stop           `yaml:"stop"`
	Keys           Keys           `yaml:"keys"`
	Retry          Retry          `yaml:"retry"`
	WarmUp         WarmUp         `yaml:"warm_up"`
	// Domains holds the region of each failure domain.
	Domains   map[string]string `yaml:"domains" help:"region of each failure domain, by its name; a route or an account that names regions is served only by upstreams of domains listed here"`
	Objective Objective         `yaml:"objective"`
	Log       Log               `yaml:"log"`
}

// RelayHost identifies this host and its capacity.
type RelayHost struct {
	Host   `yaml:",inline"`
	Region string  `yaml:"region" help:"region of this host, if domains does not list its failure domain"`
	Power  float64 `yaml:"power" help:"part of a core that this host has; the more, the more queues of workers it keeps"`
}

// RelayListen holds the addresses that entryd listens on; each is an IP address and a port.
type RelayListen struct {
	Callers string `yaml:"callers" help:"address for callers (TCP)"`
	Ready   string `yaml:"ready" help:"address at which the balancer asks whether the host is ready (TCP)"`
	Peers   string `yaml:"peers" help:"address for the other hosts (TCP)"`
	Metrics string `yaml:"metrics" help:"address of the metrics (TCP)"`
}

// Store holds the address of the platform's store, and how hosts read it.
type Store struct {
	Address     string `yaml:"address" help:"address of the platform's store, an IP number and a port"`
	SharedReads bool   `yaml:"shared_reads" help:"whether few hosts of each failure domain read the store, and the others hear from them what it holds"`
}

// Configurations holds the time limit within which a new configuration must take effect.
type Configurations struct {
	Within config.Span `yaml:"within" help:"time after which an accepted configuration must be in force on every host"`
}

// Upstreams holds the time limit within which changes of the upstreams must take effect.
type Upstreams struct {
	Forget    config.Span `yaml:"forget" help:"time after which nothing may be sent to an upstream that has gone"`
	Evacuate  config.Span `yaml:"evacuate" help:"time after which nothing new may be sent to the upstreams of an evacuated failure domain; orders to evacuate are ignored without it"`
	Heartbeat config.Span `yaml:"heartbeat" help:"time between two writes of an upstream's row; after three without one the row is removed"`
}

// Stop holds the time limit of a graceful shutdown.
type Stop struct {
	Grace config.Span `yaml:"grace" help:"time from the signal to stop until the process is killed"`
}

// Keys holds the time limit within which a revoked key of a caller must be rejected.
type Keys struct {
	Revoke config.Span `yaml:"revoke" help:"time after which a key that was taken away may no longer be served"`
}

// Retry is the retry budget that all hosts share.
type Retry struct {
	Ratio        float64 `yaml:"ratio" help:"retries allowed for each request of a pool"`
	ExtraRetries float64 `yaml:"extra" help:"retries of a pool that are allowed besides in a window"`
}

// WarmUp bounds the requests to an upstream that is cold, over all hosts.
type WarmUp struct {
	Overage float64 `yaml:"overage" help:"multiple of the rate that the configuration names for a cold upstream that it may get in any one second; 0 turns the bound off"`
	Slack   float64 `yaml:"slack" help:"requests that a cold upstream may get besides in any one second"`
}

// Objective is the service-level objective whose burn rate the metrics report.
type Objective struct {
	Attainment float64 `yaml:"attainment" help:"part of the requests that are to be answered whole and on time"`
}

// RelayDefaults returns the default settings of entryd; settings without a default are zero.
func RelayDefaults() Relay {
	return Relay{
		Host: RelayHost{
			Power: 1,
		},
		Configurations: Configurations{
			Within: config.Span(3 * time.Second),
		},
		Upstreams: Upstreams{
			Forget:    config.Span(2 * time.Second),
			Heartbeat: config.Span(1200 * time.Millisecond),
		},
		Objective: Objective{
			Attainment: 0.95,
		},
		Log: Log{
			Level: "info",
		},
	}
}

// ReadRelay reads and checks the settings file of entryd; the error gives the line of each fault.
func ReadRelay(path string) (Relay, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, fmt.Errorf("read settings: %w", err)
	}
	s := RelayDefaults()
	if err := strict.Decode(path, data, &s); err != nil {
		return Relay{}, fmt.Errorf("decode settings: %w", err)
	}
	return s, nil
}

// Faults returns all faults of the settings.
func (s *Relay) Faults() []strict.Fault {
	var c strict.FaultCollector
	s.Host.check(&c)
	c.Require(s.Host.Power > 0, "host.power", "%g is not above 0", s.Host.Power)
	checkAddr(&c, "listen.callers", s.Listen.Callers)
	checkAddr(&c, "listen.ready", s.Listen.Ready)
	checkAddr(&c, "listen.peers", s.Listen.Peers)
	checkAddr(&c, "listen.metrics", s.Listen.Metrics)
	checkAddr(&c, "store.address", s.Store.Address)
	c.Require(s.Configurations.Within.D() >= 500*time.Millisecond, "configurations.within", "%s is less than 500ms", s.Configurations.Within)
	c.Require(s.Upstreams.Forget.D() >= 500*time.Millisecond, "upstreams.forget", "%s is less than 500ms", s.Upstreams.Forget)
	c.Require(s.Upstreams.Heartbeat.D() >= 100*time.Millisecond, "upstreams.heartbeat", "%s is less than 100ms", s.Upstreams.Heartbeat)
	c.Require(s.Upstreams.Evacuate == 0 || s.Upstreams.Evacuate.D() >= 500*time.Millisecond, "upstreams.evacuate", "%s is less than 500ms", s.Upstreams.Evacuate)
	c.Require(s.Stop.Grace.D() >= time.Second, "stop.grace", "%s is less than 1s", s.Stop.Grace)
	c.Require(s.Keys.Revoke.D() >= time.Second, "keys.revoke", "%s is less than 1s", s.Keys.Revoke)
	c.Require(s.Retry.Ratio >= 0, "retry.ratio", "%g is below 0", s.Retry.Ratio)
	c.Require(s.Retry.ExtraRetries >= 0, "retry.extra", "%g is below 0", s.Retry.ExtraRetries)
	c.Require(s.WarmUp.Overage >= 0, "warm_up.overage", "%g is below 0", s.WarmUp.Overage)
	c.Require(s.WarmUp.Slack >= 0, "warm_up.slack", "%g is below 0", s.WarmUp.Slack)
	c.Require(s.Objective.Attainment > 0 && s.Objective.Attainment < 1, "objective.attainment", "%g is not above 0 and below 1", s.Objective.Attainment)
	s.Log.check(&c)
	return c.Faults()
}
