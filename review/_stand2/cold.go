package main

import (
	"net/http"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/rows"
)

func init() { cases["cold"] = playCold }

// The figures of the site hladbaer-cornelwing-grown for cold servers.
const (
	coldTime      = 3 * time.Second
	coldPerSecond = 9.1
)

const (
	// coldGap is the time between two requests, which two servers share.
	coldGap = 16 * time.Millisecond
	// outageTime is how long the store is down, and coldAfter how long after its begin a server becomes cold again.
	outageTime = 4500 * time.Millisecond
	coldAfter  = 500 * time.Millisecond
	coldTail   = 2 * time.Second
)

// playCold makes a server cold again, with the store down in case of trouble.
func playCold(r *record, trouble bool) (broken bool, err error) {
	w, err := newWorld(r, hladbaerGrown, configurationOf(map[string]any{
		"name":         "chat",
		"host":         routeHost,
		"prefix":       "/chat/",
		"route_type":   "idempotent",
		"timeout_ms":   1500,
		"slo_ms":       300,
		"priority":     0,
		"service":      "eng",
		"max_attempts": 2,
	}, map[string]any{
		"name":            "eng",
		"max_connections": 680,
		"cold_s":          coldTime.Seconds(),
		"cold_per_s":      coldPerSecond,
	}))
	if err != nil {
		return false, err
	}
	defer w.close()
	o := serverOptions{
		Service: "eng",
		Slots:   64,
		Queue:   134,
		Work:    20 * time.Millisecond,
		ColdFor: coldTime,
	}
	for _, id := range []string{"eng-a", "eng-b"} {
		o.ID = id
		if err := w.fleet.add(o); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(w.stableWindow)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		ticker := time.NewTicker(coldGap)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
				h := w.hosts[n%len(w.hosts)]
				wg.Go(func() { newRequest("chat", http.MethodGet, "/chat/x", "", 1500*time.Millisecond).send(w.record, h) })
			case <-stop:
				return
			}
		}
	})
	time.Sleep(2 * time.Second)
	if trouble {
		w.note("store: silent")
		w.fleet.setStoreDown(true)
		w.listener.SetFault(rows.Silent)
	}
	time.Sleep(coldAfter)
	o.ID = "eng-a"
	w.fleet.makeCold(o)
	time.Sleep(outageTime - coldAfter)
	w.note("store: serves")
	w.listener.SetFault(rows.None)
	w.fleet.setStoreDown(false)
	time.Sleep(coldTail)
	close(stop)
	wg.Wait()
	return judgeCold(w), nil
}

// judgeCold counts the requests that reached the cold server in any one second.
func judgeCold(w *world) (broken bool) {
	var begin time.Time
	var arrivals []time.Time
	for _, e := range w.fleet.seen() {
		switch {
		case e.Server == "eng-a" && e.What == "cold":
			begin = e.At
		case e.Server == "eng-a" && e.What == "arrived" && !begin.IsZero() && e.At.After(begin) && e.At.Before(begin.Add(coldTime)):
			arrivals = append(arrivals, e.At)
		}
	}
	most := 0
	for i, from := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := coldPerSecond*w.coldOverage + w.coldSlack
	w.say("requests that reached the cold server in one second: %d, of which the rule allows %.2f; while it was cold: %d", most, allowed, len(arrivals))
	return float64(most) > allowed
}
