package relay

import (
	"expvar"
	"io"
	"net/http"
	"runtime"

	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/meter"
)

// snapshot is what the address of the metrics serves.
type snapshot struct {
	Host string `json:"host"`
	// Version is the configuration in force, or 0.
	Version int64 `json:"version"`
	// Unready is why the balancer should send nothing here, or "".
	Unready string `json:"unready"`
	// KeyAge is how long ago the platform confirmed the configuration, in milliseconds, or below 0.
	KeyAge    int64                  `json:"key_age_ms"`
	Hosts     int                    `json:"hosts"`
	Upstreams int                    `json:"upstreams"`
	Routes    map[string]meter.Route `json:"routes"`
	// Burn is how fast the objective is missed on this host.
	Burn burn.Report `json:"burn"`
	// Queues are those of the pools that this host batches for.
	Queues     map[string]batch.Stats `json:"queues"`
	Goroutines int                    `json:"goroutines"`
	HeapBytes  uint64                 `json:"heap_bytes"`
}

func (r *Relay) metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A reader that has gone away needs no answer.
		_, _ = io.WriteString(w, expvar.Func(func() any { return r.snapshot() }).String())
	})
}

func (r *Relay) snapshot() snapshot {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s := snapshot{
		Host:       r.Host,
		Unready:    r.unready(),
		KeyAge:     -1,
		Hosts:      r.roster.Count(),
		Upstreams:  len(r.members.List()),
		Routes:     r.meter.Routes(),
		Burn:       r.meter.Burn(r.Now(), r.settings.Objective.Attainment),
		Queues:     r.keeper.Stats(),
		Goroutines: runtime.NumGoroutine(),
		HeapBytes:  mem.HeapAlloc,
	}
	if p := r.plans.Current(); p != nil {
		s.Version = p.Version
	}
	if age, ok := r.lease.Age(); ok {
		s.KeyAge = age.Milliseconds()
	}
	return s
}
