package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["evidence"] = playEvidence }

const (
	evidenceHosts = 4
	// evidenceRun is how long the poisonous request runs until its server crashes, and evidenceDeadline how long its clients wait.
	evidenceRun      = 300 * time.Millisecond
	evidenceDeadline = 6 * time.Second
	// evidenceBack is how long the hosts are away after they were killed.
	evidenceBack = time.Second
	// evidenceClients is how many clients at each host send the request at once in the end.
	evidenceClients = 2
)

// playEvidence kills all hosts between the second and the third crash of a poisonous request.
func playEvidence(r *record, trouble bool) (broken bool, err error) {
	w, err := newWorld(r, anilloBajio, configurationOf(map[string]any{
		"name":         "draft",
		"host":         routeHost,
		"prefix":       "/draft/",
		"route_type":   "streaming",
		"timeout_ms":   6000,
		"slo_ms":       790,
		"gap_slo_ms":   200,
		"priority":     0,
		"service":      "eng",
		"max_attempts": 2,
		"resumable":    true,
	}, map[string]any{
		"name":            "eng",
		"max_connections": 310,
		"engine": map[string]any{
			"slots":              48,
			"kv_capacity_tokens": 612630,
		},
	}))
	if err != nil {
		return false, err
	}
	defer w.close()
	for _, id := range []string{"eng-a", "eng-b", "eng-c", "eng-d", "eng-e", "eng-f", "eng-g", "eng-h"} {
		if err := w.fleet.add(serverOptions{
			ID:         id,
			Service:    "eng",
			Slots:      48,
			Queue:      100,
			Events:     poisonEvents,
			EventGap:   poisonEventGap,
			CrashAfter: evidenceRun,
			TellsLoad:  true,
		}); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(evidenceHosts); err != nil {
		return false, err
	}
	settle := func() { time.Sleep(w.stableWindow + time.Second) }
	settle()
	// The first two crashes.
	sendAtOnce(w, w.hosts[:1], 1)
	settle()
	if trouble {
		if err := loseAllHosts(w); err != nil {
			return false, err
		}
		settle()
	}
	// The third crash.
	sendAtOnce(w, w.hosts[1:2], 1)
	settle()
	sendAtOnce(w, w.hosts, evidenceClients)
	return judgePoison(w), nil
}

// sendAtOnce sends the poisonous request from so many clients at each of the hosts, and waits for the answers.
func sendAtOnce(w *world, hosts []*host, clients int) {
	var wg sync.WaitGroup
	for _, h := range hosts {
		for range clients {
			wg.Go(func() {
				newRequest("poison", http.MethodPost, "/draft/x", poisonBody, evidenceDeadline).send(w.record, h)
			})
		}
	}
	wg.Wait()
}

// loseAllHosts kills all hosts at the same moment, and starts them again after a while.
func loseAllHosts(w *world) error {
	for _, h := range w.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range w.hosts {
		<-h.ended
	}
	time.Sleep(evidenceBack)
	for _, h := range w.hosts {
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
