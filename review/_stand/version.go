package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

func init() {
	cases["version"] = playVersion
}

const (
	// streamEvents is the number of events of a stream, and eventDelay the pause before each.
	streamEvents = 30
	eventDelay   = 190 * time.Millisecond
	// streamTimeout is the timeout of the route and the deadline of its clients.
	streamTimeout = 6 * time.Second
	// streamClients is how many clients the host that is stopped has.
	streamClients = 12
)

// engine is a server that responds with streams, and writes its row at each heartbeat.
type engine struct {
	*serv.Server
	zone string

	mu    sync.Mutex
	state string
	// sequence counts the writes of the row.
	sequence int
}

// addEngine starts a server of the service cw-fleet and registers it as ready.
func (w *world) addEngine(id, zone, version string, events int) (*engine, error) {
	return w.addEngineOf("cw-fleet", id, zone, version, events)
}

// addEngineOf starts a server of a service and registers it as ready.
func (w *world) addEngineOf(service, id, zone, version string, events int) (*engine, error) {
	e := &engine{
		Server: &serv.Server{
			ID:         id,
			Service:    service,
			Version:    version,
			Events:     events,
			EventDelay: eventDelay,
		},
		zone: zone,
	}
	if err := e.Start(); err != nil {
		return nil, err
	}
	w.engines = append(w.engines, e)
	w.register(e, "ready")
	return e, nil
}

// register makes a server state that it is ready or draining.
func (w *world) register(e *engine, state string) {
	e.mu.Lock()
	began := e.state != ""
	e.state = state
	e.mu.Unlock()
	w.note("server %s (%s, %s): %s", e.ID, e.Version, e.zone, state)
	w.writeRow(e)
	if !began {
		go func() {
			for w.writeRow(e) {
				time.Sleep(heartbeat)
			}
		}()
	}
}

// deregister removes the row of a server, which writes it no more.
func (w *world) deregister(e *engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = ""
	w.store.Remove("servers", e.ID)
	w.note("server %s (%s): its entry is removed, it goes on serving", e.ID, e.Version)
}

// writeRow writes the row of a server, and returns false if it has none any more.
func (w *world) writeRow(e *engine) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "" {
		return false
	}
	e.sequence++
	w.store.Put("servers", e.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":48,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		e.Service, e.Addr(), e.zone, e.Version, e.state, e.sequence, w.began.UnixMilli()))
	return true
}

// received is what a client got of one stream in one attempt.
type received struct {
	id      string
	sentAt  time.Time
	host    string
	resumes string
	after   string
	status  int
	stamp   string
	// prompt is the id of the shared part of the prompt.
	prompt string
	events []string
	whole  bool
}

// lastID returns the id of the last event.
func (r received) lastID() string {
	if len(r.events) == 0 {
		return ""
	}
	return r.events[len(r.events)-1]
}

// playVersion stops a host, in order, while it is cut off from the others and one server has been replaced by a newer version. Its clients take their streams up at the other hosts.
func playVersion(w *world) error {
	w.paths = newPaths()
	for i, zone := range []string{"centro-1", "centro-2", "centro-3"} {
		e, err := w.addEngine(fmt.Sprintf("i-old-%d", i+1), zone, "v1", streamEvents)
		if err != nil {
			return err
		}
		defer e.Close()
	}
	w.configure(streamConfiguration(7, streamTimeout))
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

	w.note("operator: the release begins, one server of three")
	newer, err := w.addEngine("i-new-1", "centro-1", "v2", streamEvents)
	if err != nil {
		return err
	}
	defer newer.Close()
	time.Sleep(500 * time.Millisecond)
	w.register(w.engines[0], "draining")
	leaving := w.hosts[0]
	if w.trouble {
		w.note("%s is cut off from the other hosts", leaving.name)
		w.paths.setCut(leaving.name, true)
	}
	time.Sleep(500 * time.Millisecond)
	clients := make([]*http.Client, streamClients)
	for i := range clients {
		// Each client has a connection from before the stop.
		clients[i] = &http.Client{Transport: &http.Transport{}}
		if err := openConnection(clients[i], leaving); err != nil {
			return err
		}
	}
	w.note("%s: SIGTERM", leaving.name)
	leaving.signal(syscall.SIGTERM)
	time.Sleep(2600 * time.Millisecond)
	var mu sync.Mutex
	var joined []string
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() {
			if text := w.playClient(c, i, streamTimeout, w.hosts[0], w.hosts[1+i%2], true); text != "" {
				mu.Lock()
				joined = append(joined, text)
				mu.Unlock()
			}
		})
	}
	time.Sleep(1800 * time.Millisecond)
	if w.trouble {
		w.paths.setCut(leaving.name, false)
		w.note("%s is no longer cut off", leaving.name)
	}
	all.Wait()
	<-leaving.done
	w.note("%s ended", leaving.name)
	return w.judgeStreams(joined)
}

