package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["forget"] = playForget }

const (
	forgetHosts    = 4
	forgetEvents   = 30
	forgetEventGap = 70 * time.Millisecond
	// forgetAfter is the rest after which servers forget a connection, and unframedShare the share of answers without a length or chunks. Both take place at half of the servers.
	forgetAfter   = 300 * time.Millisecond
	unframedShare = 0.05
	// forgetTime is how long streams are sent, one at a time after forgetGap, and killPause the time between two crashes, each of one server.
	forgetTime = 96 * time.Second
	forgetGap  = 8 * time.Millisecond
	killPause  = 1000 * time.Millisecond
	// killSpread is the time over which a crash is spread at random. At most two of twelve servers are down at once.
	killSpread = 400 * time.Millisecond
)

// forgetful are the servers that forget connections and send unframed answers, and steady the others.
var (
	forgetful = []string{"eng-a", "eng-b", "eng-c", "eng-d", "eng-e", "eng-f"}
	steady    = []string{"eng-g", "eng-h", "eng-i", "eng-j", "eng-k", "eng-l"}
)

// playForget has servers crash in the middle of streams, some of which end with their connection, while they forget connections that rest.
func playForget(r *record, trouble bool) (broken bool, err error) {
	w, err := newWorld(r, anilloBajioGrown, configurationOf(map[string]any{
		"name":         "chat",
		"host":         routeHost,
		"prefix":       "/chat/",
		"route_type":   "streaming",
		"timeout_ms":   20000,
		"slo_ms":       2000,
		"gap_slo_ms":   250,
		"priority":     0,
		"service":      "eng",
		"max_attempts": 2,
		"resumable":    true,
	}, map[string]any{
		"name":            "eng",
		"max_connections": 600,
		"engine": map[string]any{
			"slots":              forgetSlots,
			"kv_capacity_tokens": 452392,
		},
	}))
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := startForgetful(w, trouble); err != nil {
		return false, err
	}
	if err := w.startHosts(forgetHosts); err != nil {
		return false, err
	}
	time.Sleep(w.stableWindow)
	stop := make(chan struct{})
	go crashServers(w, stop)
	var mu sync.Mutex
	whole, cut, short := 0, 0, 0
	var wg sync.WaitGroup
	for n, began := 0, time.Now(); time.Since(began) < forgetTime; n++ {
		wg.Go(func() {
			// Each body is another one, so that no request is taken for one that has crashed a server before.
			req := newRequest("chat", http.MethodPost, "/chat/x", fmt.Sprintf("question %d", n), 20*time.Second)
			a := req.exchange(w.hosts[n%len(w.hosts)])
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err != nil || a.status != http.StatusOK:
				cut++
				w.note("client %s at host-%d, sent at %d: %s", req.id, n%len(w.hosts), w.sinceBegin(a.sentAt), a.text())
			case a.eventCount() == forgetEvents:
				whole++
				w.note("client %s at host-%d: whole", req.id, n%len(w.hosts))
			default:
				short++
				w.note("client %s at host-%d, sent at %d: %s: the stream ended as complete after event %d of %d", req.id, n%len(w.hosts), w.sinceBegin(a.sentAt), a.text(), a.eventCount(), forgetEvents)
			}
		})
		time.Sleep(forgetGap)
	}
	close(stop)
	wg.Wait()
	w.say("streams that were whole: %d; refused or ended as not whole: %d; ended as complete before their last event: %d", whole, cut, short)
	return short > 0, nil
}

// forgetSlots is the number of streams that a server runs at once.
const forgetSlots = 48

func startForgetful(w *world, trouble bool) error {
	for _, id := range append(forgetful, steady...) {
		o := serverOptions{
			ID:        id,
			Service:   "eng",
			Slots:     forgetSlots,
			Queue:     100,
			Events:    forgetEvents,
			EventGap:  forgetEventGap,
			TellsLoad: true,
			Quiet:     true,
		}
		if id < steady[0] {
			o.UnframedShare = unframedShare
			if trouble {
				o.ForgetAfter = forgetAfter
			}
		}
		if err := w.fleet.add(o); err != nil {
			return err
		}
	}
	return nil
}

// crashServers kills one server after another until stop is closed.
func crashServers(w *world, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-time.After(killPause + rand.N(killSpread)):
			w.fleet.kill(forgetful[n%len(forgetful)])
		case <-stop:
			return
		}
	}
}
