package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	poisonEvents   = 30
	poisonEventGap = 100 * time.Millisecond
	// poisonRun is how long a poisonous request runs until its server crashes.
	poisonRun = 1500 * time.Millisecond
	// poisonPause is the time between two clients that send the poisonous request.
	poisonPause = 2500 * time.Millisecond
	poisonSends = 20
	// allowedRetries is how many retries the rule allows.
	allowedRetries = 3
)

// playPoison sends a streaming request again and again that crashes each server which runs it, some time after its first event.
func playPoison(r *record, trouble bool) (broken bool, err error) {
	w, err := newWorld(r, anilloBajio, configurationOf(map[string]any{
		"name":         "draft",
		"host":         routeHost,
		"prefix":       "/draft/",
		"route_type":   "streaming",
		"timeout_ms":   8000,
		"slo_ms":       1900,
		"gap_slo_ms":   300,
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
	o := serverOptions{
		Service:   "eng",
		Slots:     48,
		Queue:     100,
		Events:    poisonEvents,
		EventGap:  poisonEventGap,
		TellsLoad: true,
	}
	if trouble {
		o.CrashAfter = poisonRun
	}
	for _, id := range []string{"eng-a", "eng-b", "eng-c", "eng-d", "eng-e", "eng-f"} {
		o.ID = id
		if err := w.fleet.add(o); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(w.stableWindow)
	sendPoison(w)
	return judgePoison(w), nil
}

// sendPoison sends the poisonous request from one host after another, beside sound ones.
func sendPoison(w *world) {
	var wg sync.WaitGroup
	for n := range poisonSends {
		h := w.hosts[n%len(w.hosts)]
		wg.Go(func() {
			newRequest("poison", http.MethodPost, "/draft/x", poisonBody, 8*time.Second).send(w.record, h)
		})
		wg.Go(func() {
			newRequest("sound", http.MethodPost, "/draft/y", "sound", 8*time.Second).send(w.record, h)
		})
		time.Sleep(poisonPause)
	}
	wg.Wait()
}

// judgePoison counts how often the poisonous request reached servers after it had crashed the third one and the stable window had passed.
func judgePoison(w *world) (broken bool) {
	var third time.Time
	crashes, late := 0, 0
	for _, e := range w.fleet.seen() {
		switch {
		case e.What == "crashes":
			crashes++
			if crashes == 3 {
				third = e.At
			}
		case e.What == "arrived" && e.Detail == poisonBody && !third.IsZero() && e.At.After(third.Add(w.stableWindow)):
			late++
		}
	}
	w.say("servers that the request crashed: %d; retries that reached a server later than %v after the third crash: %d, of which the rule allows %d", crashes, w.stableWindow, late, allowedRetries)
	return late > allowedRetries
}
