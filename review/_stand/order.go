package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

func init() {
	cases["order"] = playOrder
}

// playOrder adds a route whose first stage needs the results of its second one, and then takes a key away.
func playOrder(w *world) error {
	var servers []*serv.Server
	for i := range 3 {
		s := &serv.Server{
			ID:      fmt.Sprintf("i-apartados-%d", i),
			Service: "apartados",
		}
		if err := s.Start(); err != nil {
			return err
		}
		defer s.Close()
		servers = append(servers, s)
		w.store.Put("servers", s.ID, s.RegistrationJSON("ready"))
	}
	keys := []string{"key-one", "key-two"}
	w.configure(keysConfiguration(7, keys, map[string]bool{"key-one": true, "key-two": true}))
	for i, zone := range []string{"centro-1", "centro-2", "centro-3"} {
		if _, err := w.addHost(fmt.Sprintf("edge-%d", i+1), zone); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.waitReady(); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	var sent []attempt
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i, key := range keys {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(200 * time.Millisecond):
				}
				a := sendKeyed(w.hosts[n%len(w.hosts)], key, fmt.Sprintf("%016x", (i+1)<<32|n))
				mu.Lock()
				sent = append(sent, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	w.configure(orderConfiguration(8, keys, map[string]bool{"key-one": true, "key-two": true}, w.trouble))
	time.Sleep(2 * time.Second)
	revokedAt := map[string]time.Time{
		"key-one": w.configure(orderConfiguration(9, keys, map[string]bool{"key-two": true}, w.trouble)),
	}
	time.Sleep(revokeTime + 3*time.Second)
	close(end)
	clients.Wait()
	return judgeKeys(w, servers, sent, revokedAt)
}

// orderConfiguration is keysConfiguration, with a route with two stages if added is set. Its stage 0 needs the results of its stage 1.
func orderConfiguration(version int, keys []string, held map[string]bool, added bool) map[string]any {
	c := keysConfiguration(version, keys, held)
	if !added {
		return c
	}
	c["routes"] = append(c["routes"].([]map[string]any), map[string]any{
		"name":       "crop-plan",
		"host":       "plan.example",
		"prefix":     "/plan/",
		"route_type": "streaming",
		"timeout_ms": 6000,
		"slo_ms":     1900,
		"priority":   1,
		"service":    "cw-fleet",
		"stages": []map[string]any{
			{"service": "pagos", "after": []int{1}, "bytes": 60000},
			{"service": "padron", "after": []int{}, "bytes": 8000},
		},
		"max_attempts": 1,
		"public":       false,
		"sticky":       true,
		"resumable":    false,
		"gap_slo_ms":   200,
	})
	services := c["services"].([]map[string]any)
	services = append(services, map[string]any{"name": "cw-fleet", "health_path": "/healthz", "max_connections": 310, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity_tokens": 612630}})
	for _, name := range []string{"padron", "pagos"} {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 310, "protocol": "h1", "tls": false,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 12, "call_ms": 200, "item_ms": 14, "headroom_mb": 27, "handle_s": 4, "link_mbps": 10000}})
	}
	c["services"] = services
	return c
}
