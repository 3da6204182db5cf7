package crowd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cornelwing/cornelwing/internal/stand/rows"
	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

const (
	apiKey = "key-1"
	// bodyLimit and headLimit are the limits of the configuration, in bytes.
	bodyLimit = 4 << 20
	headLimit = 16 << 10
	// ordinaryBytes is the size of an ordinary request's body.
	ordinaryBytes = 200
	// answerBytes is the size of a response that a host forwards whole, and longAnswerBytes that of one it forwards as it arrives.
	answerBytes     = 200_000
	longAnswerBytes = 16 << 20
)

// startEntryd starts entryd with stand-ins for the store and the upstreams.
func startEntryd(t *testing.T, m machine) *daemon {
	t.Helper()
	store := rows.New()
	for _, s := range []*serv.Server{
		{ID: "plain-1", Service: "plain"},
		{ID: "answer-1", Service: "answer", BodyBytes: answerBytes},
		{ID: "long-1", Service: "long", BodyBytes: longAnswerBytes},
	} {
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		store.Put("servers", s.ID, s.RegistrationJSON("ready"))
	}
	store.Put("op", "config", entrydConfiguration(t))
	l, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	addrs := freeAddrs(t, 4)
	d := startDaemon(t, "entryd", fmt.Sprintf(`host: {name: host-0, domain: z, memory_mb: %d, descriptors: %d}
listen: {callers: %q, ready: %q, peers: %q, metrics: %q}
store: {address: %q}
stop: {grace: 2s}
keys: {revoke: 5s}
retry: {ratio: 0.2, extra: 60}
`, m.memoryMB, m.descriptors, addrs[0], addrs[1], addrs[2], addrs[3], l.Addr()))
	d.callers = addrs[0]
	d.ready = addrs[1]
	d.ordinary = func(size int) bool {
		req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/plain/ordinary", strings.NewReader(strings.Repeat("o", size)))
		if err == nil {
			req.Host = "h.example"
			req.Header.Set("Request-Id", "ordinary")
			req.Header.Set("Deadline-Ms", "20000")
			req.Header.Set("Api-Key", apiKey)
		}
		return send(req, err)
	}
	d.waitReady(t)
	return d
}

func entrydConfiguration(t *testing.T) []byte {
	t.Helper()
	var routes, services []map[string]any
	for _, name := range []string{"plain", "answer", "long"} {
		routes = append(routes, map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "route_type": "idempotent", "timeout_ms": 20000,
			"slo_ms": 1000, "service": name, "max_attempts": 2,
		})
		services = append(services, map[string]any{"name": name, "max_connections": 1000})
	}
	doc, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"max_body_bytes": bodyLimit, "max_header_bytes": headLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{apiKey}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// entrydHead returns the head of a caller's request to the target, without its end.
func entrydHead(method, target string) string {
	return Head(method, target, "Host: h.example", "Request-Id: crowd", "Deadline-Ms: 20000", "Api-Key: "+apiKey)
}

