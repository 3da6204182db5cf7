package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// pause is the mean pause of a client between two requests, and crashingPause that between two requests that crash engines.
	pause         = 30 * time.Millisecond
	crashingPause = 60 * time.Millisecond
	// deadline is how long a client waits for a response.
	deadline = 2500 * time.Millisecond
	// maxTakeUps is how often a client takes one stream up.
	maxTakeUps = 3
	// requestsPerBroken is among how many streams that may be taken up the client's connection breaks in one, and streamsPerBroken that in runs with streams alone.
	requestsPerBroken = 4
	streamsPerBroken  = 2
)

// errBroken is the error of a response whose connection breaks at the client.
var errBroken = errors.New("connection breaks at the client")

// client sends requests one after the other. It keeps its connection to a host until that breaks, and then turns to another one.
type client struct {
	run  *run
	name string
	rng  *rand.Rand
	http *http.Client
	// http10 makes the client send HTTP/1.0, each request on a connection of its own.
	http10 bool
	host   int
	sent   int
}

func (r *run) newClient(n int) *client {
	return &client{
		run:  r,
		name: "c" + strconv.Itoa(n),
		rng:  rand.New(rand.NewPCG(r.seed, uint64(1000+n))),
		http: &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost: 1,
			},
			Timeout: deadline,
		},
		host: n % len(r.world.hosts),
	}
}

// sendUntil sends requests until the context ends.
func (c *client) sendUntil(ctx context.Context) {
	for ctx.Err() == nil {
		got := c.send(c.randomRequest())
		for n := 0; n < maxTakeUps && got.broken(); n++ {
			c.rest()
			c.moveToOtherHost()
			got = c.send(got.takeUp())
		}
		if got.Status == 0 {
			c.moveToOtherHost()
		}
		c.rest()
	}
}

// rest waits as a client does between two requests.
func (c *client) rest() {
	time.Sleep(time.Duration(c.rng.Int64N(int64(2 * pause))))
}

// moveToOtherHost makes the client send its next requests to another host.
func (c *client) moveToOtherHost() {
	if n := len(c.run.world.hosts); n > 1 {
		c.host = (c.host + 1 + c.rng.IntN(n-1)) % n
	}
}

func (c *client) randomRequest() request {
	key := steadyKey
	if c.rng.IntN(4) == 0 {
		key = c.run.world.currentKey()
	}
	q := request{
		Route: c.randomRoute(),
		Key:   key,
	}
	if q.Route.Resumable && c.rng.IntN(c.perBroken()) == 0 {
		q.BreaksAfter = 1 + c.rng.IntN(streamEvents-1)
	}
	return q
}

// perBroken returns among how many streams that may be taken up the client's connection breaks in one.
func (c *client) perBroken() int {
	if c.run.streams {
		return streamsPerBroken
	}
	return requestsPerBroken
}

// randomRoute returns a route. Streams that may be taken up are sent more often than others.
func (c *client) randomRoute() route {
	if c.run.streams || c.rng.IntN(4) == 0 {
		return resumedRoute
	}
	return routes[c.rng.IntN(len(routes))]
}

// send sends the request to the client's host, records what comes back, and returns it.
func (c *client) send(q request) request {
	c.sent++
	q.Host = c.host
	q.ID = fmt.Sprintf("h%d-%s-%d", c.host, c.name, c.sent)
	q.HTTP10 = c.http10
	q.Sent = time.Now()
	c.receive(&q)
	q.Ended = time.Now()
	c.run.history.addRequest(q)
	return q
}

// receive sends the request and fills in the response.
func (c *client) receive(q *request) {
	req, err := c.newRequest(q)
	if err != nil {
		q.Err = err.Error()
		return
	}
	resp, err := c.do(req)
	if err != nil {
		q.Err = err.Error()
		return
	}
	defer resp.Body.Close()
	q.Status = resp.StatusCode
	q.Stamped = resp.Header.Get("Server-Stamp") != ""
	q.EchoedID = resp.Header.Get("Request-Id")
	q.Leaving = resp.Header.Get("Server-Leaving") == "1"
	q.Body, err = q.read(resp.Body)
	if err != nil {
		q.Err = err.Error()
	}
}

// do sends the request in the client's version of HTTP and returns the response.
func (c *client) do(req *http.Request) (*http.Response, error) {
	if c.http10 {
		return doHTTP10(req)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return resp, nil
}

// newRequest returns the request as it is sent to the client's host.
func (c *client) newRequest(q *request) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.run.world.hosts[q.Host].callers+q.Route.Prefix+"x", strings.NewReader("body "+q.firstID()))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Host = q.Route.Host
	req.Header.Set("Request-Id", q.ID)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Api-Key", q.Key)
	req.Header.Set("Prompt-Prefix", q.promptPrefix())
	if len(q.Route.Stages) > 0 {
		req.Header.Set("Pieces", "3,2")
		req.Header.Set("Piece-Key", "k")
	}
	if q.First != "" {
		req.Header.Set("Resumes", q.First)
		req.Header.Set("Last-Event-Id", strconv.Itoa(countEvents(q.Before)))
	}
	return req, nil
}

// read reads the body. A request with BreaksAfter reads only that many events.
func (r *request) read(body io.Reader) (string, error) {
	var out strings.Builder
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		out.WriteString(line)
		if errors.Is(err, io.EOF) {
			return out.String(), nil
		}
		if err != nil {
			return out.String(), fmt.Errorf("read body: %w", err)
		}
		if r.BreaksAfter > 0 && countEvents(out.String()) >= r.BreaksAfter {
			return out.String(), errBroken
		}
	}
}

// promptPrefix returns the parts of the request's prompt. All requests share the first part, and the last one is the request's own.
func (r *request) promptPrefix() string {
	middle := "5eed:200"
	if r.Crashing {
		middle = crashingPart + ":200"
	}
	own := 0
	for _, b := range []byte(r.firstID()) {
		own = own*31 + int(b)
	}
	return fmt.Sprintf("c0ffee:800,%s,%x:50", middle, uint32(own))
}

// sendCrashing sends requests that crash engines to all hosts for a while.
func (r *run) sendCrashing(d time.Duration) {
	c := r.newClient(900)
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.host = c.rng.IntN(len(r.world.hosts))
		go c.fork().send(request{
			Route:    resumedRoute,
			Key:      steadyKey,
			Crashing: true,
		})
		time.Sleep(crashingPause)
	}
}

// fork returns a client with the same connections, whose requests have IDs of their own.
func (c *client) fork() *client {
	c.sent++
	f := *c
	f.name = fmt.Sprintf("%s-%d", c.name, c.sent)
	return &f
}
