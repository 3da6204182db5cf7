package setup

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// Settings holds the settings of cornelwingd, which it needs before it can reach the platform.
type Settings struct {
	Host      Host       `yaml:"host"`
	Listen    Listen     `yaml:"listen"`
	Platform  Platform   `yaml:"platform"`
	Peers     Peers      `yaml:"peers"`
	Operators []Operator `yaml:"operators"`
	Limits    Limits     `yaml:"limits"`
	Log       Log        `yaml:"log"`
}

const (
	// minMemoryMB is the least memory in MB with which a host starts.
	minMemoryMB = 64
	// minDescriptors is the least number of descriptors with which a host starts.
	minDescriptors = 128
)

// Host identifies this host and its machine.
type Host struct {
	Name   string `yaml:"name" help:"name of this host, unique among all"`
	Domain string `yaml:"domain" help:"failure domain of this host"`
	// MemoryMB is the memory of the machine in MB, and Descriptors how many files and sockets the process may open. 0 takes what the machine states.
	MemoryMB    int `yaml:"memory_mb" help:"memory of this machine in MB; what callers may hold follows from it; without it, what the machine states"`
	Descriptors int `yaml:"descriptors" help:"how many files and sockets this process may open; how many connections callers may hold follows from it; without it, the limit of the process"`
}

// Listen holds the addresses that cornelwingd listens on; each is an IP address and a port.
type Listen struct {
	Callers   string `yaml:"callers" help:"address for callers, an IP number and a port (TCP)"`
	Operators string `yaml:"operators" help:"address for operators (TCP)"`
	Peers     string `yaml:"peers" help:"address for peers (UDP)"`
}

// Platform holds the URL of the platform and the time limit of one call to it.
type Platform struct {
	URL     string      `yaml:"url" help:"base URL of the platform"`
	Timeout config.Span `yaml:"timeout" help:"bound of one call to the platform"`
}

// Peers holds the settings by which hosts find and authenticate each other.
type Peers struct {
	// Seeds are the peer addresses that this host contacts while it cannot read the list of peers from the platform.
	Seeds []string `yaml:"seeds" help:"peer addresses that are asked while the platform cannot be read"`
	CA    string   `yaml:"ca" help:"PEM file of the authority; without it the host works alone"`
	Cert  string   `yaml:"cert" help:"PEM file of the host's certificate"`
	Key   string   `yaml:"key" help:"PEM file of its key"`
	// Every is the interval between two rounds of exchanges with peers.
	Every config.Span `yaml:"every" help:"time between two rounds of exchanges with peers"`
}

// Role determines the rights of an operator.
type Role string

// The roles in ascending order; each includes the rights of the roles before it.
const (
	Viewer   Role = "viewer"
	Editor   Role = "editor"
	Approver Role = "approver"
)

// Includes reports whether the role includes the rights of the other role.
func (r Role) Includes(other Role) bool {
	return r.rank() >= other.rank()
}

func (r Role) rank() int {
	switch r {
	case Approver:
		return 3
	case Editor:
		return 2
	case Viewer:
		return 1
	default:
		return 0
	}
}

// Operator is a person with access to the operators' interface.
type Operator struct {
	Name      string `yaml:"name" help:"operator's name, as the history shows it"`
	KeySHA256 string `yaml:"key_sha256" help:"hexadecimal SHA-256 of the operator's token; see cornelwing token"`
	Role      Role   `yaml:"role" help:"viewer, editor or approver"`
}

// Limits holds the limits on callers' requests and on the duration of a shutdown.
type Limits struct {
	MaxBodyBytes int64 `yaml:"max_body_bytes" help:"largest body that a caller may send, in bytes"`
	// HeaderTimeout and BodyTimeout limit the time in which a caller must send a request.
	HeaderTimeout config.Span `yaml:"header_timeout" help:"time that a caller has to send the headers"`
	BodyTimeout   config.Span `yaml:"body_timeout" help:"time that a caller has to send the body"`
	// QueueLimit is the largest number of patient requests, which are those of low urgency, that may wait for admission.
	QueueLimit int `yaml:"queue_limit" help:"how many patient requests may wait"`
	// DrainWait is how long a stopping host continues to accept requests, so that the balancer notices that the host is leaving.
	DrainWait config.Span `yaml:"drain_wait" help:"how long a stopping host goes on taking requests"`
	// DrainTimeout limits how long a stopping host then waits for the requests in flight.
	DrainTimeout config.Span `yaml:"drain_timeout" help:"how long it then waits for requests in flight"`
}

// Log holds the logging level.
type Log struct {
	Level string `yaml:"level" help:"debug, info, warning or error"`
}

// Defaults returns the default settings of cornelwingd; settings without a default are zero.
func Defaults() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:8080",
			Operators: "127.0.0.1:8081",
			Peers:     "127.0.0.1:8082",
		},
		Platform: Platform{
			Timeout: config.Span(time.Second),
		},
		Peers: Peers{
			Every: config.Span(time.Second),
		},
		Limits: Limits{
			MaxBodyBytes:  1 << 20,
			HeaderTimeout: config.Span(5 * time.Second),
			BodyTimeout:   config.Span(10 * time.Second),
			QueueLimit:    256,
			DrainWait:     config.Span(2 * time.Second),
			DrainTimeout:  config.Span(60 * time.Second),
		},
		Log: Log{
			Level: "info",
		},
	}
}