// judgeStreams notes what the servers ran and which streams are joined from two versions.
func (w *world) judgeStreams(joined []string) error {
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			w.note("server %s (%s, %s) began to run %s at %.3f, after event %q", e.ID, e.Service, e.Version, r.ID, r.At.Sub(w.began).Seconds(), r.Header.Get("Last-Event-Id"))
		}
	}
	for _, text := range joined {
		w.note("BROKEN: %s", text)
	}
	if len(joined) > 0 {
		return errBroken
	}
	return nil
}

// playClient is playClientAfter for a client that takes its stream up at once.
func (w *world) playClient(c *http.Client, i int, timeout time.Duration, from, to *host, namesFirst bool) string {
	at := make(chan struct{})
	close(at)
	return w.playClientAfter(at, c, i, timeout, from, to, namesFirst)
}

// playClientAfter sends a request for a stream to one host. When its connection breaks it waits for the channel, and takes the stream up at another host, with the id of its first request if namesFirst is set. It returns what is wrong with the whole, or "".
func (w *world) playClientAfter(again <-chan struct{}, c *http.Client, i int, timeout time.Duration, from, to *host, namesFirst bool) string {
	began := time.Now()
	prompt := fmt.Sprintf("%08x", 0x5c1e07a2+i)
	first := receiveStream(c, from, received{id: fmt.Sprintf("%016x", 0xb00+i), prompt: prompt}, timeout)
	w.noteReceived(first)
	if first.whole || first.status != http.StatusOK || len(first.events) == 0 {
		return ""
	}
	<-again
	left := timeout - time.Since(began)
	rest := received{id: fmt.Sprintf("%016x", 0xc00+i), prompt: prompt, after: first.lastID()}
	if namesFirst {
		rest.resumes = first.id
	}
	second := receiveStream(&http.Client{Transport: &http.Transport{}}, to, rest, left)
	w.noteReceived(second)
	if second.status != http.StatusOK || len(second.events) == 0 || versionOf(first.stamp) == versionOf(second.stamp) {
		return ""
	}
	return fmt.Sprintf("client %d has events 1 to %s from version %s and events %s to %s from version %s", i, first.lastID(), versionOf(first.stamp), second.events[0], second.lastID(), versionOf(second.stamp))
}

func (w *world) noteReceived(r received) {
	w.note("request %s sent at %.3f to %s, resumes %q after %q: status %d, stamp %q, events to %s, whole %t", r.id, r.sentAt.Sub(w.began).Seconds(), r.host, r.resumes, r.after, r.status, r.stamp, r.lastID(), r.whole)
}

// versionOf returns the software version of the server that signed an answer.
func versionOf(stamp string) string {
	if strings.Contains(stamp, "i-new-") {
		return "v2"
	}
	return "v1"
}

// openConnection opens the connection of a client by a request for a path that no route has.
func openConnection(c *http.Client, h *host) error {
	resp, err := c.Get("http://" + h.callers + "/none/")
	if err != nil {
		return fmt.Errorf("open a connection: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return nil
}

// receiveStream sends a request for a stream, or for the rest of one, and reads what comes.
func receiveStream(c *http.Client, h *host, r received, left time.Duration) received {
	r.host = h.name
	r.sentAt = time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/digest/terms", strings.NewReader("terms"))
	if err != nil {
		return r
	}
	req.Host = "digest.example"
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(max(1, left.Milliseconds())))
	req.Header.Set("Api-Key", "key-one")
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Count", "900,90")
	req.Header.Set("Prompt-Prefix", r.prompt+":800,"+r.prompt+"0:100")
	if r.after != "" {
		req.Header.Set("Last-Event-Id", r.after)
	}
	if r.resumes != "" {
		req.Header.Set("Resumes", r.resumes)
	}
	resp, err := c.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	r.stamp = resp.Header.Get("Server-Stamp")
	if r.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return r
	}
	lines := bufio.NewScanner(resp.Body)
	id := ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case line == "" && id != "":
			r.events = append(r.events, id)
			id = ""
		}
	}
	r.whole = lines.Err() == nil
	return r
}

func streamConfiguration(version int, timeout time.Duration) map[string]any {
	c := keysConfiguration(version, []string{"key-one"}, map[string]bool{"key-one": true})
	c["routes"] = []map[string]any{{
		"name":         "terms-digest",
		"host":         "digest.example",
		"prefix":       "/digest/",
		"route_type":   "streaming",
		"timeout_ms":   timeout.Milliseconds(),
		"slo_ms":       790,
		"gap_slo_ms":   200,
		"priority":     0,
		"service":      "cw-fleet",
		"max_attempts": 2,
		"public":       false,
		"sticky":       true,
		"resumable":    true,
	}}
	c["services"] = []map[string]any{{
		"name":            "cw-fleet",
		"health_path":     "/healthz",
		"max_connections": 310,
		"protocol":        "h1",
		"tls":             false,
		"engine": map[string]any{
			"slots":              48,
			"kv_capacity_tokens": 612630,
		},
	}}
	return c
}
