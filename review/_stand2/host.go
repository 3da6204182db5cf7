package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand"
)

const (
	// daemonPath is the program of an entry host, by the deploy file, from the root of the repository.
	daemonPath = "target/entryd"
	// settingsVariable names the file with the settings of a process.
	settingsVariable = "CORNELWING_NODE_FILE"
	// readyTimeout is how long a host may take to become ready.
	readyTimeout = 20 * time.Second
)

// site holds the figures of a site of the users' pages, as far as settings and checks need them.
type site struct {
	configWithin time.Duration
	drainWithin  time.Duration
	heartbeat    time.Duration
	stopGrace    time.Duration
	revokeWithin time.Duration
	stableWindow time.Duration
	retryRatio   float64
	retryExtra   float64
	power        float64
	memoryMB     int
	descriptors  int
	// evacuate is the time for an evacuation, or 0. coldOverage and coldSlack bound the requests to a cold server, or are 0.
	evacuate    time.Duration
	coldOverage float64
	coldSlack   float64
}

// The sites of the cases.
var (
	anilloBajio = site{
		configWithin: 2 * time.Second,
		drainWithin:  2 * time.Second,
		heartbeat:    1200 * time.Millisecond,
		stopGrace:    8 * time.Second,
		revokeWithin: 5 * time.Second,
		stableWindow: 3 * time.Second,
		retryRatio:   0.2,
		retryExtra:   58,
		power:        0.4,
		memoryMB:     284,
		descriptors:  4100,
	}
	anilloBajioGrown = site{
		configWithin: 3 * time.Second,
		drainWithin:  3 * time.Second,
		heartbeat:    1200 * time.Millisecond,
		stopGrace:    8 * time.Second,
		revokeWithin: 5 * time.Second,
		stableWindow: 4 * time.Second,
		retryRatio:   0.2,
		retryExtra:   202,
		power:        0.4,
		memoryMB:     284,
		descriptors:  4100,
	}
	hladbaerGrown = site{
		configWithin: 3 * time.Second,
		drainWithin:  3 * time.Second,
		heartbeat:    1200 * time.Millisecond,
		stopGrace:    8 * time.Second,
		revokeWithin: 5 * time.Second,
		stableWindow: 4 * time.Second,
		retryRatio:   0.2,
		retryExtra:   160,
		power:        0.4,
		memoryMB:     284,
		descriptors:  4100,
		evacuate:     5 * time.Second,
		coldOverage:  1.5,
		coldSlack:    5,
	}
)

// settingsTemplate is deploy/settings.yaml as the platform fills it in, up to the parts that only some sites have.
const settingsTemplate = `host:
  name: %q
  domain: "zone-1"
  region: "region-1"
  power: %v
  memory_mb: %d
  descriptors: %d
listen:
  callers: %q
  ready: %q
  peers: %q
  metrics: %q
store:
  address: %q
  shared_reads: true
configurations:
  within: "%dms"
stop:
  grace: "%ds"
keys:
  revoke: "%dms"
retry:
  ratio: %v
  extra: %v
upstreams:
  forget: "%dms"
  heartbeat: "%dms"
`

// settings returns the settings of a host.
func (s site) settings(name string, addrs [4]string, storeAddr string) string {
	text := fmt.Sprintf(settingsTemplate, name, s.power, s.memoryMB, s.descriptors, addrs[0], addrs[1], addrs[2], addrs[3], storeAddr,
		s.configWithin.Milliseconds(), int(s.stopGrace.Seconds()), s.revokeWithin.Milliseconds(), s.retryRatio, s.retryExtra, s.drainWithin.Milliseconds(), s.heartbeat.Milliseconds())
	if s.evacuate > 0 {
		text += fmt.Sprintf("  evacuate: \"%dms\"\n", s.evacuate.Milliseconds())
	}
	if s.coldOverage > 0 {
		text += fmt.Sprintf("warm_up:\n  overage: %v\n  slack: %v\n", s.coldOverage, s.coldSlack)
	}
	return text + "domains:\n  \"zone-1\": \"region-1\"\n"
}

// host is one entry host.
type host struct {
	record   *record
	name     string
	settings string
	log      string
	callers  string
	ready    string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// newHost writes the settings of a host of the site.
func newHost(r *record, s site, dir, name, storeAddr string) (*host, error) {
	var addrs [4]string
	for i := range addrs {
		addr, err := stand.FreeAddr()
		if err != nil {
			return nil, fmt.Errorf("find an address: %w", err)
		}
		addrs[i] = addr
	}
	h := &host{
		record:   r,
		name:     name,
		settings: filepath.Join(dir, name+".yaml"),
		log:      filepath.Join(dir, name+".log"),
		callers:  addrs[0],
		ready:    addrs[1],
	}
	if err := os.WriteFile(h.settings, []byte(s.settings(name, addrs, storeAddr)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return h, nil
}

// start starts the daemon as the deploy file does.
func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(daemonPath)
	cmd.Env = append(os.Environ(), settingsVariable+"="+h.settings)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", daemonPath, err)
	}
	h.cmd = cmd
	ended := make(chan struct{})
	h.ended = ended
	go func() {
		// How the process ended does not matter.
		_ = cmd.Wait()
		close(ended)
	}()
	h.record.note("host %s: started", h.name)
	return nil
}

// signal sends a signal to the daemon.
func (h *host) signal(s syscall.Signal) {
	h.record.note("host %s: %v", h.name, s)
	// It may have ended by itself.
	_ = h.cmd.Process.Signal(s)
}

// stop ends the daemon, which is continued first if it is stopped.
func (h *host) stop() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	_ = h.cmd.Process.Kill()
	<-h.ended
}

// isReady asks the daemon as the platform does.
func (h *host) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Get("http://" + h.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (h *host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			h.record.note("host %s: ready", h.name)
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready within %v", h.name, readyTimeout)
}

// logLines returns the lines of the daemon's log that hold the text.
func (h *host) logLines(text string) []string {
	b, err := os.ReadFile(h.log)
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// dial opens a connection to the daemon's callers' address.
func (h *host) dial() (net.Conn, error) {
	c, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to host %s: %w", h.name, err)
	}
	return c, nil
}
