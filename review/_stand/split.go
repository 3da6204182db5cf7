package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["split"] = playSplit
}

const (
	// newerService is the service that serves half of a route, with a newer version.
	newerService = "cw-fleet-next"
	// splitEvents is the number of events of a stream.
	splitEvents = 22
)

// playSplit kills all hosts at once while a route is split between two services of different versions, and starts them again. Clients take their streams up.
func playSplit(w *world) error {
	for i, zone := range []string{"centro-1", "centro-2", "centro-3"} {
		e, err := w.addEngine(fmt.Sprintf("i-old-%d", i+1), zone, "v1", splitEvents)
		if err != nil {
			return err
		}
		defer e.Close()
		e, err = w.addEngineOf(newerService, fmt.Sprintf("i-new-%d", i+1), zone, "v2", splitEvents)
		if err != nil {
			return err
		}
		defer e.Close()
	}
	c := streamConfiguration(7, streamTimeout)
	c["routes"].([]map[string]any)[0]["traffic_split"] = []map[string]any{
		{"service": "cw-fleet", "weight": 50},
		{"service": newerService, "weight": 50},
	}
	services := c["services"].([]map[string]any)
	newer := map[string]any{}
	for k, v := range services[0] {
		newer[k] = v
	}
	newer["name"] = newerService
	c["services"] = append(services, newer)
	w.configure(c)
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
	time.Sleep(2*streamTimeout + 2*time.Second)

	back := make(chan struct{})
	var mu sync.Mutex
	var joined []string
	var all sync.WaitGroup
	for i := range streamClients {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			if text := w.playClientAfter(back, client, i, streamTimeout, w.hosts[i%3], w.hosts[(i+1)%3], true); text != "" {
				mu.Lock()
				joined = append(joined, text)
				mu.Unlock()
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.note("all hosts are killed")
		for _, h := range w.hosts {
			h.kill()
		}
		time.Sleep(time.Second)
		for _, h := range w.hosts {
			if err := h.start(); err != nil {
				return err
			}
		}
		for _, h := range w.hosts {
			if err := h.waitReady(); err != nil {
				return err
			}
		}
	}
	close(back)
	all.Wait()
	return w.judgeStreams(joined)
}
