package relay

import (
	"expvar"
	"io"
	"net/http"
	"runtime"

	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/grant"
	"github.com/cornelwing/cornelwing/internal/root/relay/hosts"
	"github.com/cornelwing/cornelwing/internal/root/relay/meter"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/root/relay/vital"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// snapshot is the JSON document served on the metrics address.
type snapshot struct {
	Host string `json:"host"`
	// Version is the version of the active configuration, or 0 if there is none.
	Version int64 `json:"version"`
	// Unready is the reason why the load balancer should send no requests to this host, or "" if the host is ready.
	Unready string `json:"unready"`
	// KeyAge is the time since the platform last confirmed the configuration, in milliseconds, or negative if it never did.
	KeyAge int64 `json:"key_age_ms"`
	// Absent counts the requests that were refused because the configuration lacks their route or key.
	Absent grant.RecencyStats `json:"absent"`
	// StoreEra is the number of the store's era, or "unknown". RowsRewritten counts how often this host wrote its row again because the store had been restored.
	StoreEra      string `json:"store_era"`
	RowsRewritten int64  `json:"rows_rewritten"`
	// Paused counts the upstreams that are in a pause that they have asked for.
	Paused int `json:"paused"`
	// Limited counts the upstreams that take a limited number of requests per second.
	Limited int `json:"limited"`
	// Cold counts the upstreams that are cold or may have restarted, and WarmUps the permits and tokens for requests to them.
	Cold    int               `json:"cold"`
	WarmUps hosts.WarmUpStats `json:"warm_ups"`
	// CutPools counts the pools of which this host reaches no upstream by itself, Relayed the connections that it opened through other hosts, and Tunnels those that it keeps open for others.
	CutPools int   `json:"cut_pools"`
	Relayed  int64 `json:"relayed"`
	Tunnels  int64 `json:"tunnels"`
	// Ends counts the responses that ended with their connection, by whether their upstream is known to have outlived that.
	Ends vital.Stats `json:"ends"`
	// Starts counts what upstreams said when they were asked whether they are still the process of their row.
	Starts starts.Stats `json:"starts"`
	// Streams counts the streams of which this host knows at which software version they began.
	Streams int `json:"streams"`
	// Blocked counts the requests and parts of prompts that are not sent because they crash upstreams, and CrashTrials how often this host allowed one more request with one of them.
	Blocked     int `json:"blocked"`
	CrashTrials int `json:"crash_trials"`
	// Evacuated lists the evacuated failure domains.
	Evacuated []evacuated `json:"evacuated,omitempty"`
	// Leavers counts the incarnations of upstreams that are remembered as leaving or gone.
	Leavers int `json:"leavers"`
	// Tables reports from where this host reads each table of the store.
	Tables map[string]hosts.TableStats `json:"tables"`
	// Blocks reports which large contents of messages this host reads from other hosts and sends them.
	Blocks    hosts.BlockStats            `json:"blocks"`
	Hosts     int                         `json:"hosts"`
	Upstreams int                         `json:"upstreams"`
	Routes    map[string]meter.RouteStats `json:"routes"`
	// BurnRates reports the rates at which this host uses up the error budget of the service-level objective.
	BurnRates burn.Report `json:"burn"`
	// Queues holds the statistics of the worker queues that this host runs.
	Queues map[string]batch.Stats `json:"queues"`
	// Memory and Conns show what this host holds for callers, and how many were turned away for that.
	Memory     guard.MemoryStats `json:"callers_memory"`
	Conns      guard.ConnStats   `json:"callers_conns"`
	Goroutines int               `json:"goroutines"`
	HeapBytes  uint64            `json:"heap_bytes"`
	// Even shows how evenly the upstreams of each pool are loaded that state their pace.
	Even map[string]route.EvenStats `json:"even"`
}

func (r *Relay) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_, _ = io.WriteString(w, expvar.Func(func() any { return r.snapshot() }).String())
	})
}

func (r *Relay) snapshot() snapshot {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s := snapshot{
		Host:       r.Host,
		Unready:    r.notReadyReason(),
		KeyAge:     -1,
		Hosts:      r.roster.Count(),
		Upstreams:  len(r.upstreams.List()),
		Routes:     r.meter.Routes(),
		BurnRates:  r.meter.BurnRates(r.Now(), r.settings.Objective.Attainment),
		Queues:     r.dispatcher.Stats(),
		Memory:     r.memory.Stats(),
		Conns:      r.conns.Stats(),
		Even:       r.table.EvenStats(r.Now()),
		Goroutines: runtime.NumGoroutine(),
		HeapBytes:  mem.HeapAlloc,
	}
	era, _ := r.adapter.Eras.Current()
	s.StoreEra = era.String()
	s.RowsRewritten = r.rowsRewritten.Load()
	s.Paused = r.table.Paused(r.Now())
	s.Limited = r.limits.Limited()
	s.Cold = r.table.ColdCount(r.Now())
	s.WarmUps = r.warmUps.Stats()
	s.CutPools = r.dialer.CutPools()
	s.Relayed = r.dialer.Relayed()
	s.Tunnels = r.tunnels.OpenCount()
	s.Ends = r.witness.Stats()
	s.Starts = r.starts.Stats()
	s.Tables = r.tables.Stats()
	s.Blocks = r.peers.BlockStats()
	s.Streams = r.origins.Streams()
	crashes := r.crashes.Stats()
	s.Blocked = crashes.Blocked
	s.CrashTrials = crashes.Trials
	s.Evacuated = r.places.evacuated()
	s.Leavers = len(r.upstreams.Leavers())
	if p := r.plans.Current(); p != nil {
		s.Version = p.Version
	}
	s.Absent = r.recency.Stats()
	if age, ok := r.lease.Age(); ok {
		s.KeyAge = age.Milliseconds()
	}
	return s
}
