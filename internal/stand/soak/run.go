package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// clientsPerHost is the number of clients for each host, and streamClientsPerHost that in runs with streams alone.
	clientsPerHost       = 3
	streamClientsPerHost = 8
	// http10ClientsPerHost is the number of clients beside them that send HTTP/1.0, and http10Client the number of the first one.
	http10ClientsPerHost = 1
	http10Client         = 500
	// calmTime is how long requests are sent after the last fault has ended, and recoverTime the part of it in which some may still fail.
	calmTime    = 7 * time.Second
	recoverTime = 5 * time.Second
)

// Options describes a run.
type Options struct {
	// Binary is the program of an entry host, and Dir holds its settings and logs.
	Binary string
	Dir    string
	// EngineBinary is a program that calls ServeEngine if EngineEnv is set.
	EngineBinary string
	Seed         uint64
	Hosts        int
	// Faults is the time in which faults begin.
	Faults time.Duration
	// NoEvacuation leaves evacuations out, which programs of earlier landings do not know.
	NoEvacuation bool
	// SharedReads puts hosts into two failure domains, in each of which few read the store and tell the others. linkedHost has no links to servers then, as the others would hear of these.
	SharedReads bool
	// Streams plays only faults beside releases, after times without any, and clients only send streams that they take up.
	Streams bool
}

// Report is the outcome of a run.
type Report struct {
	Violations []Violation
	// Schedule describes the faults, one a line.
	Schedule []string
	// Requests is the number of requests, Whole that of those that got a whole response, and TakenUp that of those that took a stream up.
	Requests int
	Whole    int
	TakenUp  int
	// WholeHTTP10 is the number of whole responses to requests in HTTP/1.0.
	WholeHTTP10 int
	// Failed counts the requests that did not get a whole response by their status, of which 0 is none.
	Failed map[int]int
}

// run is the state of one run.
type run struct {
	seed    uint64
	world   *world
	streams bool
	history history

	mu sync.Mutex
	// held holds the hosts that a fault holds.
	held map[int]bool
}

// hold makes a host the fault's own, and returns false if another fault holds it.
func (r *run) hold(host int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[host] {
		return false
	}
	r.held[host] = true
	return true
}

func (r *run) release(host int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[host] = false
}

// Run starts hosts, plays the faults of a seed while clients send requests, and returns the broken rules. All processes have ended when it returns.
func Run(ctx context.Context, o Options) (Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return Report{}, fmt.Errorf("start soak: %w", err)
	}
	defer w.close()
	r := &run{
		seed:    o.Seed,
		world:   w,
		streams: o.Streams,
		held:    map[int]bool{},
	}
	events := schedule(o.Seed, o.Hosts, o.Faults)
	perHost := clientsPerHost
	if o.Streams {
		events = streamSchedule(o.Seed, o.Hosts)
		perHost = streamClientsPerHost
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for n := range perHost * o.Hosts {
		clients.Go(func() { r.newClient(n).sendUntil(sending) })
	}
	for n := range http10ClientsPerHost * o.Hosts {
		c := r.newClient(http10Client + n)
		c.http10 = true
		clients.Go(func() { c.sendUntil(sending) })
	}
	var orders sync.WaitGroup
	if !o.NoEvacuation && !o.Streams {
		orders.Go(func() { r.evacuate(ctx, o.Faults) })
	}
	r.playAll(ctx, events)
	orders.Wait()
	calmFrom := time.Now()
	wait(ctx, calmTime)
	stop()
	clients.Wait()
	if ctx.Err() != nil {
		return Report{}, fmt.Errorf("play soak: %w", ctx.Err())
	}
	// What servers have reported is complete once they have ended.
	w.servers.close()
	r.history.check(w.servers.logs(), w.revokedAt, calmFrom.Add(recoverTime))
	return r.report(events), nil
}

// playAll plays the events, each at its time and beside those that have not ended, and returns once all have.
func (r *run) playAll(ctx context.Context, events []event) {
	start := time.Now()
	var group sync.WaitGroup
	for i, e := range events {
		if !wait(ctx, time.Until(start.Add(e.At))) {
			break
		}
		rng := rand.New(rand.NewPCG(r.seed, uint64(5000+i)))
		group.Go(func() { r.play(rng, e.Fault) })
	}
	group.Wait()
}

// wait waits for the duration, and returns false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) report(events []event) Report {
	out := Report{
		Violations: r.history.violations,
		Requests:   len(r.history.requests),
		Failed:     map[int]int{},
	}
	for _, e := range events {
		out.Schedule = append(out.Schedule, e.String())
	}
	for _, q := range r.history.requests {
		if q.whole() {
			out.Whole++
		} else {
			out.Failed[q.Status]++
		}
		if q.HTTP10 && q.whole() {
			out.WholeHTTP10++
		}
		if q.First != "" {
			out.TakenUp++
		}
	}
	return out
}
