package batch

import (
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
)

// Report returns what a host that sent work to a queue of this host needs to know of it, or false if the queue is unknown.
func (d *Dispatcher) Report(queue string) (r room.Report, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.queues[queue]
	if !ok {
		return room.Report{}, false
	}
	return q.Report(d.Now(), queue), true
}

// RecordReport records what the owner of a queue told of it.
func (d *Dispatcher) RecordReport(r room.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports.Record(d.Now(), r)
}

// WithReports returns work for the shard with what this host knows of the queues that its request will use.
func (d *Dispatcher) WithReports(w Work, s Shard) Work {
	if w.Chain == nil {
		return w
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	chain := *w.Chain
	chain.Reports = d.reports.Reports(d.Now(), QueuesOfChain(chain, s, d.shards))
	w.Chain = &chain
	return w
}
