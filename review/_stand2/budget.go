package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["budget"] = playBudget }

const (
	budgetWork     = 240 * time.Millisecond
	budgetDeadline = 1500 * time.Millisecond
	// usualGap is the time between two requests in usual traffic, which the servers can run. In the burst there are burstFactor as many.
	usualGap    = 130 * time.Millisecond
	burstFactor = 2.4
	burstTime   = 12 * time.Second
	// killAt is when in the burst all hosts are killed, and backTime how long they are away.
	killAt   = 5 * time.Second
	backTime = time.Second
)

// playBudget kills all hosts in a burst of requests that may be repeated.
func playBudget(r *record, trouble bool) (broken bool, err error) {
	w, err := newWorld(r, anilloBajio, configurationOf(map[string]any{
		"name":         "avail",
		"host":         routeHost,
		"prefix":       "/avail/",
		"route_type":   "idempotent",
		"timeout_ms":   1500,
		"slo_ms":       300,
		"priority":     0,
		"service":      "book",
		"max_attempts": 3,
	}, map[string]any{
		"name":            "book",
		"max_connections": 110,
	}))
	if err != nil {
		return false, err
	}
	defer w.close()
	for _, id := range []string{"book-a", "book-b"} {
		if err := w.fleet.add(serverOptions{
			ID:      id,
			Service: "book",
			Slots:   1,
			Queue:   1,
			Work:    budgetWork,
		}); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(w.stableWindow)
	var wg sync.WaitGroup
	burst := time.Now()
	var sentAt []time.Time
	killed := !trouble
	for time.Since(burst) < burstTime {
		if !killed && time.Since(burst) > killAt {
			killed = true
			for _, h := range w.hosts {
				h.signal(syscall.SIGKILL)
			}
			for _, h := range w.hosts {
				wg.Go(func() {
					<-h.ended
					time.Sleep(backTime)
					if err := h.start(); err != nil {
						w.note("host %s: %v", h.name, err)
					}
				})
			}
		}
		h := w.hosts[len(sentAt)%len(w.hosts)]
		sentAt = append(sentAt, time.Now())
		wg.Go(func() { newRequest("avail", http.MethodGet, "/avail/x", "", budgetDeadline).send(w.record, h) })
		time.Sleep(time.Duration(float64(usualGap.Microseconds())/burstFactor) * time.Microsecond)
	}
	wg.Wait()
	return judgeBudget(w, sentAt), nil
}

// judgeBudget compares the repeated arrivals in each window that begins with one of them with what the rule allows for the requests of it.
func judgeBudget(w *world, sentAt []time.Time) (broken bool) {
	var repeats []time.Time
	seen := map[string]bool{}
	events := w.fleet.seen()
	slices.SortFunc(events, func(a, b seenEvent) int { return cmp.Compare(a.AtUS, b.AtUS) })
	for _, e := range events {
		if e.What != "arrived" {
			continue
		}
		if seen[e.ID] {
			repeats = append(repeats, e.At)
		}
		seen[e.ID] = true
	}
	worst := 0.0
	text := "there were no repeated arrivals"
	for i, from := range repeats {
		// The requests are counted in the window, the one before it or the one half a window before it, whichever has most.
		requests := max(countIn(sentAt, from), countIn(sentAt, from.Add(-budgetWindow/2)), countIn(sentAt, from.Add(-budgetWindow)))
		allowed := w.retryRatio*float64(requests) + w.retryExtra
		n := countIn(repeats, from)
		if over := float64(n) - allowed; i == 0 || over > worst {
			worst = over
			text = fmt.Sprintf("worst window: %d requests, %d repeated arrivals, of which the rule allows %.1f", requests, n, allowed)
		}
	}
	w.say("requests: %d; repeated arrivals: %d; %s", len(sentAt), len(repeats), text)
	return worst > 0
}

// countIn returns how many of the times are in the window that begins at a time.
func countIn(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && !at.After(from.Add(budgetWindow)) {
			n++
		}
	}
	return n
}
