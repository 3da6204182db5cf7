package root

import (
	"expvar"
	"runtime"
	"syscall"
	"time"

	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root/front/chain"
)

// metricsPrefix is the prefix of the expvar name of a host's metrics. The host's name follows it.
const metricsPrefix = "cornelwing."

// Metrics are the metrics that a host publishes under /debug/vars.
type Metrics struct {
	Revision  int64          `json:"revision"`
	LiveHosts int            `json:"live_hosts"`
	Upstreams int            `json:"upstreams"`
	Waiting   int            `json:"waiting"`
	StoreOut  bool           `json:"store_out"`
	Attempts  Attempts       `json:"attempts"`
	Peers     PeerTraffic    `json:"peers"`
	Restarts  map[string]int `json:"restarts"`
	// Memory and Conns show what this host holds for callers, and how many were turned away for that.
	Memory     guard.MemoryStats `json:"callers_memory"`
	Conns      guard.ConnStats   `json:"callers_conns"`
	CPUSeconds float64           `json:"cpu_seconds"`
	Goroutines int               `json:"goroutines"`
}

// Attempts counts attempts without a result, retries and dropped results since the start of the daemon.
// Unsent counts attempts of which nothing was sent, Refused those of which the upstream ran nothing, and Broken those that
// returned no usable result and may have run.
// Discarded counts results and tokens that were dropped because they belong to another attempt or, for tokens, were received before.
type Attempts struct {
	Unsent    int64 `json:"unsent"`
	Refused   int64 `json:"refused"`
	Broken    int64 `json:"broken"`
	Retries   int64 `json:"retries"`
	Discarded int64 `json:"strays"`
}

// PeerTraffic counts the bytes of messages that the host has sent to and received from peers.
type PeerTraffic struct {
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// publish registers the metrics with expvar, which serves them under /debug/vars.
func (r *Root) publish() {
	name := metricsPrefix + r.Host
	if expvar.Get(name) != nil {
		return
	}
	expvar.Publish(name, expvar.Func(func() any { return r.Metrics() }))
}

// Metrics returns the current values of the metrics.
func (r *Root) Metrics() Metrics {
	_, out := r.platform.Outage()
	m := Metrics{
		Memory:     r.memory.Stats(),
		Conns:      r.conns.Stats(),
		Revision:   r.active.Number(),
		LiveHosts:  r.liveCount(),
		Upstreams:  len(r.registry.Upstreams(r.Now())),
		Waiting:    r.admitter.Waiting(),
		StoreOut:   out,
		Attempts:   attemptsOf(r.runner.Stats(), r.reach.DiscardCounts.Results.Load()+r.reach.DiscardCounts.Tokens.Load()),
		Restarts:   r.restartCounts.counts(),
		CPUSeconds: cpuTime().Seconds(),
		Goroutines: runtime.NumGoroutine(),
	}
	if r.mesh != nil {
		m.Peers = PeerTraffic{
			SentBytes:     r.mesh.Sent.Load(),
			ReceivedBytes: r.mesh.Received.Load(),
		}
	}
	return m
}

func attemptsOf(s *chain.Stats, discarded int64) Attempts {
	return Attempts{
		Unsent:    s.Unsent.Load(),
		Refused:   s.Refused.Load(),
		Broken:    s.Broken.Load(),
		Retries:   s.Retries.Load(),
		Discarded: discarded,
	}
}

// cpuTime returns the user and system CPU time that the process has used, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
