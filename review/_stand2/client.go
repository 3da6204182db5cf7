package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	apiKey    = "key-of-tenant-1"
	routeHost = "h.example"
)

// requestNumber numbers the requests of all clients.
var requestNumber atomic.Int64

// request is one client attempt.
type request struct {
	id       string
	method   string
	path     string
	body     string
	deadline time.Duration
}

func newRequest(prefix, method, path, body string, deadline time.Duration) request {
	return request{
		id:       fmt.Sprintf("%s-%04d", prefix, requestNumber.Add(1)),
		method:   method,
		path:     path,
		body:     body,
		deadline: deadline,
	}
}

// answer is how a client attempt ended.
type answer struct {
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if no head arrived.
	status int
	stamp  string
	body   string
	retry  string
	// err is nil if a whole answer arrived.
	err error
}

// text describes the answer for the record.
func (a answer) text() string {
	out := fmt.Sprintf("status %d after %d ms, %d bytes", a.status, a.endedAt.Sub(a.sentAt).Milliseconds(), len(a.body))
	if a.err != nil {
		out += ", not whole: " + a.err.Error()
	}
	return out
}

// send sends the request over a new connection, which is closed after the answer.
func (r request) send(rec *record, h *host) answer {
	a := r.exchange(h)
	rec.note("client %s at %s, sent at %d: %s", r.id, h.name, rec.sinceBegin(a.sentAt), a.text())
	return a
}

func (r request) exchange(h *host) answer {
	a := answer{
		sentAt: time.Now(),
	}
	defer func() { a.endedAt = time.Now() }()
	c, err := h.dial()
	if err != nil {
		a.err = err
		a.endedAt = time.Now()
		return a
	}
	defer c.Close()
	// A client waits a little longer than its deadline, so that a late answer is seen as one.
	_ = c.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	a.sentAt = time.Now()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n", r.method, r.path, routeHost, r.id, r.deadline.Milliseconds(), apiKey, len(r.body))
	if _, err := io.WriteString(c, head+r.body); err != nil {
		a.err = fmt.Errorf("send: %w", err)
		a.endedAt = time.Now()
		return a
	}
	a.receive(bufio.NewReader(c), r.method)
	a.endedAt = time.Now()
	return a
}

// receive reads the answer.
func (a *answer) receive(from *bufio.Reader, method string) {
	resp, err := http.ReadResponse(from, &http.Request{
		Method: method,
	})
	if err != nil {
		a.err = fmt.Errorf("read head: %w", err)
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.stamp = resp.Header.Get("Server-Stamp")
	a.retry = resp.Header.Get("Retry-After")
	body, err := io.ReadAll(resp.Body)
	a.body = string(body)
	if err != nil {
		a.err = fmt.Errorf("read body: %w", err)
	}
}

// errNotWhole reports an answer that is not the server's whole body.
var errNotWhole = errors.New("answer is not the server's whole body")

// checkPlain returns an error unless the answer is the server's whole one.
func (a answer) checkPlain(id string) error {
	if a.err != nil || a.status != http.StatusOK || a.body != bodyOf(id) {
		return errNotWhole
	}
	return nil
}

// eventCount returns the number of events in a stream.
func (a answer) eventCount() int {
	return strings.Count(a.body, "\n\n")
}