// Read reads and checks the settings file of cornelwingd; the error gives the line of each fault.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

// Parse decodes settings from YAML and checks them; name stands for the file in errors.
func Parse(name string, data []byte) (Settings, error) {
	s := Defaults()
	if err := strict.Decode(name, data, &s); err != nil {
		return Settings{}, fmt.Errorf("decode settings: %w", err)
	}
	return s, nil
}

// Threshold returns the least severe level that is logged; an unknown level counts as info.
func (l Log) Threshold() logrus.Level {
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

// HasCertificates reports whether this host has certificates with which it and its peers authenticate each other.
func (p Peers) HasCertificates() bool {
	return p.CA != ""
}

// Faults returns all faults of the settings.
func (s *Settings) Faults() []strict.Fault {
	var c strict.FaultCollector
	s.Host.check(&c)
	checkAddr(&c, "listen.callers", s.Listen.Callers)
	checkAddr(&c, "listen.operators", s.Listen.Operators)
	checkAddr(&c, "listen.peers", s.Listen.Peers)
	u, err := url.Parse(s.Platform.URL)
	c.Require(err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https"), "platform.url", "%q is not an http or https URL", s.Platform.URL)
	c.Require(s.Platform.Timeout > 0, "platform.timeout", "%s is not above 0", s.Platform.Timeout)
	s.checkPeers(&c)
	s.checkOperators(&c)
	s.checkLimits(&c)
	s.Log.check(&c)
	return c.Faults()
}

// check records a fault for each missing field.
func (h Host) check(c *strict.FaultCollector) {
	c.Require(h.Name != "", "host.name", "a name is needed")
	c.Require(h.Domain != "", "host.domain", "a failure domain is needed")
	c.Require(h.MemoryMB == 0 || h.MemoryMB >= minMemoryMB, "host.memory_mb", "%d is less than %d", h.MemoryMB, minMemoryMB)
	c.Require(h.Descriptors == 0 || h.Descriptors >= minDescriptors, "host.descriptors", "%d is less than %d", h.Descriptors, minDescriptors)
}

// check records a fault if the level is unknown.
func (l Log) check(c *strict.FaultCollector) {
	_, err := logrus.ParseLevel(l.Level)
	c.Require(err == nil, "log.level", "%q is not one of debug, info, warning, error", l.Level)
}

func (s *Settings) checkPeers(c *strict.FaultCollector) {
	p := s.Peers
	all := p.CA != "" && p.Cert != "" && p.Key != ""
	none := p.CA == "" && p.Cert == "" && p.Key == ""
	c.Require(all || none, "peers", "ca, cert and key go together")
	c.Require(none || !all || readable(p.CA, p.Cert, p.Key), "peers", "ca, cert and key must be files that can be read")
	c.Require(p.Every.D() >= 10*time.Millisecond, "peers.every", "%s is less than 10ms", p.Every)
	for i, seed := range p.Seeds {
		checkAddr(c, fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
}

// readable reports whether all files can be opened for reading.
func readable(paths ...string) bool {
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return false
		}
		// A close error is ignored: the file was opened only to check that it can be read.
		_ = f.Close()
	}
	return true
}

func (s *Settings) checkOperators(c *strict.FaultCollector) {
	for i, o := range s.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.Require(o.Name != "", path+".name", "a name is needed")
		b, err := hex.DecodeString(o.KeySHA256)
		c.Require(err == nil && len(b) == 32, path+".key_sha256", "it must be 64 hexadecimal digits")
		c.Require(o.Role == Viewer || o.Role == Editor || o.Role == Approver, path+".role", "%q is not one of viewer, editor, approver", o.Role)
	}
}

func (s *Settings) checkLimits(c *strict.FaultCollector) {
	l := s.Limits
	c.Require(l.MaxBodyBytes > 0, "limits.max_body_bytes", "%d is not above 0", l.MaxBodyBytes)
	c.Require(l.HeaderTimeout > 0, "limits.header_timeout", "%s is not above 0", l.HeaderTimeout)
	c.Require(l.BodyTimeout > 0, "limits.body_timeout", "%s is not above 0", l.BodyTimeout)
	c.Require(l.QueueLimit >= 0, "limits.queue_limit", "%d is below 0", l.QueueLimit)
	c.Require(l.DrainWait >= 0, "limits.drain_wait", "%s is below 0", l.DrainWait)
	c.Require(l.DrainTimeout > 0, "limits.drain_timeout", "%s is not above 0", l.DrainTimeout)
}

// checkAddr records a fault at the path unless addr is an IP address and a port.
func checkAddr(c *strict.FaultCollector, path, addr string) {
	host, _, err := net.SplitHostPort(addr)
	c.Require(err == nil && net.ParseIP(host) != nil, path, "%q is not an IP number and a port, for instance 127.0.0.1:8080", addr)
}