// TestEntrydUnderCrowds guards against callers outside the limits that end the process, exhaust its machine or keep it from answering others.
func TestEntrydUnderCrowds(t *testing.T) {
	post := entrydHead("POST", "/plain/x")
	nowhere := entrydHead("POST", "/nowhere/x")
	long := entrydHead("GET", "/long/x") + "\r\n"
	scenarios := []struct {
		name    string
		machine machine
		conns   int
		// ready sends the crowd to the listener for the balancer.
		ready bool
		play  Client
	}{
		{name: "bodies in one piece that stop short", machine: smallMachine, conns: 60, play: ShortBody(post, bodyLimit, bodyLimit)},
		{name: "bodies in small pieces that stop short", machine: smallMachine, conns: 60, play: ShortBody(post, bodyLimit, 1<<10)},
		{name: "bodies in chunks that stop short", machine: smallMachine, conns: 60, play: ShortChunks(post, bodyLimit-1<<16, 1<<10)},
		{name: "bodies that stop short on a large machine", machine: largeMachine, conns: 200, play: ShortBody(post, bodyLimit, 1<<16)},
		{name: "bodies over the limit", machine: smallMachine, conns: 60, play: ShortBody(post, 4*bodyLimit, 1<<16)},
		{name: "bodies in chunks over the limit", machine: smallMachine, conns: 60, play: ShortChunks(post, 4*bodyLimit, 1<<16)},
		{name: "heads of short fields without an end", machine: smallMachine, conns: 60, play: Fields(post, 1<<20, "")},
		{name: "heads of short fields within the limit", machine: smallMachine, conns: 200, play: Fields(post, headLimit-64, "Content-Length: 9\r\n\r\nshort")},
		{name: "requests sent ahead", machine: smallMachine, conns: 60, play: Ahead(entrydHead("GET", "/answer/x")+"\r\n", 200)},
		{name: "responses that nobody reads", machine: smallMachine, conns: 150, play: Text(long)},
		{name: "bodies without a route", machine: smallMachine, conns: 60, play: ShortBody(nowhere, bodyLimit, 1<<16)},
		{name: "heads of short fields without a route", machine: smallMachine, conns: 60, play: Fields(nowhere, 1<<20, "")},
		{name: "bodies to the balancer's address", machine: smallMachine, conns: 60, ready: true, play: ShortBody(post, bodyLimit, 1<<16)},
		{name: "heads of short fields to the balancer's address", machine: smallMachine, conns: 60, ready: true, play: Fields(post, 1<<20, "")},
		{name: "silent connections", machine: fewDescriptors, conns: 300, play: Text("")},
		{name: "half heads", machine: fewDescriptors, conns: 300, play: Text(post)},
		{name: "half heads and closed for writing", machine: fewDescriptors, conns: 300, play: HalfClosed(post)},
		{name: "heads sent slowly", machine: fewDescriptors, conns: 300, play: Trickle(strings.Repeat(post, 20))},
		{name: "small bodies that stop short", machine: fewDescriptors, conns: 300, play: ShortBody(post, 1000, 1000)},
		{name: "small bodies without a route that stop short", machine: fewDescriptors, conns: 300, play: ShortBody(nowhere, 1000, 1000)},
		{name: "long responses that nobody reads", machine: fewDescriptors, conns: 300, play: Text(long)},
		{name: "silent connections to the balancer's address", machine: fewDescriptors, conns: 300, ready: true, play: Text("")},
		{name: "half heads to the balancer's address", machine: fewDescriptors, conns: 300, ready: true, play: Text(post)},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			d := startEntryd(t, sc.machine)
			addr := d.callers
			if sc.ready {
				addr = d.ready
			}
			c := Open(addr, sc.conns, sc.play)
			defer c.Close()
			d.check(t, sc.machine)
			if !d.answersOrdinary(ordinaryBytes) {
				t.Error("an ordinary request was not answered")
			}
			if sc.ready && !d.answersReady() {
				t.Error("the balancer was not answered")
			}
			d.check(t, sc.machine)
		})
	}
}

// answersReady reports whether the daemon answers the balancer, which asks each second.
func (d *daemon) answersReady() bool {
	for range ordinaryTries {
		if send(http.NewRequest(http.MethodGet, "http://"+d.ready+"/v1/readyz", nil)) {
			return true
		}
	}
	return false
}

// TestEntrydTakesLargestBodyInCalm guards against bounds that turn away a single request within the limits.
func TestEntrydTakesLargestBodyInCalm(t *testing.T) {
	for _, m := range []machine{smallMachine, largeMachine, fewDescriptors} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", m.memoryMB, m.descriptors), func(t *testing.T) {
			d := startEntryd(t, m)
			if !d.ordinary(bodyLimit) {
				t.Error("the request was not answered")
			}
			d.check(t, m)
		})
	}
}
