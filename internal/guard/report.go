package guard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// ReportInterval is the time between two calls of Report.Log.
const ReportInterval = 5 * time.Second

// Report logs what was turned away, summed up, as a line for each caller would be too many.
type Report struct {
	memory *Memory
	conns  *Conns

	lastMemory MemoryStats
	lastConns  ConnStats
}

// NewReport returns a report about the bounds.
func NewReport(memory *Memory, conns *Conns) *Report {
	return &Report{
		memory: memory,
		conns:  conns,
	}
}

// Log writes a line if callers were turned away since its last call.
func (r *Report) Log(log *logrus.Entry) {
	memory, conns := r.memory.Stats(), r.conns.Stats()
	requests := memory.TurnedAway() - r.lastMemory.TurnedAway()
	connections := conns.TurnedAway() - r.lastConns.TurnedAway()
	if requests > 0 || connections > 0 {
		log.WithFields(logrus.Fields{
			"held_bytes":       memory.Held,
			"requests_refused": memory.Refused - r.lastMemory.Refused,
			"requests_evicted": memory.Evicted - r.lastMemory.Evicted,
			"conns":            conns.Open,
			"conns_refused":    conns.Refused - r.lastConns.Refused,
			"conns_evicted":    conns.Evicted - r.lastConns.Evicted,
		}).Warn("Callers were turned away for want of memory or connections.")
	}
	r.lastMemory = memory
	r.lastConns = conns
}
