package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/link"
)

// hostTable is the table in which the hosts register themselves.
const hostTable = "hosts"

// paths holds a link of its own for each ordered pair of hosts, so that hosts can be cut off from each other.
type paths struct {
	mu sync.Mutex
	// links are found by the name of the host that connects, a slash and the address of the other one.
	links map[string]*link.Link
	// ends are the two hosts of each link.
	ends map[*link.Link][2]string
	cut  map[string]bool
	// note, if set, is called with what hosts write.
	note func(format string, args ...any)
	// writers holds, by the key of a row, the host that wrote it last.
	writers map[string]string
}

func newPaths() *paths {
	return &paths{
		links: map[string]*link.Link{},
		ends:  map[*link.Link][2]string{},
		cut:   map[string]bool{},

		writers: map[string]string{},
	}
}

// addr returns the address at which one host finds another one, whose own address it replaces.
func (p *paths) addr(from, to, own string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := from + "/" + own
	l, ok := p.links[key]
	if !ok {
		var err error
		if l, err = link.New(own); err != nil {
			panic(err)
		}
		p.links[key] = l
		p.ends[l] = [2]string{from, to}
		p.apply(l)
	}
	return l.Addr()
}

// setCut cuts a host off from all others, silently, or ends that.
func (p *paths) setCut(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[name] = cut
	for l := range p.ends {
		p.apply(l)
	}
}

// apply sets the mode of a link. The caller holds the lock.
func (p *paths) apply(l *link.Link) {
	mode := link.Open
	for _, name := range p.ends[l] {
		if p.cut[name] {
			mode = link.Hang
		}
	}
	if err := l.SetMode(mode); err != nil {
		panic(err)
	}
}

func (p *paths) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.ends {
		_ = l.Close()
	}
}

// front returns an address of the store for one host, at which the rows of other hosts name the links to them.
func (p *paths) front(host, store string) (addr string, stop func()) {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{
		Scheme: "http",
		Host:   store,
	})
	proxy.ModifyResponse = func(resp *http.Response) error {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return fmt.Errorf("read the store's response: %w", err)
		}
		body = p.mapRows(host, body)
		resp.Body = io.NopCloser(bytes.NewReader(body))
		resp.ContentLength = int64(len(body))
		resp.Header.Set("Content-Length", strconv.Itoa(len(body)))
		return nil
	}
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) {
		panic(http.ErrAbortHandler)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		p.noteWrites(host, body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		proxy.ServeHTTP(w, r)
	}))
	return s.Listener.Addr().String(), s.CloseClientConnections
}

// noteWrites notes which rows a host writes.
func (p *paths) noteWrites(host string, body []byte) {
	var tx struct {
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	if json.Unmarshal(body, &tx) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range tx.Puts {
		p.writers[row.Key] = host
		if p.note != nil && !strings.HasPrefix(row.Key, "edge-") {
			p.note("%s writes the row %s: %s", host, row.Key, row.Value)
		}
	}
}

// nextWriter waits until a host writes the row with the key, and returns its name, or "" after the timeout.
func (p *paths) nextWriter(key string, timeout time.Duration) string {
	p.mu.Lock()
	delete(p.writers, key)
	p.mu.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		name := p.writers[key]
		p.mu.Unlock()
		if name != "" {
			return name
		}
	}
	return ""
}

// mapRows replaces the addresses in the rows of hosts.
func (p *paths) mapRows(host string, body []byte) []byte {
	var response map[string]json.RawMessage
	var rows []map[string]any
	if json.Unmarshal(body, &response) != nil || json.Unmarshal(response["rows"], &rows) != nil {
		return body
	}
	for _, r := range rows {
		if r["table"] != hostTable || r["deleted"] == true || r["key"] == host {
			continue
		}
		var value []byte
		var fields map[string]any
		encoded, _ := json.Marshal(r["value"])
		if json.Unmarshal(encoded, &value) != nil || json.Unmarshal(value, &fields) != nil {
			continue
		}
		fields["addr"] = p.addr(host, fmt.Sprint(r["key"]), fmt.Sprint(fields["addr"]))
		value, _ = json.Marshal(fields)
		r["value"] = value
	}
	response["rows"], _ = json.Marshal(rows)
	out, _ := json.Marshal(response)
	return out
}
