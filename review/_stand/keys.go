package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

func init() {
	cases["keys"] = playKeys
}

// attempt is one request of a client.
type attempt struct {
	id     string
	key    string
	host   string
	sentAt time.Time
	status int
}

// playKeys takes away the only key of each tenant, one after the other, while clients go on with them.
func playKeys(w *world) error {
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
	keys := []string{"key-one", "key-two", "key-three"}
	held := map[string]bool{}
	for _, k := range keys {
		held[k] = true
	}
	w.configure(keysConfiguration(7, keys, held))
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
	for i, key := range append([]string{"key-that-nobody-has"}, keys...) {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(200 * time.Millisecond):
				}
				a := sendKeyed(w.hosts[n%len(w.hosts)], key, fmt.Sprintf("%016x", i<<32|n))
				mu.Lock()
				sent = append(sent, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	revokedAt := map[string]time.Time{}
	if w.trouble {
		for i, k := range keys {
			delete(held, k)
			revokedAt[k] = w.configure(keysConfiguration(8+i, keys, held))
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(revokeTime + 3*time.Second)
	close(end)
	clients.Wait()
	return judgeKeys(w, servers, sent, revokedAt)
}

// keysConfiguration returns a configuration with a tenant for each of the keys, which holds its key or none.
func keysConfiguration(version int, keys []string, held map[string]bool) map[string]any {
	var tenants []map[string]any
	for _, k := range keys {
		own := []string{}
		if held[k] {
			own = []string{k}
		}
		tenants = append(tenants, map[string]any{
			"name":     "tenant-of-" + k,
			"api_keys": own,
		})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name":         "reserve-once",
			"host":         "reserve.example",
			"prefix":       "/reserve/",
			"route_type":   "non_idempotent",
			"timeout_ms":   1500,
			"slo_ms":       300,
			"priority":     2,
			"service":      "apartados",
			"max_attempts": 1,
			"public":       false,
			"sticky":       false,
			"resumable":    false,
		}},
		"services": []map[string]any{{
			"name":            "apartados",
			"health_path":     "/healthz",
			"max_connections": 110,
			"protocol":        "h1",
			"tls":             false,
		}},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    4194304,
			"header_timeout_ms": 5000,
			"idle_timeout_ms":   60000,
		},
		"tenants": tenants,
	}
}

// sendKeyed sends one request with a key over a new connection.
func sendKeyed(h *host, key, id string) attempt {
	a := attempt{
		id:     id,
		key:    key,
		host:   h.name,
		sentAt: time.Now(),
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/reserve/combine", strings.NewReader("one combine"))
	if err != nil {
		return a
	}
	r.Host = "reserve.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "1500")
	r.Header.Set("Api-Key", key)
	c := http.Client{
		Timeout:   2 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	resp, err := c.Do(r)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	a.status = resp.StatusCode
	return a
}

// judgeKeys counts the requests that ran although their key was taken away revokeTime before they were sent, or was never held by anyone.
func judgeKeys(w *world, servers []*serv.Server, sent []attempt, revokedAt map[string]time.Time) error {
	ranAs := map[string]string{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			ranAs[r.ID] = fmt.Sprintf("ran at %s, Tenant %q", s.ID, r.Header.Get("Tenant"))
		}
	}
	late, unknown, good := 0, 0, 0
	for _, a := range sent {
		ran, hasRun := ranAs[a.id]
		at, revoked := revokedAt[a.key]
		verdict := ""
		switch {
		case hasRun && a.key == "key-that-nobody-has":
			verdict = "BROKEN: no configuration ever held the key"
			unknown++
		case hasRun && revoked && a.sentAt.Sub(at) > revokeTime:
			verdict = fmt.Sprintf("BROKEN: the key was taken away %.3f s before", a.sentAt.Sub(at).Seconds())
			late++
		case hasRun && !revoked && a.status == http.StatusOK:
			good++
		}
		if !hasRun {
			ran = "did not run"
		}
		w.note("request %s sent at %.3f to %s with %s: status %d, %s %s", a.id, a.sentAt.Sub(w.began).Seconds(), a.host, a.key, a.status, ran, verdict)
	}
	w.note("%d requests with a known key were served, %d ran with a key taken away more than %s before, %d with a key that was never held", good, late, revokeTime, unknown)
	switch {
	case late+unknown > 0:
		return errBroken
	case !w.trouble && good == 0:
		return fmt.Errorf("no request was served")
	}
	return nil
}
