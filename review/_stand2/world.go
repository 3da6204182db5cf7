package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cornelwing/cornelwing/internal/stand/rows"
)

// world holds what a case runs: the store, the servers and the hosts.
type world struct {
	*record
	site
	dir       string
	store     *rows.Store
	listener  *rows.Listener
	storeAddr string
	fleet     *fleet
	hosts     []*host
	closers   []func()
}

// newWorld starts a store with the configuration.
func newWorld(r *record, s site, configuration map[string]any) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	w := &world{
		record: r,
		site:   s,
		dir:    dir,
		store:  rows.New(),
	}
	w.closers = append(w.closers, func() { _ = os.RemoveAll(dir) })
	go w.closeOnSignal()
	l, err := w.store.Listen()
	if err != nil {
		w.close()
		return nil, fmt.Errorf("start store: %w", err)
	}
	w.closers = append(w.closers, func() { _ = l.Close() })
	w.listener = l
	w.storeAddr = l.Addr()
	w.fleet = newFleet(r, s, w.store)
	w.closers = append(w.closers, w.fleet.close)
	if err := w.configure(configuration); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// configure writes the configuration as the operator does.
func (w *world) configure(configuration map[string]any) error {
	b, err := json.Marshal(configuration)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	w.store.Put("op", "config", b)
	w.note("operator: version %v", configuration["version"])
	return nil
}

// startHosts starts so many hosts and waits until all are ready.
func (w *world) startHosts(n int) error {
	for i := range n {
		h, err := newHost(w.record, w.site, w.dir, fmt.Sprintf("host-%d", i), w.storeAddr)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		w.closers = append(w.closers, h.stop)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// closeOnSignal ends everything and this process if it is told to end.
func (w *world) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	w.close()
	os.Exit(exitNotRun)
}

// close ends everything, the last started first. KEEP_LOGS=1 keeps the folder with the settings and logs.
func (w *world) close() {
	if os.Getenv("KEEP_LOGS") == "1" {
		fmt.Println("logs are in", w.dir)
		w.closers[0] = func() {}
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// configurationOf returns a configuration with one service and one route to it.
func configurationOf(route, service map[string]any) map[string]any {
	return map[string]any{
		"version":  1,
		"routes":   []map[string]any{route},
		"services": []map[string]any{service},
		"limits": map[string]any{
			"max_header_bytes":  16000,
			"max_body_bytes":    1000000,
			"header_timeout_ms": 5000,
			"idle_timeout_ms":   60000,
		},
		"tenants": []map[string]any{{
			"name":     "tenant-1",
			"api_keys": []string{apiKey},
			"priority": 1,
		}},
	}
}
