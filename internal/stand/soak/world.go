package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/link"
	"github.com/cornelwing/cornelwing/internal/stand/rows"
)

const (
	// forgetTime is the time within which hosts must stop sending to an upstream that leaves.
	forgetTime = 2 * time.Second
	// revokeTime is the time within which hosts must stop accepting a revoked key.
	revokeTime = 2 * time.Second
	// slowRevokeTime is the same in runs with streams alone, as in deployments: a host that is cut off serves until then.
	slowRevokeTime = 5 * time.Second
	// readyTimeout is the time within which a host that starts must become ready.
	readyTimeout = 10 * time.Second
	// steadyKey is a key that is never revoked.
	steadyKey = "key-steady"
)

// host is an entry host with its own address of the store.
type host struct {
	*process
	callers string
	ready   string
	store   *rows.Listener
	// toStore is the host's link to its address of the store.
	toStore *link.Link
	// links are the host's paths to the servers, or nil if it reaches them directly.
	links *links
}

// world holds the store, the servers and the hosts of one run.
type world struct {
	store   *rows.Store
	servers *fleet
	hosts   []*host
	// ways are those on which hosts reach each other.
	ways *hostWays

	mu      sync.Mutex
	version int
	// key is the key that is in force beside steadyKey.
	key string
	// revokedAt holds when each key was revoked.
	revokedAt map[string]time.Time
	copies    []rows.Copy
	// evacuated reports that the operator wants evacuableZone evacuated.
	evacuated bool
	era       int
}

// newWorld starts everything that the options describe, and waits until all hosts are ready.
func newWorld(o Options) (*world, error) {
	w := &world{
		store:     rows.New(),
		key:       "key-0",
		revokedAt: map[string]time.Time{},
		era:       1,
		ways:      newHostWays(),
	}
	w.store.SetEra("1")
	w.servers = newFleet(w.store, o.EngineBinary, o.Dir)
	if err := w.servers.start(); err != nil {
		w.close()
		return nil, fmt.Errorf("start servers: %w", err)
	}
	w.writeConfiguration()
	for i := range o.Hosts {
		h, err := w.addHost(o, i)
		if err != nil {
			w.close()
			return nil, fmt.Errorf("start host %d: %w", i, err)
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if !h.waitReady(readyTimeout) {
			w.close()
			return nil, fmt.Errorf("host %s was not ready within %s", h.callers, readyTimeout)
		}
	}
	return w, nil
}

// addHost starts one host.
func (w *world) addHost(o Options, i int) (*host, error) {
	l, err := w.store.Listen()
	if err != nil {
		return nil, fmt.Errorf("listen for its calls to the store: %w", err)
	}
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	toStore, err := link.New(l.Addr())
	if err != nil {
		return nil, fmt.Errorf("link to the store: %w", err)
	}
	h := &host{
		callers: addrs[0],
		ready:   addrs[1],
		store:   l,
		toStore: toStore,
		process: &process{
			binary:   o.Binary,
			settings: filepath.Join(o.Dir, fmt.Sprintf("host-%d.yaml", i)),
			logPath:  filepath.Join(o.Dir, fmt.Sprintf("host-%d.log", i)),
		},
	}
	if err := w.ways.add(hostName(i), addrs[2], h.process); err != nil {
		return nil, err
	}
	l.MapHosts(w.ways.addrOf)
	domain := "z"
	if o.SharedReads && i%2 == 1 {
		domain = evacuableZone
	}
	if i == linkedHost && !o.SharedReads {
		h.links = newLinks()
		l.MapAddresses(h.links.addrOf)
	}
	evacuate := fmt.Sprintf(", evacuate: %s", evacuateTime)
	if o.NoEvacuation {
		evacuate = ""
	}
	revoke := revokeTime
	if o.Streams {
		revoke = slowRevokeTime
	}
	settings := fmt.Sprintf(`host: {name: %s, domain: %s}
listen: {callers: %q, ready: %q, peers: %q, metrics: %q}
store: {address: %q, shared_reads: %t}
upstreams: {forget: %s%s}
stop: {grace: %s}
keys: {revoke: %s}
retry: {ratio: 0.2, extra: 60}
`, hostName(i), domain, addrs[0], addrs[1], addrs[2], addrs[3], toStore.Addr(), o.SharedReads, forgetTime, evacuate, stopGrace, revoke)
	if err := os.WriteFile(h.settings, []byte(settings), 0o644); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if err := h.start(); err != nil {
		return nil, err
	}
	return h, nil
}

func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		addr, err := stand.FreeAddr()
		if err != nil {
			return nil, fmt.Errorf("find a free address: %w", err)
		}
		out = append(out, addr)
	}
	return out, nil
}

// waitReady waits until the host reports that it is ready, and returns false after the timeout.
func (h *host) waitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}

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

// writeConfiguration writes the operator's configuration with the keys in force, as a new version.
func (w *world) writeConfiguration() {
	w.version++
	doc, err := json.Marshal(map[string]any{
		"version": w.version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": "plain", "max_connections": 100},
			{"name": "engine", "max_connections": 100, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 100000}},
			{"name": "worker", "max_connections": 100, "pieces": map[string]any{"slots": 2, "queue": 4, "batch": 4, "call_ms": 10, "item_ms": 1, "headroom_mb": 10, "handle_s": 4}},
		},
		"limits":  map[string]any{"max_body_bytes": 100000, "max_header_bytes": 16000},
		"tenants": []map[string]any{{"name": "caller", "api_keys": []string{steadyKey, w.key}}},
	})
	if err != nil {
		// The document consists of texts, numbers and lists only.
		panic(err)
	}
	w.store.Put("op", "config", doc)
}

// changeKey replaces the key beside steadyKey.
func (w *world) changeKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.key
	w.key = fmt.Sprintf("key-%d", w.version)
	w.writeConfiguration()
	w.revokedAt[old] = time.Now()
}

// currentKey returns the key that is in force beside steadyKey.
func (w *world) currentKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.key
}

// copyStore makes a copy from which the store can be restored.
func (w *world) copyStore() {
	c := w.store.Copy()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies = append(w.copies, c)
}

// restoreStore restores the store from its latest copy. The operator and the servers write again after the pause.
func (w *world) restoreStore(pause time.Duration) {
	w.mu.Lock()
	if len(w.copies) == 0 {
		w.mu.Unlock()
		return
	}
	w.era++
	w.store.SetEra(fmt.Sprint(w.era))
	w.store.Restore(w.copies[len(w.copies)-1])
	w.mu.Unlock()
	time.Sleep(pause)
	w.mu.Lock()
	w.writeConfiguration()
	w.writeEvacuation()
	w.mu.Unlock()
	w.servers.registerAll()
}

// close ends all processes, servers and listeners.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
		// The hosts have ended, so nothing uses the listener any more.
		_ = h.store.Close()
		_ = h.toStore.Close()
		if h.links != nil {
			h.links.close()
		}
	}
	// The run has ended, so nothing uses the mesh any more.
	_ = w.ways.mesh.Close()
	w.servers.close()
}
