package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	drainSlots    = 6
	drainEvents   = 36
	drainEventGap = 100 * time.Millisecond
	// drainSend is how long after SIGTERM the first of the requests is sent, and drainGap the time between two of them. All are sent within a second of the SIGTERM.
	drainSend = 500 * time.Millisecond
	drainGap  = 10 * time.Millisecond
	// drainAhead is how many requests are sent through the other host first, so that those of the stopping host wait for 7.2 s. Their clients wait for four times the objective, 8 s, for the first event. drainRequests is the number of these.
	drainAhead    = 2 * drainSlots
	drainRequests = drainSlots
	drainDeadline = 20 * time.Second
)

// drainClient is one client attempt of the case.
type drainClient struct {
	request
	answer
}

// playDrain stops a host by SIGTERM while requests that it has passed on wait at a server for their turn, behind those of another host.
func playDrain(r *record, trouble bool) (broken bool, err error) {
	w, err := newWorld(r, anilloBajio, configurationOf(map[string]any{
		"name":         "chat",
		"host":         routeHost,
		"prefix":       "/chat/",
		"route_type":   "streaming",
		"timeout_ms":   20000,
		"slo_ms":       2000,
		"gap_slo_ms":   200,
		"priority":     0,
		"service":      "eng",
		"max_attempts": 2,
	}, map[string]any{
		"name":            "eng",
		"max_connections": 310,
		"engine": map[string]any{
			"slots":              drainSlots,
			"kv_capacity_tokens": 612630,
		},
	}))
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := w.fleet.add(serverOptions{
		ID:        "eng-a",
		Service:   "eng",
		Slots:     drainSlots,
		Queue:     100,
		Events:    drainEvents,
		EventGap:  drainEventGap,
		TellsLoad: true,
	}); err != nil {
		return false, err
	}
	if err := w.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(w.stableWindow)
	h := w.hosts[0]
	stopped := time.Now()
	if trouble {
		h.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(w.stopGrace)
			// The platform ends a process that has not ended by itself.
			_ = h.cmd.Process.Kill()
		}()
	}
	time.Sleep(drainSend)
	var wg sync.WaitGroup
	for range drainAhead {
		wg.Go(func() { newRequest("ahead", http.MethodPost, "/chat/x", "", drainDeadline).send(w.record, w.hosts[1]) })
		time.Sleep(drainGap)
	}
	clients := make([]drainClient, drainRequests)
	for i := range clients {
		clients[i].request = newRequest("chat", http.MethodPost, "/chat/x", "", drainDeadline)
		wg.Go(func() { clients[i].answer = clients[i].send(w.record, h) })
		time.Sleep(drainGap)
	}
	wg.Wait()
	return judgeDrain(w, clients, stopped), nil
}

// judgeDrain counts the requests that were passed on to a server and whose connection ended without a whole answer, but for those on which the server was at work in the last sixth of the grace time.
func judgeDrain(w *world, clients []drainClient, stopped time.Time) (broken bool) {
	arrived := map[string]bool{}
	began := map[string]bool{}
	for _, e := range w.fleet.seen() {
		arrived[e.ID] = arrived[e.ID] || e.What == "arrived"
		began[e.ID] = began[e.ID] || e.What == "runs"
	}
	whole, excused, lost := 0, 0, 0
	for _, c := range clients {
		switch {
		case c.err == nil:
			whole++
		case began[c.id]:
			excused++
		case arrived[c.id]:
			lost++
			w.note("client %s: sent %d ms after SIGTERM, passed on, never begun by the server; the connection ended without an answer %d ms after SIGTERM", c.id, c.sentAt.Sub(stopped).Milliseconds(), c.endedAt.Sub(stopped).Milliseconds())
		}
	}
	w.say("requests of the host: %d; answered whole: %d; cut after the server had begun them: %d; cut without an answer while they waited: %d", len(clients), whole, excused, lost)
	return lost > 0
}
