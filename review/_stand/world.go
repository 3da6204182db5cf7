package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/rows"
)

const (
	// binary is the program of the deploy file, and template the settings that the deploy file names. Both are relative to the root of the repository.
	binary   = "target/entryd"
	template = "deploy/settings.yaml"
	// readyTimeout is how long a host may take until it reports that it is ready.
	readyTimeout = 10 * time.Second
	// revokeTime, drainTime, grace and heartbeat are bounds of the site.
	revokeTime = 5 * time.Second
	drainTime  = 2 * time.Second
	grace      = 8 * time.Second
	heartbeat  = 1200 * time.Millisecond
)

// world holds the store, the hosts and the record of one case.
type world struct {
	began   time.Time
	trouble bool
	store   *rows.Store
	hosts   []*host
	engines []*engine
	// paths, if set, are the paths between the hosts.
	paths *paths

	mu     sync.Mutex
	dir    string
	record *os.File
}

// newWorld opens the record in the folder.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("make a temporary folder: %w", err)
	}
	return &world{
		began:  time.Now(),
		store:  rows.New(),
		dir:    dir,
		record: record,
	}, nil
}

// note writes a line to the record, with the time since the beginning.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	if w.paths != nil {
		w.paths.close()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// configure writes a configuration, and returns when the store acknowledged it.
func (w *world) configure(configuration map[string]any) time.Time {
	b, err := json.Marshal(configuration)
	if err != nil {
		panic(err)
	}
	w.store.Put("op", "config", b)
	at := time.Now()
	w.note("operator: version %v acknowledged", configuration["version"])
	return at
}

// host is an entry host, which runs as a process of its own.
type host struct {
	world    *world
	name     string
	callers  string
	ready    string
	peers    string
	store    *rows.Listener
	settings string
	log      string

	cmd  *exec.Cmd
	done chan struct{}
}

// addHost starts a host in a zone. It returns before the host is ready.
func (w *world) addHost(name, zone string) (*host, error) {
	l, err := w.store.Listen()
	if err != nil {
		return nil, fmt.Errorf("listen for the calls of %s: %w", name, err)
	}
	storeAddr := l.Addr()
	if w.paths != nil {
		storeAddr, _ = w.paths.front(name, l.Addr())
	}
	var addrs []string
	for range 4 {
		addr, err := stand.FreeAddr()
		if err != nil {
			return nil, fmt.Errorf("find an address for %s: %w", name, err)
		}
		addrs = append(addrs, addr)
	}
	h := &host{
		world:    w,
		name:     name,
		callers:  addrs[0],
		ready:    addrs[1],
		peers:    addrs[2],
		store:    l,
		settings: filepath.Join(w.dir, name+".yaml"),
		log:      filepath.Join(w.dir, name+".log"),
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, fmt.Errorf("read the template of the settings: %w", err)
	}
	filled := strings.NewReplacer(
		"{{node|json}}", quote(name),
		"{{zone|json}}", quote(zone),
		"{{limits.cpu_share}}", "0.4",
		"{{listen.front|json}}", quote(h.callers),
		"{{listen.readiness|json}}", quote(h.ready),
		"{{ip}}:{{internal_ports.0}}", h.peers,
		"{{ip}}:9464", addrs[3],
		"{{platform.address|json}}", quote(storeAddr),
		"{{bounds.drain_ms}}", fmt.Sprint(drainTime.Milliseconds()),
		"{{#heartbeat_ms}}\n", "",
		"{{/heartbeat_ms}}\n", "",
		"{{heartbeat_ms}}", fmt.Sprint(heartbeat.Milliseconds()),
		"{{bounds.grace_s}}", fmt.Sprint(grace.Seconds()),
		"{{bounds.revoke_ms}}", fmt.Sprint(revokeTime.Milliseconds()),
		"{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.retry_budget_extra}}", "58",
	).Replace(string(text))
	if err := os.WriteFile(h.settings, []byte(filled), 0o644); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", name, err)
	}
	w.hosts = append(w.hosts, h)
	return h, h.start()
}

func quote(s string) string {
	return fmt.Sprintf("%q", s)
}

// start starts the process as the deploy file says.
func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", h.name, err)
	}
	defer log.Close()
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "CORNELWING_NODE_FILE="+h.settings)
	cmd.Stdout = log
	cmd.Stderr = log
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait()
	}()
	h.cmd = cmd
	h.done = done
	h.world.note("%s: started", h.name)
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.done
}

// stop sends SIGTERM, and SIGKILL after the grace period. It returns once the process has ended.
func (h *host) stop() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.done:
	case <-time.After(grace):
		h.kill()
	}
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	c := http.Client{
		Timeout: 500 * time.Millisecond,
	}
	resp, err := c.Get("http://" + h.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until the host is ready.
func (h *host) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			h.world.note("%s: ready", h.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %s", h.name, readyTimeout)
}
