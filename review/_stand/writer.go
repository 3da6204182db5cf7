package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["writer"] = playWriter
}

const (
	// chatTimeout is the timeout of the route and the deadline of its clients, and chatEvents the number of events of a stream.
	chatTimeout = 20 * time.Second
	chatEvents  = 93
	// versionsRow is the key of the row that one host writes for all.
	versionsRow = "versions"
)

// playWriter loses the host that last wrote a certain row to the store, for good. A server with a newer version comes and goes, and the other two hosts are stopped and started in turn. Clients take their streams up.
func playWriter(w *world) error {
	w.paths = newPaths()
	w.paths.note = w.note
	for i, zone := range []string{"centro-1", "centro-2", "centro-3"} {
		e, err := w.addEngine(fmt.Sprintf("i-old-%d", i+1), zone, "v1", chatEvents)
		if err != nil {
			return err
		}
		defer e.Close()
	}
	w.configure(streamConfiguration(7, chatTimeout))
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
	time.Sleep(2*chatTimeout + time.Second)

	lost := w.paths.nextWriter(versionsRow, 10*time.Second)
	others := slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.name == lost })
	if len(others) != 2 {
		return fmt.Errorf("the host that writes the versions is not known: %q", lost)
	}
	first, second := others[0], others[1]
	w.note("%s wrote the row %q last", lost, versionsRow)
	if w.trouble {
		for _, h := range w.hosts {
			if h.name == lost {
				h.kill()
				w.note("%s is lost for good", lost)
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	newer, err := w.addEngine("i-new-1", "centro-1", "v2", chatEvents)
	if err != nil {
		return err
	}
	defer newer.Close()
	time.Sleep(1500 * time.Millisecond)

	clients := make([]*http.Client, streamClients)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		if err := openConnection(clients[i], first); err != nil {
			return err
		}
	}
	w.note("%s: SIGTERM", first.name)
	first.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var joined []string
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() {
			if text := w.playClient(c, i, chatTimeout, first, second, true); text != "" {
				mu.Lock()
				joined = append(joined, text)
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	w.deregister(newer)
	time.Sleep(500 * time.Millisecond)
	w.note("%s: SIGTERM", second.name)
	second.stop()
	w.note("%s ended", second.name)
	if err := second.start(); err != nil {
		return err
	}
	if err := second.waitReady(); err != nil {
		return err
	}
	all.Wait()
	return w.judgeStreams(joined)
}
